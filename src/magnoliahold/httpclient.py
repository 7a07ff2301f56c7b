"""HTTP client that reports whether a failed request may have reached the server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, frozen
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from magnoliahold.bodybuffers import BodyBuffer
from magnoliahold.httpconnections import (
    DirectConnector,
    build_agent,
    build_pool,
    describe_failure,
    read_headers,
    start_request,
)

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from magnoliahold.httpconnections import HeaderPairs
    from magnoliahold.runtime import Reactor

DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024


class HttpExchangeError(Exception):
    """No complete answer was received.

    When `sent` is false, no byte of the request was handed to a socket.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@frozen
class HttpAnswer:
    """A complete answer to an HTTP request."""

    status: int
    headers: HeaderPairs
    body: bytes


class HttpClient:
    """Sends requests to one base URL and never retries one.

    By default each request opens its own connection, so a request that fails before
    the connection is made was certainly not sent. With `persistent`, idle connections
    are reused and a failed request always counts as sent; after a failure all idle
    connections are closed.
    """

    def __init__(
        self, reactor: Reactor, base_url: str, persistent: bool = False
    ) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip("/")
        self._pool = build_pool(reactor) if persistent else None

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: HeaderPairs = (),
        timeout_s: float | None = None,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> Deferred[HttpAnswer]:
        """Sends a request; fails with `HttpExchangeError` without a complete answer.

        Cancelling the Deferred closes the connection.
        """
        connector = DirectConnector(self._reactor)
        exchange = _Exchange(self._reactor, connector, max_body_bytes)
        agent = build_agent(self._reactor, connector, self._pool)
        exchange.start(
            start_request(agent, method, self._base_url + path, body, headers),
            timeout_s,
            assume_sent=self._pool is not None,
        )
        if self._pool is not None:
            exchange.finished.addErrback(self._close_idle_connections)
        return exchange.finished

    def _close_idle_connections(self, failure: Failure) -> Failure:
        if self._pool is not None:
            self._pool.closeCachedConnections()
        return failure


@define
class _Timer:
    call: Any = None

    def stop(self) -> None:
        if self.call is not None and self.call.active():
            self.call.cancel()


class _Exchange:
    """One request and its answer."""

    def __init__(
        self, reactor: Reactor, connector: DirectConnector, max_body_bytes: int
    ) -> None:
        self.finished: Deferred[HttpAnswer] = Deferred(
            lambda _: self._fail("cancelled")
        )
        self._reactor = reactor
        self._connector = connector
        self._max_body_bytes = max_body_bytes
        self._timer = _Timer()
        self._assume_sent = False
        self._done = False
        self._response: Any | None = None
        self._reader: _BodyReader | None = None
        self._pending_response: Deferred[Any] | None = None

    def start(
        self, response: Deferred[Any], timeout_s: float | None, assume_sent: bool
    ) -> None:
        """Waits for the answer, at most `timeout_s` seconds.

        With `assume_sent`, a failure is reported as sent even without a connection.
        """
        self._assume_sent = assume_sent
        self._pending_response = response
        if timeout_s is not None:
            self._timer.call = self._reactor.callLater(
                timeout_s, self._fail, f"no answer within {timeout_s} s"
            )
        response.addCallbacks(self._read_body, self._fail_with)

    def _read_body(self, response: Any) -> None:
        self._response = response
        self._reader = _BodyReader(self._max_body_bytes, self._succeed, self._fail)
        response.deliverBody(self._reader)

    def _succeed(self, body: bytes) -> None:
        if self._done or self._response is None:
            return
        self._done = True
        self._timer.stop()
        headers = read_headers(self._response)
        self.finished.callback(HttpAnswer(self._response.code, headers, body))

    def _fail_with(self, failure: Failure) -> None:
        self._fail(describe_failure(failure))

    def _fail(self, reason: str) -> None:
        if self._done:
            return
        self._done = True
        self._timer.stop()
        sent = self._assume_sent or self._connector.connected
        self._connector.abort()
        if self._reader is not None:
            self._reader.stop()
        if self._pending_response is not None:
            self._pending_response.cancel()
        self.finished.errback(HttpExchangeError(reason, sent))


class _BodyReader(Protocol):
    """Collects a body of bounded size.

    A body without a length or chunks ends with the connection and may be truncated, so
    it counts as a failure.
    """

    def __init__(self, max_bytes: int, on_complete: Any, on_failure: Any) -> None:
        self._max_bytes = max_bytes
        self._on_complete = on_complete
        self._on_failure = on_failure
        self._body = BodyBuffer()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if len(self._body) + len(data) > self._max_bytes:
            self._on_failure(f"answer is larger than {self._max_bytes} bytes")
            return
        self._body.add(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if reason.check(ResponseDone):
            self._on_complete(self._body.join())
        elif reason.check(PotentialDataLoss):
            self._on_failure("answer has neither a length nor chunks; send one of them")
        else:
            self._on_failure(describe_failure(reason))

    def stop(self) -> None:
        """Closes the connection that carries the body."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
