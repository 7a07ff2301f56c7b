"""Interfaces through which an entry's node answers callers and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from magnoliahold.core import administration, effects


class CallerPort(Protocol):
    """The open requests of callers; unknown request ids are ignored."""

    def deliver_tokens(self, effect: effects.DeliverTokens) -> None:
        """Sends tokens to a caller."""

    def finish_generation(self, effect: effects.FinishGeneration) -> None:
        """Completes a caller's answer after its last token."""

    def refuse_request(self, effect: effects.RefuseRequest) -> None:
        """Answers a caller with an error."""

    def answer_call(self, effect: effects.AnswerCall) -> None:
        """Sends the answer of a plain service to a caller."""


class OperatorPort(Protocol):
    """The open requests of operators; unknown request ids are ignored."""

    def answer_operator(self, effect: administration.AnswerOperator) -> None:
        """Sends an operator the final answer."""
