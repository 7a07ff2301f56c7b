"""Answers that callers haven't taken yet, for which a stop waits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from weakref import WeakKeyDictionary

from attrs import define, field

from magnoliahold.sockets import count_undelivered, count_unwritten

if TYPE_CHECKING:
    from magnoliahold.runtime import Clock

# A caller that takes nothing for so long may be gone.
STALLED_S = 2.0


@define
class _Taking:
    """How much of its answers a caller had not taken, and when that last changed."""

    untaken: int = 0
    changed_at: float = 0.0


@define(eq=False)
class UntakenAnswers:
    """The connections of callers, and what each of them still has to take."""

    clock: Clock
    _connections: WeakKeyDictionary[Any, _Taking] = field(factory=WeakKeyDictionary)

    def add_connection(self, protocol: Any) -> None:
        """Adds a connection; it is forgotten with its protocol."""
        self._connections[protocol] = _Taking()

    def is_any_taken(self) -> bool:
        """Tells whether a caller may still take an answer."""
        now = self.clock.seconds()
        looks = [self._look(*item, now) for item in list(self._connections.items())]
        return any(looks)

    def _look(self, protocol: Any, taking: _Taking, now: float) -> bool:
        """Looks whether a caller takes its answers."""
        untaken = count_untaken(protocol.transport)
        if untaken != taking.untaken:
            taking.untaken = untaken
            taking.changed_at = now
        return untaken > 0 and now - taking.changed_at < STALLED_S


def count_untaken(transport: Any) -> int:
    """Counts the bytes that a caller hasn't received, in the kernel's queue too."""
    if transport is None or not transport.connected:
        return 0
    return count_unwritten(transport) + count_undelivered(transport.getHandle())
