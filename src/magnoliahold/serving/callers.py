"""The HTTP server for callers: their connections and open requests."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.protocol import ServerFactory

from magnoliahold.core.serving.configuration import CallerLimits
from magnoliahold.core.serving.events import (
    CallerDisconnected,
    CallerHalfClosed,
    RequestArrived,
)
from magnoliahold.core.serving.systems.admission import HeadRefusal
from magnoliahold.core.serving.systems.completion import HALF_CLOSED
from magnoliahold.inbound.intake import make_intake
from magnoliahold.logs import make_part_logger
from magnoliahold.platform.callers import BadRequest, make_refusal_headers
from magnoliahold.serving.callerconnections import CallerChannel
from magnoliahold.serving.callerlimits import (
    LimitHistory,
    read_header_timeout,
    read_idle_timeout,
)
from magnoliahold.serving.callerrequests import read_request
from magnoliahold.serving.connectionends import (
    LOST_CAUSES,
    EndCause,
    find_end_cause,
    find_ender,
    log_end,
)
from magnoliahold.serving.exchanges import RequestContent

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from magnoliahold.core.serving.requests import CallerRequest
    from magnoliahold.inbound.connections import ConnectionTable
    from magnoliahold.inbound.intake import Intake
    from magnoliahold.runtime import Clock
    from magnoliahold.serving.callerexchanges import CallerExchange
    from magnoliahold.serving.exchanges import Exchange

BAD_REQUEST = 400
BAD_GATEWAY = 502
UNAVAILABLE = 503
CONTENT_TOO_LARGE = 413
# Why a whole request is refused that isn't short, though it could be served.
MEMORY_FULL = "the requests that run hold too much"

logger = make_part_logger("callers")


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


@define(eq=False)
class Callers:
    """The callers' connections and their open requests by handle.

    `intake` bounds what all connections hold together. `find_head_refusal` decides by
    a request's head alone whether it is refused. `refusing_because` is why all requests
    are refused; it is empty if they aren't. Their callers may retry after
    `refused_for_s`, if that is known.
    `unanswered` counts the requests whose connection ended before their answer, by who
    ended it; `ends` counts all connections that ended. `is_stopping` is set when the
    process stops, which ends all connections.
    """

    clock: Clock
    post: Callable[[object], None]
    first_limits: CallerLimits = field(factory=CallerLimits)
    intake: Intake = field()
    find_head_refusal: Callable[[CallerRequest], HeadRefusal | None] = field(
        default=lambda _: None
    )
    unanswered: Counter[str] = field(factory=Counter)
    ends: Counter[EndCause] = field(factory=Counter)
    is_stopping: bool = False
    refusing_because: str = ""
    refused_for_s: float | None = None
    _open_requests: dict[int, CallerExchange] = field(factory=dict)
    _contents: dict[int, RequestContent] = field(factory=dict)
    _next_handle: int = 1
    connections: ConnectionTable = field(init=False)
    _limits: LimitHistory = field(init=False)

    @intake.default
    def _make_intake(self) -> Intake:
        return make_intake(self.clock)

    @connections.default
    def _make_connections(self) -> ConnectionTable:
        return self.intake.add_callers()

    @_limits.default
    def _make_limits(self) -> LimitHistory:
        return LimitHistory(self.first_limits)

    @property
    def channels(self) -> set[CallerChannel]:
        """The open connections."""
        return self.connections.channels

    @property
    def limits(self) -> CallerLimits:
        """The limits in force."""
        return self._limits.current

    @limits.setter
    def limits(self, limits: CallerLimits) -> None:
        self._limits.replace(limits, self.clock.seconds())

    def find_idle_timeout(self, since: float) -> float:
        """Finds how long a connection that is idle since then may be idle."""
        return self._limits.find_timeout(read_idle_timeout, since)

    def find_header_timeout(self, since: float) -> float:
        """Finds how long the headers of a request that began then may take."""
        return self._limits.find_timeout(read_header_timeout, since)

    def handle_request(self, exchange: CallerExchange) -> None:
        """Posts RequestArrived for a complete request, or rejects the request.

        An error must not leave it without an answer.
        """
        exchange.handle = self._next_handle
        self._next_handle += 1
        try:
            self._admit(exchange)
        except Exception:
            if exchange.startedWriting:
                raise
            logger.exception(
                "Request is refused after an error.", request=exchange.find_id()
            )
            self._remove(exchange.handle)
            self._reject(exchange, UNAVAILABLE, "an error in this entry")

    def _admit(self, exchange: CallerExchange) -> None:
        if self.refusing_because:
            reason = self.refusing_because
            self._reject(exchange, UNAVAILABLE, reason, self.refused_for_s)
            return
        if exchange.is_half_closed:
            logger.info(
                "Request refused.",
                request=exchange.find_id(),
                status=UNAVAILABLE,
                reason=HALF_CLOSED,
            )
            self._reject(exchange, UNAVAILABLE, HALF_CLOSED)
            return
        if exchange.is_too_large:
            self._reject(exchange, CONTENT_TOO_LARGE, "the body is too large")
            return
        channel: Any = exchange.channel
        if not self.intake.memory.admits_whole(channel, exchange.count_held()):
            logger.gather("Request refused.", status=UNAVAILABLE, reason=MEMORY_FULL)
            retry_after_s = self.intake.policy.retry_after_s
            self._reject(exchange, UNAVAILABLE, MEMORY_FULL, retry_after_s)
            return
        content: Any = exchange.content
        body = content.getvalue()
        head = (exchange.method, exchange.uri, exchange.requestHeaders)
        try:
            caller = read_request(exchange.handle, *head, body)
        except BadRequest as error:
            self._reject(exchange, BAD_REQUEST, str(error))
            return
        self._open_requests[exchange.handle] = exchange
        self._contents[exchange.handle] = RequestContent(*head, body)
        self.post(RequestArrived(caller))

    def check_head(self, exchange: CallerExchange) -> None:
        """Rejects a request that its head alone refuses, before its body is read."""
        channel: Any = exchange.channel
        head = (channel._command, channel._path, exchange.requestHeaders)
        try:
            refusal = self.find_head_refusal(read_request(0, *head))
        except BadRequest as error:
            refusal = HeadRefusal(BAD_REQUEST, str(error))
        if refusal is not None:
            logger.gather(
                "Request rejected by its head.",
                request=exchange.find_id(),
                status=refusal.status,
                reason=refusal.reason,
            )
            channel.reject(EndCause.REFUSED_BY_HEAD, refusal.status)

    def _reject(
        self,
        exchange: CallerExchange,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        exchange.close_connection_unless_used()
        self._write_own_answer(exchange, status, reason, retry_after_s)

    def handle_disconnect(self, exchange: CallerExchange) -> None:
        """Posts CallerDisconnected if the request is still open."""
        if self._remove(exchange.handle) is not None:
            self.post(CallerDisconnected(exchange.handle))

    def handle_half_close(self, exchange: CallerExchange) -> None:
        """Posts CallerHalfClosed if the request is still open."""
        if exchange.handle in self._open_requests:
            self.post(CallerHalfClosed(exchange.handle))

    def record_end(self, channel: CallerChannel, reason: Failure) -> None:
        """Counts and logs the end of a connection."""
        cause = find_end_cause(channel, reason, self.is_stopping)
        self.ends[cause] += 1
        if channel.is_unanswered or cause in LOST_CAUSES:
            self.unanswered[find_ender(cause)] += 1
        log_end(channel, cause, reason)

    def find_open(self, handle: int) -> CallerExchange | None:
        """Finds an open request; None when it has ended."""
        return self._open_requests.get(handle)

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
        """Writes pieces of a stream; none if its headers weren't written."""
        exchange = self._open_requests.get(handle)
        if exchange is not None and exchange.startedWriting and content:
            exchange.write(content)  # type: ignore[no-untyped-call]

    def finish_stream(self, handle: int, closing: bool) -> None:
        """Ends a stream as complete; without headers it can't be."""
        exchange = self._remove(handle)
        if exchange is None:
            return
        if closing or exchange.is_half_closed:
            exchange.close_connection_unless_used()
        if exchange.startedWriting:
            self._write_or_abort(exchange, exchange.finish_answer)
        else:
            logger.error("Stream was never opened.", request=exchange.find_id())
            self._write_own_answer(exchange, BAD_GATEWAY, "the answer is gone", None)

    def _write_or_abort(
        self, exchange: CallerExchange, write: Callable[..., None], *arguments: Any
    ) -> None:
        """Writes the end of an answer, or ends the connection.

        Parts of an answer that can't be written may have been.
        """
        try:
            write(*arguments)
        except Exception:
            logger.exception("Answer can't be written.", request=exchange.find_id())
            exchange.abort_answer(EndCause.UNHANDLED_ERROR)

    def answer(self, handle: int, upstream: Exchange, closing: bool) -> None:
        """Answers a caller with an upstream's complete answer."""
        exchange = self._remove(handle)
        if exchange is None:
            return
        if closing or exchange.is_half_closed:
            exchange.close_connection_unless_used()
        body = upstream.body.join()
        upstream.body.clear()
        head = (upstream.status, upstream.headers)
        self._write_or_abort(exchange, exchange.write_complete_answer, *head, body)

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
        if closing or exchange.is_half_closed:
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
        exchange.end_cause = EndCause.REFUSED
        body = f"{reason}\n".encode(errors="replace")
        write = exchange.write_complete_answer
        self._write_or_abort(exchange, write, status, headers, body)

    def abort(self, handle: int, cause: EndCause = EndCause.ANSWER_CUT) -> None:
        """Aborts a caller's answer, or refuses the request if none has begun."""
        exchange = self._remove(handle)
        if exchange is None:
            return
        if exchange.startedWriting:
            exchange.abort_answer(cause)
        else:
            self._write_own_answer(exchange, BAD_GATEWAY, cause.value, None)

    def close_idle(self) -> None:
        """Closes the connections on which no request is open or may still come.

        Those whose callers still take an answer follow at a later call.
        """

        def close(channel: CallerChannel) -> None:
            if not channel.is_idle or channel.has_unread:
                return
            if channel.look_for_taking():
                channel.expect_request()
            elif not channel.is_fresh:
                channel.close_now(EndCause.IDLE_AT_STOP)

        self._visit_channels(close)

    def _visit_channels(self, visit: Callable[[CallerChannel], None]) -> None:
        """Visits each connection; an error at one decides over that one alone."""
        for channel in list(self.channels):
            try:
                visit(channel)
            except Exception:
                channel.end_after_error("A connection failed in a stop.")

    def fail_open_requests(self, reason: str) -> None:
        """Ends all open requests, of which any may have run, and refuses later ones."""
        self.refusing_because = reason
        for handle, exchange in list(self._open_requests.items()):
            if exchange.startedWriting:
                self.abort(handle, EndCause.FAILED_TICK)
            else:
                self.refuse(handle, BAD_GATEWAY, reason, None, closing=True)

    def refuse_later_requests(self, reason: str, retry_after_s: float) -> None:
        """Refuses each request as soon as it is read from now on, as not run.

        Many that a caller sent behind one another need no tick each.
        """
        if not self.refusing_because:
            self.refusing_because = reason
            self.refused_for_s = retry_after_s

    def read_waiting(self, until: float) -> None:
        """Reads what callers have sent, as long as the time isn't past `until`."""

        self.intake.turns.are_lifted = True

        def read(channel: CallerChannel) -> None:
            while self.clock.seconds() < until:
                if channel.waits_for_turn:
                    channel.take_turn()
                elif channel.has_readable:
                    channel.read_waiting()
                else:
                    return

        self._visit_channels(read)

    def write_answers(self) -> None:
        """Writes what callers' kernels take of the answers."""
        self._visit_channels(CallerChannel.write_answers)

    def reject_unfinished(self, at_exit: bool = False) -> None:
        """Rejects the requests that have not been read to their end.

        Those whose next bytes wait in the socket are read first, unless there is no
        time for that `at_exit`.
        """

        def reject(channel: CallerChannel) -> None:
            if channel.is_reading and (at_exit or not channel.has_unread):
                channel.reject(EndCause.UNFINISHED_AT_STOP)

        self._visit_channels(reject)

    def _remove(self, handle: int) -> CallerExchange | None:
        self._contents.pop(handle, None)
        return self._open_requests.pop(handle, None)
