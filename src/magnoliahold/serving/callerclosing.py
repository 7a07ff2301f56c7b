"""Closes callers' connections so that their last answers arrive."""

from __future__ import annotations

import logging
from typing import Any

from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.python.failure import Failure

from magnoliahold.logs import make_part_logger
from magnoliahold.serving.callerstates import LINGER_S, ObservedChannel
from magnoliahold.serving.connectionends import REJECTION_STATUS, EndCause
from magnoliahold.serving.idletimes import LOOKS_PER_TIMEOUT, STALLED_TIMEOUTS
from magnoliahold.sockets import is_reset

# How often to look whether a half-closed caller has its last answer.
HALF_CLOSED_LOOK_S = 0.05

logger = make_part_logger("callers")


class ClosingChannel(ObservedChannel):
    """A caller's connection that is closed behind its last answer, or at once."""

    _peer_has_ended = False

    def reject(self, cause: EndCause, status: int | None = None) -> None:
        """Answers a request that isn't read to its end and closes the connection.

        The status is that of the cause, unless another one is given.
        """
        if self._linger_timer is not None:
            return
        self._stop_header_timer()
        for request in self.requests:
            request.ended = True
        self.end_cause = cause
        self.discarded.keeps = False
        status = status or REJECTION_STATUS[cause]
        logger.gather(
            "Request rejected.",
            kind=cause.name,
            level=logging.INFO,
            request=self.find_request_id(),
            status=status,
            cause=cause.name.lower(),
        )
        transport: Any = self.transport
        head = f"HTTP/1.1 {status} Rejected\r\nConnection: close\r\n"
        if cause is EndCause.MEMORY_FULL:
            head += f"Retry-After: {self.intake.policy.retry_after_s:.3f}\r\n"
        transport.write(f"{head}Content-Length: 0\r\n\r\n".encode())
        self.loseConnection()
        self.drop_bodies()
        self.update_held()

    def give_up(self) -> str:
        """Frees what is held for the connection, but no request that may run.

        Answers that nobody takes are cut, a request that isn't whole is rejected, and
        those behind one that runs are dropped.
        """
        if self.is_ending or self.holds_mostly_answers:
            self.close_now(EndCause.NOT_TAKEN)
            return "answer"
        if not self._handlingRequest:
            self.reject(EndCause.MEMORY_FULL)
            return "request"
        self.discarded.add(b"".join(self._dataBuffer))
        self.drop_next_requests()
        self.requests[0].close_connection_unless_begun()
        return "next_requests"

    def close_for_room(self) -> None:
        """Closes the connection at once."""
        cause = self.end_cause if self.is_ending else EndCause.NO_ROOM
        self.close_now(cause or EndCause.NO_ROOM)

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection once its last answer has had the time to arrive.

        Until then, what the caller still sends is read and discarded: a connection that
        is closed with unread bytes is reset, which destroys the answer on its way.
        """
        if self._linger_timer is not None:
            return
        self.is_ending = True
        self._start_linger_timer()
        self._idle.restart(self._callers.clock.seconds())
        self.discarded.add(b"".join(self._dataBuffer))
        self.setTimeout(None)  # type: ignore[no-untyped-call]
        transport: Any = self.transport
        transport.unregisterProducer()
        transport.resumeProducing()
        transport.loseWriteConnection()

    def _start_linger_timer(self) -> None:
        is_half_closed = self.left_cause is not None or self._peer_has_ended
        look_s = HALF_CLOSED_LOOK_S if is_half_closed else LINGER_S
        self._linger_timer = self._callers.clock.callLater(look_s, self._end_linger)

    def _end_linger_early(self) -> None:
        """Ends the connection with its caller's end, which nothing can come behind."""
        if self.left_cause is not None or self._peer_has_ended:
            return
        if self.unwritten_bytes:
            self._peer_has_ended = True
            self._linger_timer.cancel()
            self._start_linger_timer()
        else:
            self._end_taken()

    def _end_taken(self) -> None:
        """Closes a connection whose caller has ended, with nothing left to write."""
        transport: Any = self.transport
        transport.connectionLost(Failure(CONNECTION_DONE))

    def _end_linger(self) -> None:
        """Ends the linger, unless the caller is still taking its answer."""
        if self.left_cause is not None:
            self._end_half_closed()
        elif self._peer_has_ended and not self.unwritten_bytes:
            self._end_taken()
        else:
            self._end_linger_unless_taking()

    def _end_half_closed(self) -> None:
        transport: Any = self.transport
        if is_reset(transport.getHandle()):
            transport.connectionLost(Failure(CONNECTION_LOST))
        elif self.untaken_bytes:
            self._end_linger_unless_taking()
        else:
            self.has_taken_all = self.end_cause is not EndCause.ANSWER_CUT
            self._end_taken()

    def _end_linger_unless_taking(self) -> None:
        now = self._callers.clock.seconds()
        untaken = self.untaken_bytes
        has_taken = self._idle.note_untaken(untaken, now)
        if (untaken or has_taken) and self._find_time_left(now, untaken) > 0:
            self._start_linger_timer()
            return
        self._end_connection()

    def close_now(self, cause: EndCause) -> None:
        """Closes a connection without an answer that the caller still takes."""
        self.is_ending = True
        self.end_cause = cause
        self._end_connection()

    def _end_connection(self) -> None:
        """Closes the connection at once.

        A request that comes between the last look for one and the close is never read.
        """
        if self.untaken_bytes:
            self.end_cause = EndCause.NOT_TAKEN
        self.end_now()

    def end_after_error(self, sentence: str) -> None:
        """Rejects the request that is being read, or cuts the answer to one before."""
        logger.exception(sentence, request=self.find_request_id())
        if self.has_read_request:
            self.end_cause = EndCause.UNHANDLED_ERROR
            transport: Any = self.transport
            transport.abortConnection()
        else:
            self.reject(EndCause.UNHANDLED_ERROR)

    def _find_time_left(self, now: float, untaken_bytes: int) -> float:
        timeouts = STALLED_TIMEOUTS if untaken_bytes else 1
        since = self._idle.since
        return since + timeouts * self._callers.find_idle_timeout(since) - now

    def _find_look_interval(self) -> float:
        return self._callers.find_idle_timeout(self._idle.since) / LOOKS_PER_TIMEOUT

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.reject(EndCause.MALFORMED)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None and self._header_timer.active():
            self._header_timer.cancel()
        self._header_timer = None
