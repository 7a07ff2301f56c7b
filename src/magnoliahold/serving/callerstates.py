"""What is known of a caller's connection and of the requests on it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from magnoliahold.inbound.channels import BoundedChannel
from magnoliahold.inbound.connections import Closability
from magnoliahold.serving.connectionends import OPEN_CAUSES, DiscardedBytes
from magnoliahold.serving.idletimes import IdleTime
from magnoliahold.sockets import count_undelivered, has_unread_bytes

if TYPE_CHECKING:
    from magnoliahold.serving.callers import Callers
    from magnoliahold.serving.connectionends import EndCause

# How long a request may be on its way to a connection that is ready for it.
FRESH_S = 0.5
# How long the end of an answer may be on its way before its connection is closed.
LINGER_S = 1.0


class ObservedChannel(BoundedChannel):
    """A caller's connection as others see it.

    `end_cause` says why this entry closes the connection; it is None if it doesn't.
    `left_cause` says how far a request had come when the caller closed its writing
    side, None before that; such a caller may still read. `has_taken_all` is set once it
    has all its answers.
    """

    end_cause: EndCause | None = None
    left_cause: EndCause | None = None
    has_taken_all = False
    _has_answered = False

    def __init__(self, callers: Callers) -> None:
        super().__init__(callers.intake, callers.connections)
        self._callers = callers
        self._header_timer: Any = None
        self._linger_timer: Any = None
        self.discarded = DiscardedBytes()
        self._last_request_id = ""
        self._fresh_until = callers.clock.seconds() + FRESH_S
        self._idle = IdleTime(callers.clock.seconds())

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, answered or held back."""
        busy = self.requests or self._header_timer or self._linger_timer
        return not busy and not (self.paused and self._buffer)

    @property
    def closability(self) -> Closability:
        """What the connection would lose if it were closed to make room."""
        if self._linger_timer is not None:
            return Closability.ENDING
        if self.is_reading:
            return Closability.READING
        if not self.is_idle or self.has_unread:
            return Closability.BUSY
        return Closability.IDLE if self._has_answered else Closability.UNUSED

    def count_held(self) -> int:
        """Counts the bytes held for the connection."""
        return super().count_held() + self.discarded.kept_bytes

    @property
    def has_next_request(self) -> bool:
        """Whether bytes came behind the request that is being answered."""
        return any(self._dataBuffer) or bool(self._buffer) or self.has_unread

    @property
    def untaken_bytes(self) -> int:
        """How much of answers the caller hasn't received, in the kernel's queue too."""
        transport: Any = self.transport
        return self.unwritten_bytes + count_undelivered(transport.getHandle())

    def owes_answer_before(self, answer_bytes: int) -> bool:
        """Whether some of an answer before the current one may still be untaken.

        The current one has at least `answer_bytes`, which are the last to be taken.
        """
        return self._has_answered and self.untaken_bytes > answer_bytes

    def look_for_taking(self) -> bool:
        """Looks whether the caller may still take an answer, and notes what it took.

        The kernel delivers the rest of one behind a close. A caller that takes none of
        that for a while may be gone.
        """
        now = self._callers.clock.seconds()
        untaken = self.untaken_bytes
        self._idle.note_untaken(untaken, now)
        stalled = now - self._idle.since >= LINGER_S
        return self.unwritten_bytes > 0 or (untaken > 0 and not stalled)

    @property
    def is_fresh(self) -> bool:
        """Whether its first or next request may still be on its way."""
        return self._callers.clock.seconds() < self._fresh_until

    def expect_request(self) -> None:
        """Lets the next request have the time to arrive before a stop."""
        self._fresh_until = self._callers.clock.seconds() + FRESH_S

    @property
    def is_reading(self) -> bool:
        """Whether a part of a request was read."""
        begun = self.requests or self._header_timer is not None
        answered = self._handlingRequest or self._linger_timer is not None
        return bool(begun and not answered)

    @property
    def has_read_request(self) -> bool:
        """Whether a request was read to its end and has no complete answer."""
        return bool(self.requests) and self._handlingRequest

    @property
    def is_answering(self) -> bool:
        """Whether a part of an answer was written."""
        return any(request.startedWriting for request in self.requests)

    @property
    def is_unanswered(self) -> bool:
        """Whether a request has no answer, or the caller hasn't taken all of it."""
        waiting = any(not request.ended for request in self.requests)
        left = self.left_cause in OPEN_CAUSES and not self.has_taken_all
        return waiting or left or self.unwritten_bytes > 0

    def find_request_id(self) -> str:
        """Finds the id of the request that is open, or of the last one."""
        if not self.requests:
            return self._last_request_id
        return str(self.requests[0].find_id())

    @property
    def has_unread(self) -> bool:
        """Whether bytes of the caller wait in the socket, or for their turn."""
        transport: Any = self.transport
        return self.waits_for_turn or has_unread_bytes(transport.getHandle())

    @property
    def has_readable(self) -> bool:
        """Whether bytes wait in the socket, and nothing holds them back there."""
        held = self.paused or self._waitingForTransport
        return not held and self in self._callers.channels and self.has_unread
