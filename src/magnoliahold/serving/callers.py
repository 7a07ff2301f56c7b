"""The HTTP server for callers: reads requests within limits and writes answers."""

from __future__ import annotations

from collections import Counter
from io import BytesIO
from socket import MSG_PEEK
from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import ServerFactory
from twisted.web.http import HTTPChannel, Request

from magnoliahold.core.serving.configuration import CallerLimits
from magnoliahold.core.serving.events import CallerDisconnected, RequestArrived
from magnoliahold.logs import make_part_logger
from magnoliahold.platform.callers import (
    BadRequest,
    make_refusal_headers,
    read_caller_request,
)
from magnoliahold.serving.exchanges import RequestContent

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from magnoliahold.core.serving.requests import CallerRequest
    from magnoliahold.runtime import Clock
    from magnoliahold.serving.exchanges import Exchange

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BAD_GATEWAY = 502
UNAVAILABLE = 503
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
LINE_MARGIN_BYTES = 1024
# How long the end of an answer may be on its way before its connection is closed.
LINGER_S = 1.0
# How long the first request of a connection may be on its way.
FRESH_S = 0.5
# The largest integer up to which a float is exact.
MAX_NUMBER = 2**53
BY_CALLER = "caller"
BY_ENTRY = "entry"

logger = make_part_logger("callers")


