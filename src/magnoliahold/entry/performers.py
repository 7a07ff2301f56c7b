"""Performs the effects that only entries emit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core import administration, effects
from magnoliahold.node import perform_effect

if TYPE_CHECKING:
    from magnoliahold.node import Node


@perform_effect.register(effects.DeliverTokens)
def _deliver_tokens(effect: effects.DeliverTokens, node: Node) -> None:
    node.ports.callers.deliver_tokens(effect)


@perform_effect.register(effects.FinishGeneration)
def _finish_generation(effect: effects.FinishGeneration, node: Node) -> None:
    node.ports.callers.finish_generation(effect)


@perform_effect.register(effects.RefuseRequest)
def _refuse_request(effect: effects.RefuseRequest, node: Node) -> None:
    node.ports.callers.refuse_request(effect)


@perform_effect.register(effects.AnswerCall)
def _answer_call(effect: effects.AnswerCall, node: Node) -> None:
    node.ports.callers.answer_call(effect)


@perform_effect.register(administration.AnswerOperator)
def _answer_operator(effect: administration.AnswerOperator, node: Node) -> None:
    node.ports.operators.answer_operator(effect)
