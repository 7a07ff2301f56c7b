"""Ends callers' connections that are idle, and requests that come too slowly."""

from __future__ import annotations

from magnoliahold.serving.callerclosing import ClosingChannel
from magnoliahold.serving.connectionends import EndCause

# How often to look whether a head could be read that waits for its turn.
TURN_LOOK_S = 0.05


class TimedChannel(ClosingChannel):
    """A caller's connection with the timeouts of the limits in force."""

    def timeoutConnection(self) -> None:  # noqa: N802
        """Closes a connection that was idle for too long, by the limits in force.

        It isn't idle while a request waits to be read, while headers come (they have a
        timeout of their own), or while its caller takes an answer. A body of which only
        a part came is rejected. A request that is held back for a caller who takes
        nothing keeps no connection open.
        """
        now = self._callers.clock.seconds()
        untaken = self.untaken_bytes
        self._idle.note_untaken(untaken, now)
        can_read = self.has_unread and not self._waitingForTransport
        if can_read or self._header_timer is not None:
            self._idle.restart(now)
        left_s = self._find_time_left(now, untaken)
        if left_s > 0:
            if untaken:
                left_s = min(left_s, self._find_look_interval())
            self.setTimeout(left_s)  # type: ignore[no-untyped-call]
            return
        if self.is_reading:
            self.reject(EndCause.BODY_LATE)
        else:
            self.close_now(EndCause.IDLE)

    def _reject_unless_unread(self, begun_at: float) -> None:
        """Rejects a slow request, after one more read if bytes of it wait.

        The timeout may have been raised since it began.
        """
        clock = self._callers.clock
        limit_s = self._callers.find_header_timeout(begun_at)
        left_s = begun_at + limit_s - clock.seconds()
        if left_s > 0:
            self._start_header_timer(left_s, begun_at)
        elif self.waits_for_turn:
            self._start_header_timer(TURN_LOOK_S, begun_at)
        elif self.has_unread:
            self._header_timer = clock.callLater(0, self._reject_slow)
        else:
            self._reject_slow()

    def _start_header_timer(self, left_s: float, begun_at: float) -> None:
        self._header_timer = self._callers.clock.callLater(
            left_s, self._reject_unless_unread, begun_at
        )

    def _reject_slow(self) -> None:
        self._header_timer = None
        self.reject(EndCause.HEADERS_LATE)
