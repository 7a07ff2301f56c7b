"""A pool of persistent connections to upstreams, one request at a time on each."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure
from zope.interface import implementer

from magnoliahold.httpbounds import BoundedClientProtocol
from magnoliahold.sockets import count_undelivered, count_unwritten, is_reset

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.upstreams import UpstreamRecord
    from magnoliahold.runtime import Reactor

MAX_IDLE_S = 8.0
KEEP_ALIVE_MARGIN_S = 0.5
MAX_IDLE_PER_UPSTREAM = 8
UNREAD_CHECK_INTERVAL_S = 0.02

PoolKey = tuple[str, str, int]


@implementer(IHalfCloseableProtocol)
class UpstreamConnection(BoundedClientProtocol):
    """A connection to one upstream.

    `close_reason` is set when the connection has ended.
    """

    def __init__(self, pool: ConnectionPool, pool_key: PoolKey) -> None:
        super().__init__(pool.release)
        self.pool_key = pool_key
        self.close_reason: Failure | None = None
        self.idle_since = 0.0
        self.idle_limit_s = MAX_IDLE_S
        self._pool = pool

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on it."""
        return self.state == "QUIESCENT" and self.close_reason is None

    @property
    def closed_cleanly(self) -> bool:
        """Whether the upstream closed the connection rather than resetting it."""
        reason = self.close_reason
        return reason is not None and reason.check(ConnectionDone) is not None

    def update_idle_limit(self) -> None:
        """Reads the idle timeout from the Keep-Alive header of the current answer."""
        parser: Any = self._parser
        values = parser.connHeaders.getRawHeaders(b"Keep-Alive", ()) if parser else ()
        for parameter in b",".join(values).split(b","):
            name, _, value = parameter.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                limit_s = float(value) - KEEP_ALIVE_MARGIN_S
                self.idle_limit_s = min(MAX_IDLE_S, limit_s)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Ends the connection, of which the upstream has closed its side."""
        parser: Any = self._parser
        if parser is not None and parser.ends_with_connection:
            self._end_when_request_is_read()
        else:
            self._end(ConnectionDone())

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Does nothing: this side is never closed by itself."""

    def _end_when_request_is_read(self) -> None:
        """Ends an answer that ends with its connection, once nothing may reset that.

        An upstream that dies closes first and resets the connection as soon as more of
        the request arrives.
        """
        if self.close_reason is not None:
            return
        transport: Any = self.transport
        if is_reset(transport.socket):
            self._end(ConnectionLost())
        elif self._is_request_unread:
            reactor = transport.reactor
            reactor.callLater(UNREAD_CHECK_INTERVAL_S, self._end_when_request_is_read)
        else:
            self._end(ConnectionDone())

    @property
    def _is_request_unread(self) -> bool:
        """Whether a part of the request hasn't reached the upstream."""
        transport: Any = self.transport
        return bool(
            transport.producer is not None
            or count_unwritten(transport)
            or count_undelivered(transport.socket)
        )

    def _end(self, reason: Exception) -> None:
        transport: Any = self.transport
        transport.connectionLost(Failure(reason))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Records why the connection ended and removes it from the pool."""
        self.close_reason = reason
        self._pool.remove(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def reset_now(self) -> None:
        """Resets the connection, so that the upstream notices at once."""
        self._pool.remove(self)
        super().reset_now()


@define(eq=False)
class ConnectionPool:
    """Idle connections by upstream; the most recently used one is reused first."""

    reactor: Reactor
    _idle: dict[PoolKey, list[UpstreamConnection]] = field(factory=dict)

    def acquire(
        self, pool_key: PoolKey, max_idle_s: float
    ) -> UpstreamConnection | None:
        """Takes a connection out of the pool; None if there is no usable one.

        Connections that were idle for longer than `max_idle_s`, or than the upstream's
        Keep-Alive header allows, are reset.
        """
        idle = self._idle.get(pool_key)
        now = self.reactor.seconds()
        while idle:
            connection = idle.pop()
            limit_s = min(max_idle_s, connection.idle_limit_s)
            if connection.is_reusable and now - connection.idle_since <= limit_s:
                return connection
            connection.reset_now()
        return None

    def release(self, connection: UpstreamConnection) -> None:
        """Returns a connection for a later request; resets the oldest if too many."""
        idle = self._idle.setdefault(connection.pool_key, [])
        connection.idle_since = self.reactor.seconds()
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_UPSTREAM:
            idle.pop(0).reset_now()

    def remove(self, connection: UpstreamConnection) -> None:
        """Removes a closed connection if it was idle."""
        idle = self._idle.get(connection.pool_key)
        if idle and connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(connection.pool_key, None)

    def close_idle(self, pool_key: PoolKey) -> None:
        """Resets the idle connections to an upstream that doesn't respond."""
        for connection in list(self._idle.get(pool_key, ())):
            connection.reset_now()


class ConnectionFactory(ClientFactory):
    """Opens one connection and reports it, or why it could not be opened."""

    noisy = False

    def __init__(
        self,
        connection: UpstreamConnection,
        on_failed: Callable[[Failure], None],
        on_connected: Callable[[UpstreamConnection], None],
    ) -> None:
        self._connection = connection
        self._on_failed = on_failed
        self._on_connected = on_connected

    def buildProtocol(self, address: Any) -> Any:  # noqa: N802
        """Returns the connection; reports it once its `connectionMade` has run."""
        connection = self._connection
        original = connection.connectionMade

        def connect() -> None:
            original()
            self._on_connected(connection)

        connection.connectionMade = connect  # type: ignore[method-assign]
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Reports that the connection could not be opened."""
        self._on_failed(reason)

    def connect(
        self, reactor: Reactor, record: UpstreamRecord, timeout_s: float
    ) -> Any:
        """Opens the connection; reports also that it can't even be tried."""
        try:
            return reactor.connectTCP(
                record.address, record.port, self, timeout=timeout_s
            )
        except Exception:
            self._on_failed(Failure())
            return None
