"""Connections of callers: requests are read within limits, or rejected."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from zope.interface import implementer

from magnoliahold.inbound.readings import HoldReason
from magnoliahold.serving.backpressure import MAX_UNWRITTEN_BYTES
from magnoliahold.serving.callerexchanges import CallerExchange
from magnoliahold.serving.callertimeouts import TimedChannel
from magnoliahold.serving.connectionends import EndCause, find_left_cause
from magnoliahold.sockets import has_ended

if TYPE_CHECKING:
    from magnoliahold.serving.callers import Callers

LINE_MARGIN_BYTES = 1024


@implementer(IHalfCloseableProtocol)
class CallerChannel(TimedChannel):
    """A caller's connection.

    A request is read within the limits in force when it begins.
    """

    requestFactory = CallerExchange  # noqa: N815

    def __init__(self, callers: Callers) -> None:
        super().__init__(callers)
        self._apply_limits()
        self.callLater = callers.clock.callLater  # type: ignore[method-assign,assignment]

    def _apply_limits(self) -> None:
        limits = self._callers.limits
        self._idle.restart(self._callers.clock.seconds())
        self.timeOut = limits.idle_timeout_s  # type: ignore[assignment]
        self.totalHeadersSize = limits.header_bytes
        self.MAX_LENGTH = limits.header_bytes + LINE_MARGIN_BYTES

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
            super().dataReceived(data)
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

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Reads a header line; rejects the request when its headers are too large."""
        if self._linger_timer is not None:
            return
        if self._receivedHeaderSize + len(line) > self.totalHeadersSize:
            self.reject(EndCause.HEADERS_TOO_LARGE)
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Rejects a line that is longer than all headers together may be."""
        self.reject(EndCause.HEADERS_TOO_LARGE)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Cancels the timeout for request headers."""
        self._stop_header_timer()
        super().allHeadersReceived()

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
        self.update_held()

    def _hold_next_request(self) -> None:
        """Reads no further request while too much of earlier answers waits.

        Otherwise a caller that takes nothing could have any number of answers waiting.
        """
        if not self.persistent or self.unwritten_bytes <= MAX_UNWRITTEN_BYTES:
            return
        self.hold_reading(HoldReason.ANSWERS)

    def resumeProducing(self) -> None:  # noqa: N802
        """Reads the requests that came behind a large answer: it has been written."""
        self._held_for.discard(HoldReason.ANSWERS)
        self.paused = bool(self._held_for)
        super().resumeProducing()
        if self._buffer and not self.paused:
            self._note_end()
            self.dataReceived(b"")

    def take_turn(self) -> None:
        """Reads on what waited for its turn, and looks what came meanwhile."""
        if self._buffer:
            self._note_end()
        super().take_turn()

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
        super().connectionLost(reason)