class CallerExchange(Request):
    """One request of a caller and its answer.

    `ended` is set once the answer is complete or aborted, or the connection is closed.
    """

    handle = 0
    body_bytes = 0
    body_limit = 0
    ended = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Buffers the body in memory: its size is limited, and there is no disk.

        A later limit doesn't apply: it could let a body pass that was cut.
        """
        self.body_limit = self._callers.limits.body_bytes
        self.content = BytesIO()

    def parseCookies(self) -> None:  # noqa: N802
        """Doesn't parse cookies; the upstream does."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Adds to the body; bytes beyond the size limit are discarded."""
        self.body_bytes += len(data)
        if self.body_bytes <= self.body_limit:
            super().handleContentChunk(data)  # type: ignore[no-untyped-call]

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Passes on a request that has been read completely."""
        self.method = command
        self.uri = path
        self.clientproto = version
        self._callers.handle_request(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Reports a caller that disconnected before its answer was complete."""
        callers = self._callers
        ended = self.ended
        self.ended = True
        channel: Any = self.channel
        super().connectionLost(reason)  # type: ignore[no-untyped-call]
        if not ended:
            callers.record_unanswered(self, channel, reason)
            callers.handle_disconnect(self)

    @property
    def _callers(self) -> Callers:
        channel: Any = self.channel
        callers: Callers = channel.factory.callers
        return callers

    def close_connection_after(self) -> None:
        """Makes the connection close after this answer."""
        channel: Any = self.channel
        channel.persistent = False
        self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def close_connection_unless_used(self) -> None:
        """Does the same, unless the caller has already sent a next request.

        That one is answered too; the connection closes after the last.
        """
        channel: Any = self.channel
        if not channel.has_next_request:
            self.close_connection_after()

    def start_answer(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Sets status and headers; they are sent with the first bytes of the body."""
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)

    def finish_answer(self) -> None:
        """Ends the answer as complete."""
        self.ended = True
        self.finish()  # type: ignore[no-untyped-call]

    def write_complete_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Writes an answer with a known length and ends it."""
        self.start_answer(status, headers)
        length = str(len(body)).encode()
        self.responseHeaders.setRawHeaders(b"Content-Length", [length])
        self.write(body)  # type: ignore[no-untyped-call]
        self.finish_answer()

    def abort_answer(self) -> None:
        """Aborts the connection, so that the answer doesn't look complete."""
        self.ended = True
        channel: Any = self.channel
        if channel is not None:
            channel.closed_because = "its answer was cut"
            channel.transport.abortConnection()


class CallerChannel(HTTPChannel):
    """A caller's connection.

    A request is read within the limits in force when it begins. `closed_because` says
    why this entry closes the connection; it is empty if it doesn't.
    """

    requestFactory = CallerExchange  # noqa: N815
    closed_because = ""

    def __init__(self, callers: Callers) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._callers = callers
        self._header_timer: Any = None
        self._linger_timer: Any = None
        self._opened_at = callers.clock.seconds()
        self._was_used = False
        self._idle_since = 0.0
        self._unwritten_before = 0
        self._taken_at = 0.0
        self._apply_limits()
        self.callLater = callers.clock.callLater  # type: ignore[method-assign,assignment]

    def _apply_limits(self) -> None:
        limits = self._callers.limits
        self._idle_since = self._callers.clock.seconds()
        self.timeOut = limits.idle_timeout_s  # type: ignore[assignment]
        self.totalHeadersSize = limits.header_bytes
        self.MAX_LENGTH = limits.header_bytes + LINE_MARGIN_BYTES

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        busy = self.requests or self._header_timer or self._linger_timer
        return not busy

    @property
    def has_next_request(self) -> bool:
        """Whether bytes came behind the request that is being answered."""
        return any(self._dataBuffer) or self.has_unread

    @property
    def unwritten_bytes(self) -> int:
        """How much of answers still waits to be written to the socket."""
        transport: Any = self.transport
        in_buffer = len(transport.dataBuffer) - transport.offset
        return int(in_buffer + transport._tempDataLen)

    def _is_still_taking(self) -> bool:
        """Whether the caller takes an answer, and took some in the idle timeout."""
        now = self._callers.clock.seconds()
        unwritten = self.unwritten_bytes
        if unwritten != self._unwritten_before:
            self._unwritten_before = unwritten
            self._taken_at = now
        limit_s = self._callers.limits.idle_timeout_s
        return unwritten > 0 and now - self._taken_at < limit_s

    @property
    def is_fresh(self) -> bool:
        """Whether its first request may still be on its way."""
        age_s = self._callers.clock.seconds() - self._opened_at
        return not self._was_used and age_s < FRESH_S

    @property
    def is_reading(self) -> bool:
        """Whether a part of a request was read."""
        begun = self.requests or self._header_timer is not None
        answered = self._handlingRequest or self._linger_timer is not None
        return bool(begun and not answered)

    @property
    def has_unread(self) -> bool:
        """Whether bytes of the caller wait in the socket."""
        transport: Any = self.transport
        try:
            return bool(transport.getHandle().recv(1, MSG_PEEK))
        except OSError:
            return False

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection."""
        super().connectionMade()  # type: ignore[no-untyped-call]
        self._callers.channels.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Starts the timeout for request headers when a request begins.

        Bytes that come after the last answer are discarded.
        """
        if self._linger_timer is not None:
            return
        self._was_used = True
        self._idle_since = self._callers.clock.seconds()
        if self.is_idle:
            self._apply_limits()
            self._header_timer = self._callers.clock.callLater(
                self._callers.limits.header_timeout_s, self._reject_unless_unread
            )
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Reads a header line; rejects the request when its headers are too large."""
        if self._linger_timer is not None:
            return
        if self._receivedHeaderSize + len(line) > self.totalHeadersSize:
            self.reject(HEADERS_TOO_LARGE)
            return
        super().lineReceived(line)  # type: ignore[no-untyped-call]

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Rejects a line that is longer than all headers together may be."""
        self.reject(HEADERS_TOO_LARGE)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Cancels the timeout for request headers."""
        self._stop_header_timer()
        super().allHeadersReceived()  # type: ignore[no-untyped-call]

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Applies the limits in force to the next request."""
        self._apply_limits()
        self._unwritten_before = 0
        self._savedTimeOut = self.timeOut
        super().requestDone(request)  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Cancels the timeouts and unregisters the connection."""
        self._stop_header_timer()
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        self._callers.channels.discard(self)
        if self.unwritten_bytes:
            self._callers.record_unwritten(self, reason)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def reject(self, status: int) -> None:
        """Answers a request that can't be parsed and closes the connection."""
        if self._linger_timer is not None:
            return
        self._stop_header_timer()
        for request in self.requests:
            request.ended = True
        logger.info("Request rejected.", status=status)
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
        self._linger_timer = self._callers.clock.callLater(LINGER_S, self._end_linger)
        self.setTimeout(None)  # type: ignore[no-untyped-call]
        transport: Any = self.transport
        transport.unregisterProducer()
        transport.resumeProducing()
        transport.loseWriteConnection()

    def _end_linger(self) -> None:
        if self._is_still_taking():
            self._linger_timer = self._callers.clock.callLater(
                LINGER_S, self._end_linger
            )
            return
        self._end_connection()

    def close_now(self, reason: str) -> None:
        """Closes a connection without an answer that the caller still takes."""
        self.closed_because = reason
        self._end_connection()

    def _end_connection(self) -> None:
        transport: Any = self.transport
        transport.unregisterProducer()
        if self.unwritten_bytes:
            self.closed_because = self.closed_because or "the caller takes nothing"
            transport.abortConnection()
        else:
            transport.loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.reject(BAD_REQUEST)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Closes a connection that was idle for too long, by the limits in force.

        It isn't idle while a request waits to be read, or an answer to be written. A
        request of which only a part came is rejected.
        """
        if self.has_unread or self._is_still_taking():
            self._apply_limits()
            self.setTimeout(self.timeOut)  # type: ignore[no-untyped-call]
            return
        limit_s = self._callers.limits.idle_timeout_s
        left_s = self._idle_since + limit_s - self._callers.clock.seconds()
        if left_s > 0:
            self.setTimeout(left_s)  # type: ignore[no-untyped-call]
            return
        if self.is_reading:
            self.reject(REQUEST_TIMEOUT)
        else:
            self.close_now("it was idle for too long")

    def _reject_unless_unread(self) -> None:
        """Rejects a slow request, after one more read if bytes of it wait."""
        if self.has_unread:
            self._header_timer = self._callers.clock.callLater(0, self._reject_slow)
        else:
            self._reject_slow()

    def _reject_slow(self) -> None:
        self._header_timer = None
        self.reject(REQUEST_TIMEOUT)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None and self._header_timer.active():
            self._header_timer.cancel()
        self._header_timer = None


class CallerFactory(ServerFactory):
    """Creates the channels of callers' connections."""

    noisy = False

    def __init__(self, callers: Callers) -> None:
        self.callers = callers

    def buildProtocol(self, address: Any) -> CallerChannel:  # noqa: N802
        """Creates the channel of a new connection."""
        channel = CallerChannel(self.callers)
        channel.factory = self
        return channel

    def log(self, request: Any) -> None:
        """Writes no access log: the end of each request is logged as a decision."""


def find_ender(channel: CallerChannel, reason: Failure) -> str:
    """Tells whether the caller or this entry ended a connection."""
    closed = reason.check(ConnectionDone, ConnectionLost) is not None
    return BY_CALLER if closed and not channel.closed_because else BY_ENTRY


def check_numbers(caller: CallerRequest) -> None:
    """Raises BadRequest if a number is too large to reckon with."""
    numbers = [part.tokens for part in caller.prompt]
    if max(*numbers, caller.resume_after or 0, 0) > MAX_NUMBER:
        raise BadRequest(f"send no number above {MAX_NUMBER}")


@define(eq=False)
class Callers:
    """The callers' connections and their open requests by handle.

    `refusing_because` is why all requests are refused; it is empty if they aren't.
    `unanswered` counts the requests whose connection ended before their answer, by who
    ended it.
    """

    clock: Clock
    post: Callable[[object], None]
    limits: CallerLimits = field(factory=CallerLimits)
    channels: set[CallerChannel] = field(factory=set)
    unanswered: Counter[str] = field(factory=Counter)
    refusing_because: str = ""
    _open_requests: dict[int, CallerExchange] = field(factory=dict)
    _contents: dict[int, RequestContent] = field(factory=dict)
    _next_handle: int = 1

    def handle_request(self, exchange: CallerExchange) -> None:
        """Posts RequestArrived for a complete request, or rejects the request."""
        exchange.handle = self._next_handle
        self._next_handle += 1
        if self.refusing_because:
            self._reject(exchange, UNAVAILABLE, self.refusing_because)
            return
        if exchange.body_bytes > exchange.body_limit:
            self._reject(exchange, CONTENT_TOO_LARGE, "the body is too large")
            return
        content: Any = exchange.content
        body = content.getvalue()
        try:
            caller = read_caller_request(
                exchange.handle,
                exchange.method.decode("ascii", "replace"),
                exchange.uri.decode("ascii", "replace"),
                exchange.requestHeaders,
                body,
            )
            check_numbers(caller)
        except BadRequest as error:
            self._reject(exchange, BAD_REQUEST, str(error))
            return
        except (ValueError, ArithmeticError) as error:
            logger.warning("Request can't be read and is refused.", reason=str(error))
            self._reject(exchange, BAD_REQUEST, "send headers that can be read")
            return
        self._open_requests[exchange.handle] = exchange
        self._contents[exchange.handle] = RequestContent(
            exchange.method, exchange.uri, exchange.requestHeaders, body
        )
        self.post(RequestArrived(caller))

    def _reject(self, exchange: CallerExchange, status: int, reason: str) -> None:
        exchange.close_connection_after()
        self._write_own_answer(exchange, status, reason, None)

    def handle_disconnect(self, exchange: CallerExchange) -> None:
        """Posts CallerDisconnected if the request is still open."""
        if self._remove(exchange.handle) is not None:
            self.post(CallerDisconnected(exchange.handle))

    def record_unanswered(
        self, exchange: CallerExchange, channel: CallerChannel, reason: Failure
    ) -> None:
        """Logs and counts a request whose connection ended before its answer."""
        ended_by = find_ender(channel, reason)
        self.unanswered[ended_by] += 1
        request_ids = exchange.requestHeaders.getRawHeaders(b"Request-Id") or [b""]
        logger.info(
            "Connection ended before the answer.",
            request=request_ids[0].decode("ascii", "replace"),
            read=exchange.handle in self._open_requests,
            ended_by=ended_by,
            reason=channel.closed_because or reason.getErrorMessage(),
        )

    def record_unwritten(self, channel: CallerChannel, reason: Failure) -> None:
        """Logs and counts an answer whose end the caller never took."""
        ended_by = find_ender(channel, reason)
        self.unanswered[ended_by] += 1
        logger.info(
            "Connection ended before the answer was written.",
            bytes=channel.unwritten_bytes,
            ended_by=ended_by,
            reason=channel.closed_because or reason.getErrorMessage(),
        )

    def find_content(self, handle: int) -> RequestContent | None:
        """Finds the content of a request; None when the request is not open."""
        return self._contents.get(handle)

    def open_answer(self, handle: int, upstream: Exchange) -> None:
        """Starts a caller's answer with the status and headers of an upstream's."""
        exchange = self._open_requests.get(handle)
        if exchange is not None:
            exchange.start_answer(upstream.status, upstream.headers)
            exchange.write(b"")  # type: ignore[no-untyped-call]

    def write_pieces(self, handle: int, content: bytes) -> None:
        """Writes pieces of a stream."""
        exchange = self._open_requests.get(handle)
        if exchange is not None and content:
            exchange.write(content)  # type: ignore[no-untyped-call]

    def finish_stream(self, handle: int, closing: bool) -> None:
        """Ends a stream as complete."""
        exchange = self._remove(handle)
        if exchange is None:
            return
        if closing:
            exchange.close_connection_unless_used()
        exchange.finish_answer()

    def answer(self, handle: int, upstream: Exchange, closing: bool) -> None:
        """Answers a caller with an upstream's complete answer."""
        exchange = self._remove(handle)
        if exchange is None:
            return
        if closing:
            exchange.close_connection_unless_used()
        body = b"".join(upstream.body)
        exchange.write_complete_answer(upstream.status, upstream.headers, body)

    def refuse(
        self,
        handle: int,
        status: int,
        reason: str,
        retry_after_s: float | None,
        closing: bool,
    ) -> None:
        """Answers a caller with a refusal made by this entry."""
        exchange = self._remove(handle)
        if exchange is None:
            return
        if closing:
            exchange.close_connection_unless_used()
        self._write_own_answer(exchange, status, reason, retry_after_s)

    def _write_own_answer(
        self,
        exchange: CallerExchange,
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> None:
        headers = [
            (name.encode(), value.encode())
            for name, value in make_refusal_headers(None, retry_after_s)
        ]
        request_id = exchange.getHeader(b"Request-Id")
        if request_id:
            headers.append((b"Request-Id", request_id))
        exchange.write_complete_answer(status, headers, f"{reason}\n".encode())

    def abort(self, handle: int) -> None:
        """Aborts a caller's answer."""
        exchange = self._remove(handle)
        if exchange is not None:
            exchange.abort_answer()

    def close_idle(self) -> None:
        """Closes the connections on which no request is open or may still come."""
        for channel in list(self.channels):
            if not channel.is_idle or channel.is_fresh or channel.has_unread:
                continue
            if channel.unwritten_bytes:
                channel.loseConnection()
            else:
                channel.close_now("the entry stops")

    def fail_open_requests(self, reason: str) -> None:
        """Ends all open requests, of which any may have run, and refuses later ones."""
        self.refusing_because = reason
        for handle, exchange in list(self._open_requests.items()):
            if exchange.startedWriting:
                self.abort(handle)
            else:
                self.refuse(handle, BAD_GATEWAY, reason, None, closing=True)

    def reject_unfinished(self) -> None:
        """Rejects the requests that have not been read to their end."""
        for channel in list(self.channels):
            if channel.is_reading:
                channel.reject(REQUEST_TIMEOUT)

    def _remove(self, handle: int) -> CallerExchange | None:
        self._contents.pop(handle, None)
        return self._open_requests.pop(handle, None)
