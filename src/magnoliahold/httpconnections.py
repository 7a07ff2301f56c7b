"""HTTP connections without automatic retries, and descriptions of failures."""

from __future__ import annotations

from functools import partial
from ipaddress import ip_address
from typing import TYPE_CHECKING, Any, cast

from attrs import frozen
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.endpoints import (
    HostnameEndpoint,
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
)
from twisted.internet.error import ConnectionAborted, TCPTimedOutError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from magnoliahold.httpbounds import BoundedClientFactory

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.python.failure import Failure
    from twisted.web.client import URI

    from magnoliahold.httpbounds import BoundedClientProtocol
    from magnoliahold.runtime import Reactor

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_TIMEOUT_S = 20.0
POOLED_CONNECTIONS = 8
# The longest body is half of this; its framing may take as many bytes.
MAX_BODY_WIRE_BYTES = 32 * 1024 * 1024

# How much of a body is written at once, and how much of it may wait to be sent.
PIECE_BYTES = 64 * 1024
MAX_UNSENT_BYTES = 2 * PIECE_BYTES

HeaderPairs = tuple[tuple[str, str], ...]


@implementer(IAgentEndpointFactory)
class DirectConnector:
    """Connects to the host of a URI and keeps the last connection."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._protocol: BoundedClientProtocol | None = None
        self._aborted = False

    @property
    def connected(self) -> bool:
        """Whether a connection has been made, open or not."""
        return self._protocol is not None

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Builds an endpoint that records its connection; IP addresses need no DNS."""
        return cast("IStreamClientEndpoint", _RecordingEndpoint(self, uri))

    @property
    def rejection(self) -> Failure | None:
        """Why this end gave up the answer, if it did."""
        return self._protocol.rejection if self._protocol is not None else None

    def connect(self, uri: URI, factory: Any) -> Deferred[Any]:
        """Connects `factory` to the host and port of `uri`."""
        connecting: Deferred[Any] = self._build_endpoint(uri).connect(factory)
        connecting.addCallback(self._record_connection)
        return connecting

    def abort(self) -> None:
        """Closes the connection, discarding unsent bytes, and prevents further ones."""
        self._aborted = True
        if self._protocol is not None:
            self._protocol.reset_now()

    def allow_bytes(self, count: int) -> None:
        """Sets how many more bytes of the current answer may arrive."""
        if self._protocol is not None:
            self._protocol.allow_bytes(count)

    def _record_connection(self, protocol: Any) -> Any:
        if self._aborted:
            protocol.transport.abortConnection()
            raise ConnectionAborted("the request was cancelled before it was sent")
        self._protocol = protocol
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


def build_pool(reactor: Reactor) -> HTTPConnectionPool:
    """Builds a pool of persistent connections without automatic retries."""
    pool = _build_bounded_pool(reactor, persistent=True)
    pool.maxPersistentPerHost = POOLED_CONNECTIONS
    pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S  # type: ignore[assignment]
    return pool


def _build_bounded_pool(reactor: Reactor, persistent: bool) -> HTTPConnectionPool:
    pool = HTTPConnectionPool(cast("Any", reactor), persistent)
    pool.retryAutomatically = False
    pool._factory = partial(BoundedClientFactory, MAX_BODY_WIRE_BYTES)  # type: ignore[assignment]
    return pool


def build_agent(
    reactor: Reactor, connector: DirectConnector, pool: HTTPConnectionPool | None = None
) -> Agent:
    """Builds an agent; without a pool each request opens its own connection."""
    if pool is None:
        pool = _build_bounded_pool(reactor, persistent=False)
    return Agent.usingEndpointFactory(reactor, connector, pool)  # type: ignore[no-any-return]


def start_request(
    agent: Agent, method: str, url: str, body: bytes, headers: HeaderPairs
) -> Deferred[Any]:
    """Starts a request; the Deferred fires when the answer's headers have arrived.

    The Deferred fails when the method or the URL is invalid.
    """
    fields = Headers()
    for name, value in headers:
        fields.addRawHeader(name, value)
    producer = BytesProducer(body) if body else None
    return maybeDeferred(
        lambda: cast("Any", agent).request(
            method.encode("ascii"), url.encode("ascii"), fields, producer
        )
    )


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a body of known length, a long one as fast as the server reads it."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)
        self._sent = 0
        self._paused = False
        self._consumer: Any = None
        self._finished: Deferred[None] = Deferred()

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Begins to write; the Deferred fires when all is written."""
        self._consumer = consumer
        self._write()
        return self._finished

    def pauseProducing(self) -> None:  # noqa: N802
        """Writes no more for now: too much of it waits to be sent."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Writes on."""
        self._paused = False
        self._write()

    def stopProducing(self) -> None:  # noqa: N802
        """Writes no more: the connection is lost, or the request was given up."""
        self._paused = True
        self._body = b""

    def _write(self) -> None:
        while self._sent < self.length and not self._paused:
            piece = self._body[self._sent : self._sent + PIECE_BYTES]
            self._sent += len(piece)
            self._consumer.write(piece)
        if self._sent >= self.length and not self._finished.called:
            self._body = b""
            self._finished.callback(None)


def read_headers(response: Any) -> HeaderPairs:
    """Returns the headers of an answer as pairs of name and value."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    )


def is_timeout(failure: Failure) -> bool:
    """Tells whether a connection was not answered in time, rather than refused."""
    return failure.check(ConnectTimeoutError, TCPTimedOutError) is not None


def describe_failure(failure: Failure) -> str:
    """Describes in one line why a request failed."""
    reasons: Sequence[Any] = getattr(failure.value, "reasons", None) or ()
    if reasons:
        return describe_failure(reasons[-1])
    return f"{type(failure.value).__name__}: {failure.getErrorMessage()}"
