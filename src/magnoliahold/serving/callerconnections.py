"""Connections of callers: requests are read within limits, or rejected."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from zope.interface import implementer

from magnoliahold.logs import make_part_logger
from magnoliahold.serving.backpressure import MAX_UNWRITTEN_BYTES
from magnoliahold.serving.callerexchanges import CallerExchange
from magnoliahold.serving.connectionends import (
    OPEN_CAUSES,
    REJECTION_STATUS,
    DiscardedBytes,
    EndCause,
    find_left_cause,
)
from magnoliahold.serving.idletimes import LOOKS_PER_TIMEOUT, STALLED_TIMEOUTS, IdleTime
from magnoliahold.serving.sockets import (
    count_undelivered,
    count_unwritten,
    has_ended,
    has_unread_bytes,
    is_reset,
)

if TYPE_CHECKING:
    from magnoliahold.serving.callers import Callers

LINE_MARGIN_BYTES = 1024
# How long the end of an answer may be on its way before its connection is closed.
LINGER_S = 1.0
# How often to look whether a half-closed caller has its last answer.
HALF_CLOSED_LOOK_S = 0.05
# How long a request may be on its way to a connection that is ready for it.
FRESH_S = 0.5

logger = make_part_logger("callers")


@implementer(IHalfCloseableProtocol)
class CallerChannel(HTTPChannel):
    """A caller's connection.

    A request is read within the limits in force when it begins. `end_cause` says why
    this entry closes the connection; it is None if it doesn't. `left_cause` says how
    far a request had come when the caller closed its writing side, None before that;
    such a caller may still read. `has_taken_all` is set once it has all its answers.
    """

    requestFactory = CallerExchange  # noqa: N815
    end_cause: EndCause | None = None
    left_cause: EndCause | None = None
    has_taken_all = False
    _peer_has_ended = False
    _has_answered = False

    def __init__(self, callers: Callers) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._callers = callers
        self._header_timer: Any = None
        self._linger_timer: Any = None
        self.discarded = DiscardedBytes()
        self._last_request_id = ""
        self._fresh_until = callers.clock.seconds() + FRESH_S
        self._idle = IdleTime(callers.clock.seconds())
        self._apply_limits()
        self.callLater = callers.clock.callLater  # type: ignore[method-assign,assignment]

    def _apply_limits(self) -> None:
        limits = self._callers.limits
        self._idle.restart(self._callers.clock.seconds())
        self.timeOut = limits.idle_timeout_s  # type: ignore[assignment]
        self.totalHeadersSize = limits.header_bytes
        self.MAX_LENGTH = limits.header_bytes + LINE_MARGIN_BYTES

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, answered or held back."""
        busy = self.requests or self._header_timer or self._linger_timer
        return not busy and not (self.paused and self._buffer)

    @property
    def has_next_request(self) -> bool:
        """Whether bytes came behind the request that is being answered."""
        return any(self._dataBuffer) or bool(self._buffer) or self.has_unread

    @property
    def unwritten_bytes(self) -> int:
        """How much of answers still waits to be written to the socket."""
        return count_unwritten(self.transport)

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
        """Whether bytes of the caller wait in the socket."""
        transport: Any = self.transport
        return has_unread_bytes(transport.getHandle())

    @property
    def has_readable(self) -> bool:
        """Whether bytes wait in the socket, and nothing holds them back there."""
        held = self.paused or self._waitingForTransport
        return not held and self in self._callers.channels and self.has_unread

    def read_waiting(self) -> None:
        """Reads bytes that wait in the socket, without waiting for the reactor."""
        transport: Any = self.transport
        transport.doRead()

    def write_answers(self) -> None:
        """Writes what the kernel takes of the answers, without waiting for the reactor.

        Requests that were held back behind them are read and answered then.
        """
        transport: Any = self.transport
        before = 0
        while self.unwritten_bytes not in (0, before):
            before = self.unwritten_bytes
            transport.doWrite()

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection."""
        super().connectionMade()  # type: ignore[no-untyped-call]
        self._callers.channels.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Starts the timeout for request headers when a request begins.

        Bytes that come after the last answer are discarded.
        """
        if self._linger_timer is not None:
            self.discarded.add(data)
            return
        self._fresh_until = 0.0
        self._idle.restart(self._callers.clock.seconds())
        if self.is_idle and not self.paused:
            self._apply_limits()
            now = self._callers.clock.seconds()
            self._start_header_timer(self._callers.find_header_timeout(now), now)
        try:
            super().dataReceived(data)  # type: ignore[no-untyped-call]
        except Exception:
            self.end_after_error("Reading a request failed.")
        self._close_once_answered()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Ends the requests of a caller that has closed its writing side, or all.

        One that still reads gets the answers that are ready, and a final one to each
        request that was read. The reactor may report this again after each resumption.
        """
        if self._linger_timer is not None:
            self._end_linger_early()
            return
        if self.left_cause is None:
            self.left_cause = find_left_cause(self)
        if self.has_read_request:
            self._callers.handle_half_close(self.requests[0])
        elif self.untaken_bytes:
            self._close_once_answered()
        else:
            self._end_taken()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Does nothing: this entry has closed its writing side itself."""

    def _close_once_answered(self) -> None:
        """Closes a half-closed connection behind the answers to what was read.

        A request that was read in part can't become whole.
        """
        is_held = self.paused and self._buffer
        if self.left_cause is None or self._busyReceiving or is_held:
            return
        if not self.has_read_request:
            self._stop_header_timer()
            self.loseConnection()

    def end_after_error(self, sentence: str) -> None:
        """Rejects the request that is being read, or cuts the answer to one before."""
        logger.exception(sentence, request=self.find_request_id())
        if self.has_read_request:
            self.end_cause = EndCause.UNHANDLED_ERROR
            transport: Any = self.transport
            transport.abortConnection()
        else:
            self.reject(EndCause.UNHANDLED_ERROR)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Reads a header line; rejects the request when its headers are too large."""
        if self._linger_timer is not None:
            return
        if self._receivedHeaderSize + len(line) > self.totalHeadersSize:
            self.reject(EndCause.HEADERS_TOO_LARGE)
            return
        super().lineReceived(line)  # type: ignore[no-untyped-call]

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Rejects a line that is longer than all headers together may be."""
        self.reject(EndCause.HEADERS_TOO_LARGE)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Cancels the timeout for request headers."""
        self._stop_header_timer()
        super().allHeadersReceived()  # type: ignore[no-untyped-call]

    def checkPersistence(self, request: Any, version: bytes) -> bool:  # noqa: N802
        """Announces the close that a request asks for, also to HTTP/1.0."""
        persistent: bool = super().checkPersistence(request, version)  # type: ignore[no-untyped-call]
        if not persistent:
            request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        return persistent

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Applies the limits in force to the next request."""
        self._last_request_id = self.find_request_id()
        self._has_answered = True
        if not self.persistent:
            self.end_cause = request.end_cause
        self._apply_limits()
        self._savedTimeOut = self._find_look_interval()
        self._hold_next_request()
        if self._dataBuffer:
            self._note_end()
        super().requestDone(request)  # type: ignore[no-untyped-call]
        self._close_once_answered()

    def _hold_next_request(self) -> None:
        """Reads no further request while too much of earlier answers waits.

        Otherwise a caller that takes nothing could have any number of answers waiting.
        """
        if not self.persistent or self.unwritten_bytes <= MAX_UNWRITTEN_BYTES:
            return
        self.paused = True
        transport: Any = self.transport
        transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Reads the requests that came behind a large answer: it has been written."""
        self.paused = False
        super().resumeProducing()  # type: ignore[no-untyped-call]
        if self._buffer:
            self._note_end()
            self.dataReceived(b"")

    def _note_end(self) -> None:
        """Notes a FIN that came while reading was paused.

        The requests behind which it came must not be passed on.
        """
        transport: Any = self.transport
        if self.left_cause is None and has_ended(transport.getHandle()):
            self.left_cause = find_left_cause(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Records the end, cancels the timeouts and unregisters the connection."""
        self._callers.record_end(self, reason)
        self._stop_header_timer()
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        self._callers.channels.discard(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def reject(self, cause: EndCause) -> None:
        """Answers a request that isn't read to its end and closes the connection."""
        if self._linger_timer is not None:
            return
        self._stop_header_timer()
        for request in self.requests:
            request.ended = True
        self.end_cause = cause
        status = REJECTION_STATUS[cause]
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
        transport.write(f"{head}Content-Length: 0\r\n\r\n".encode())
        self.loseConnection()

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection once its last answer has had the time to arrive.

        Until then, what the caller still sends is read and discarded: a connection that
        is closed with unread bytes is reset, which destroys the answer on its way.
        """
        if self._linger_timer is not None:
            return
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
        self.end_cause = cause
        self._end_connection()

    def _end_connection(self) -> None:
        """Closes the connection at once.

        A request that comes between the last look for one and the close is never read.
        """
        transport: Any = self.transport
        transport.unregisterProducer()
        if self.untaken_bytes:
            self.end_cause = EndCause.NOT_TAKEN
        if self.unwritten_bytes:
            transport.abortConnection()
        else:
            transport.connectionLost(Failure(CONNECTION_DONE))

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.reject(EndCause.MALFORMED)

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

    def _find_time_left(self, now: float, untaken_bytes: int) -> float:
        timeouts = STALLED_TIMEOUTS if untaken_bytes else 1
        since = self._idle.since
        return since + timeouts * self._callers.find_idle_timeout(since) - now

    def _find_look_interval(self) -> float:
        return self._callers.find_idle_timeout(self._idle.since) / LOOKS_PER_TIMEOUT

    def _reject_unless_unread(self, begun_at: float) -> None:
        """Rejects a slow request, after one more read if bytes of it wait.

        The timeout may have been raised since it began.
        """
        clock = self._callers.clock
        limit_s = self._callers.find_header_timeout(begun_at)
        left_s = begun_at + limit_s - clock.seconds()
        if left_s > 0:
            self._start_header_timer(left_s, begun_at)
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

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None and self._header_timer.active():
            self._header_timer.cancel()
        self._header_timer = None
