"""Interface through which an entry's node answers its callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from magnoliahold.core import administration, effects


class CallerPort(Protocol):
    """The open requests of callers; unknown request ids are ignored."""

    def deliver_tokens(self, effect: effects.DeliverTokens) -> None:
        """Gives a caller tokens."""

    def finish_generation(self, effect: effects.FinishGeneration) -> None:
        """Closes a caller's answer after its last token."""

    def refuse_request(self, effect: effects.RefuseRequest) -> None:
        """Gives a caller its final answer without a result."""

    def answer_call(self, effect: effects.AnswerCall) -> None:
        """Gives a caller the answer of a plain service."""


class OperatorPort(Protocol):
    """The open requests of operators; unknown request ids are ignored."""

    def answer_operator(self, effect: administration.AnswerOperator) -> None:
        """Gives an operator the final answer."""
