"""TCP proxies on loopback that can disturb the connections they forward."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.protocol import ClientFactory, Factory, Protocol

if TYPE_CHECKING:
    from magnoliahold.runtime import Reactor

LOOPBACK = "127.0.0.1"


class ProxyMode(Enum):
    """How a proxy handles the bytes it receives.

    PLAIN forwards them. SILENT discards them in both directions, also on new
    connections; ONE_WAY discards only those from the target. DELAYED forwards them
    after a delay.
    """

    PLAIN = "plain"
    SILENT = "silent"
    ONE_WAY = "one way"
    DELAYED = "delayed"


@define(eq=False)
class Proxy:
    """Forwards a port to another; resets new connections if `target_port` is 0.

    `unnotified` holds connections whose target was not told that the client has closed
    its end, since the proxy passed nothing on at that time.
    """

    reactor: Reactor
    target_port: int
    mode: ProxyMode = ProxyMode.PLAIN
    delay_s: float = 0.1
    port: int = 0
    connections: set[_ClientConnection] = field(factory=set)
    unnotified: set[_ClientConnection] = field(factory=set)
    _listener: Any = None

    def open(self) -> int:
        """Listens on a free port and returns it."""
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _: _ClientConnection(self)  # type: ignore[assignment]
        self._listener = self.reactor.listenTCP(0, factory, interface=LOOPBACK)
        self.port = self._listener.getHost().port
        return self.port

    def reset_connections(self) -> None:
        """Resets all connections."""
        for connection in [*self.connections, *self.unnotified]:
            connection.abort()

    @property
    def passes_on_closes(self) -> bool:
        """Whether the target has learned, and will learn, of each closed connection."""
        silenced = any(connection.silenced for connection in self.connections)
        return self.mode is ProxyMode.PLAIN and not silenced and not self.unnotified

    def silence_open_connections(self) -> None:
        """Stops forwarding on the open connections permanently; new ones work."""
        for connection in self.connections:
            connection.silenced = True

    def close(self) -> Any:
        """Stops listening and resets all connections."""
        self.reset_connections()
        return self._listener.stopListening()


@define(eq=False)
class _Direction:
    """Delayed data of one direction of a connection, with the time it is due."""

    pending: deque[tuple[float, bytes]] = field(factory=deque)


class _ClientConnection(Protocol):
    """The connection from a client, which is forwarded to the target."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.target: Any = None
        self.unsent: list[bytes] = []
        self.silenced = False
        self.closed = False
        self.to_target = _Direction()
        self.from_target = _Direction()

    def connectionMade(self) -> None:  # noqa: N802
        self.proxy.connections.add(self)
        if not self.proxy.target_port:
            self.abort()
            return
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: _TargetConnection(self)  # type: ignore[assignment]
        factory.clientConnectionFailed = (  # type: ignore[method-assign]
            lambda connector, reason: self.abort()
        )
        self.proxy.reactor.connectTCP(LOOPBACK, self.proxy.target_port, factory)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.silenced and self.proxy.mode is not ProxyMode.SILENT:
            self._forward(self.to_target, data, self.send_to_target)

    def forward_from_target(self, data: bytes) -> None:
        """Forwards bytes from the target to the client."""
        discarding_modes = (ProxyMode.SILENT, ProxyMode.ONE_WAY)
        if not self.silenced and self.proxy.mode not in discarding_modes:
            transport: Any = self.transport
            self._forward(self.from_target, data, transport.write)

    def _forward(self, direction: _Direction, data: bytes, send: Any) -> None:
        """Forwards bytes, now or after the delay, in the order of their arrival."""
        now = self.proxy.reactor.seconds()
        delay_s = self.proxy.delay_s if self.proxy.mode is ProxyMode.DELAYED else 0.0
        if not delay_s and not direction.pending:
            send(data)
            return
        direction.pending.append((now + delay_s, data))
        if len(direction.pending) == 1:
            self.proxy.reactor.callLater(delay_s, self._forward_due, direction, send)

    def _forward_due(self, direction: _Direction, send: Any) -> None:
        """Forwards the oldest delayed data, and all else that is due by now."""
        now = self.proxy.reactor.seconds()
        _, data = direction.pending.popleft()
        send(data)
        while direction.pending and direction.pending[0][0] <= now:
            _, data = direction.pending.popleft()
            send(data)
        if direction.pending:
            remaining_s = direction.pending[0][0] - now
            self.proxy.reactor.callLater(
                remaining_s, self._forward_due, direction, send
            )

    def send_to_target(self, data: bytes) -> None:
        """Sends bytes to the target, or buffers them until it is connected."""
        if self.target is None:
            self.unsent.append(data)
        else:
            self.target.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.proxy.connections.discard(self)
        self.closed = True
        silent = self.silenced or self.proxy.mode is ProxyMode.SILENT
        if self.target is None:
            return
        if silent:
            self.proxy.unnotified.add(self)
        else:
            self.target.transport.abortConnection()

    def abort(self) -> None:
        """Resets both ends."""
        self.proxy.connections.discard(self)
        self.proxy.unnotified.discard(self)
        for end in (self, self.target):
            if end is not None and end.transport is not None:
                end.transport.abortConnection()

    def close_after_target(self) -> None:
        """Closes the client's connection after the target has closed its own."""
        self.proxy.unnotified.discard(self)
        transport: Any = self.transport
        if not self.closed and not self.silenced:
            transport.loseConnection()


class _TargetConnection(Protocol):
    """The connection to the target."""

    def __init__(self, connection: _ClientConnection) -> None:
        self.connection = connection

    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        if self.connection.closed:
            transport.abortConnection()
            return
        self.connection.target = self
        for data in self.connection.unsent:
            transport.write(data)
        self.connection.unsent.clear()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.connection.forward_from_target(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.connection.close_after_target()
