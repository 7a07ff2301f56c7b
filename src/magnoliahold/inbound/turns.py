"""Shares the work of reading among connections, iteration by iteration."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

from attrs import define, field

if TYPE_CHECKING:
    from magnoliahold.inbound.limits import IntakePolicy
    from magnoliahold.runtime import Clock


class Reader(Protocol):
    """A connection with bytes that wait to be read in its turn."""

    def take_turn(self) -> None:
        """Reads on."""


@define(eq=False)
class ReadingTurns:
    """What may still be read in this iteration of the reactor, in parts.

    Connections that have used up their turn, or find nothing left, wait for one in the
    order in which they came. `waits` counts how often that happened. They `are_lifted`
    at the end of the process, when no iteration follows.
    """

    clock: Clock
    policy: IntakePolicy
    waits: int = 0
    are_lifted: bool = False
    _left: int = 0
    _waiting: deque[Reader] = field(factory=deque)
    _pass_call: Any = None

    def take_parts(self) -> int:
        """Takes the parts of one turn; 0 if nothing is left in this iteration."""
        if self.are_lifted:
            return self.policy.parts_per_turn
        if self._pass_call is None:
            self._left = self.policy.parts_per_pass
            self._pass_call = self.clock.callLater(0, self._begin_pass)
        parts = min(self._left, self.policy.parts_per_turn)
        self._left -= parts
        return parts

    def return_parts(self, parts: int) -> None:
        """Gives back what a turn didn't need."""
        self._left += parts

    def wait(self, reader: Reader) -> None:
        """Lets a connection wait for its next turn."""
        self.waits += 1
        self._waiting.append(reader)
        if self._pass_call is None:
            self._pass_call = self.clock.callLater(0, self._begin_pass)

    def leave(self, reader: Reader) -> None:
        """Forgets a connection that waits no more."""
        if reader in self._waiting:
            self._waiting.remove(reader)

    def _begin_pass(self) -> None:
        self._pass_call = None
        self._left = self.policy.parts_per_pass
        if not self._waiting:
            return
        self._pass_call = self.clock.callLater(0, self._begin_pass)
        while self._left > 0 and self._waiting:
            self._waiting.popleft().take_turn()
