"""HTTP exchanges that tell a request that was never sent from one that may have run."""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING, Any, cast

from attrs import define, frozen
from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.endpoints import (
    HostnameEndpoint,
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
)
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Protocol
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    ResponseDone,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.python.failure import Failure
    from twisted.web.client import URI

    from magnoliahold.runtime import Reactor

CONNECT_TIMEOUT_S = 1.0
DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
IDLE_CONNECTION_TIMEOUT_S = 20.0
POOLED_CONNECTIONS = 8

HeaderPairs = tuple[tuple[str, str], ...]


class HttpExchangeError(Exception):
    """No whole answer came.

    When `sent` is false, no byte of the request was handed to a socket.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@frozen
class HttpAnswer:
    """A whole answer to an HTTP request."""

    status: int
    headers: HeaderPairs
    body: bytes


@implementer(IAgentEndpointFactory)
class DirectConnector:
    """Connects to the host that a URI names and remembers the last connection."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._transport: Any = None

    @property
    def connected(self) -> bool:
        """Tells whether a connection was ever made."""
        return self._transport is not None

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Builds the endpoint; IP numbers need no name look-up."""
        return cast("IStreamClientEndpoint", _RecordingEndpoint(self, uri))

    def connect(self, uri: URI, factory: Any) -> Deferred[Any]:
        """Connects `factory` to the host and port of `uri`."""
        connecting: Deferred[Any] = self._build_endpoint(uri).connect(factory)
        connecting.addCallback(self._remember)
        return connecting

    def abort(self) -> None:
        """Drops the connection, if any, without waiting for unsent bytes."""
        if self._transport is not None:
            self._transport.abortConnection()

    def _remember(self, protocol: Any) -> Any:
        self._transport = protocol.transport
        return protocol

    def _build_endpoint(self, uri: URI) -> Any:
        reactor = cast("Any", self._reactor)
        host = uri.host.decode("ascii").strip("[]")
        try:
            version = ip_address(host).version
        except ValueError:
            return HostnameEndpoint(reactor, host, uri.port, CONNECT_TIMEOUT_S)
        if version == 4:
            return TCP4ClientEndpoint(reactor, host, uri.port, CONNECT_TIMEOUT_S)
        return TCP6ClientEndpoint(reactor, host, uri.port, CONNECT_TIMEOUT_S)


@implementer(IStreamClientEndpoint)
@frozen
class _RecordingEndpoint:
    connector: DirectConnector
    uri: URI

    def connect(self, protocolFactory: Any) -> Deferred[Any]:  # noqa: N803
        return self.connector.connect(self.uri, protocolFactory)


class HttpClient:
    """Sends requests to one base URL and never repeats one.

    By default each request has a connection of its own, so that an exchange that fails
    before a connection was made was certainly not sent. With `persistent` idle
    connections are used again; all of them are dropped after a failure.
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
        """Sends one request; fails with `HttpExchangeError` when no answer came.

        Cancelling the Deferred drops the connection.
        """
        connector = DirectConnector(self._reactor)
        exchange = _Exchange(self._reactor, connector, max_body_bytes)
        agent = build_agent(self._reactor, connector, self._pool)
        exchange.start(
            start_request(agent, method, self._base_url + path, body, headers),
            timeout_s,
            always_sent=self._pool is not None,
        )
        if self._pool is not None:
            exchange.finished.addErrback(self._drop_idle_connections)
        return exchange.finished

    def _drop_idle_connections(self, failure: Failure) -> Failure:
        if self._pool is not None:
            self._pool.closeCachedConnections()
        return failure


def build_pool(reactor: Reactor) -> HTTPConnectionPool:
    """Builds a pool of connections that never sends a request twice."""
    pool = HTTPConnectionPool(cast("Any", reactor), persistent=True)
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = POOLED_CONNECTIONS
    pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S  # type: ignore[assignment]
    return pool


def build_agent(
    reactor: Reactor, connector: DirectConnector, pool: HTTPConnectionPool | None = None
) -> Agent:
    """Builds an agent; without a pool its requests use one connection each."""
    if pool is None:
        pool = HTTPConnectionPool(cast("Any", reactor), persistent=False)
        pool.retryAutomatically = False
    return Agent.usingEndpointFactory(reactor, connector, pool)  # type: ignore[no-any-return]


def start_request(
    agent: Agent, method: str, url: str, body: bytes, headers: HeaderPairs
) -> Deferred[Any]:
    """Starts a request; the Deferred fires when the answer's headers have come.

    It fails when the method or the URL is invalid.
    """
    fields = Headers()
    for name, value in headers:
        fields.addRawHeader(name, value)
    producer = _BytesProducer(body) if body else None
    return maybeDeferred(
        lambda: cast("Any", agent).request(
            method.encode("ascii"), url.encode("ascii"), fields, producer
        )
    )


@implementer(IBodyProducer)
class _BytesProducer:
    """Writes a body of known length at once."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass


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
        self._always_sent = False
        self._done = False
        self._response: Any | None = None
        self._reader: _BodyReader | None = None
        self._waiting: Deferred[Any] | None = None

    def start(
        self, response: Deferred[Any], timeout_s: float | None, always_sent: bool
    ) -> None:
        """Waits for the answer, at most `timeout_s` seconds."""
        self._always_sent = always_sent
        self._waiting = response
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
        sent = self._always_sent or self._connector.connected
        self._connector.abort()
        if self._reader is not None:
            self._reader.stop()
        if self._waiting is not None:
            self._waiting.cancel()
        self.finished.errback(HttpExchangeError(reason, sent))


class _BodyReader(Protocol):
    """Collects a body of bounded size.

    A body that only the end of the connection delimits may have been cut, so it is not
    taken for whole.
    """

    def __init__(self, max_bytes: int, on_whole: Any, on_failure: Any) -> None:
        self._max_bytes = max_bytes
        self._on_whole = on_whole
        self._on_failure = on_failure
        self._chunks: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._size += len(data)
        if self._size > self._max_bytes:
            self._on_failure(f"answer is larger than {self._max_bytes} bytes")
            return
        self._chunks.append(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if reason.check(ResponseDone):
            self._on_whole(b"".join(self._chunks))
        elif reason.check(PotentialDataLoss):
            self._on_failure("answer has neither a length nor chunks; send one of them")
        else:
            self._on_failure(describe_failure(reason))

    def stop(self) -> None:
        """Closes the connection that carries the body."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


def read_headers(response: Any) -> HeaderPairs:
    """Reads the headers of an answer as pairs of text."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    )


def describe_failure(failure: Failure) -> str:
    """Describes why an exchange failed, in one line."""
    reasons: Sequence[Any] = getattr(failure.value, "reasons", None) or ()
    if reasons:
        return describe_failure(reasons[-1])
    return f"{type(failure.value).__name__}: {failure.getErrorMessage()}"
