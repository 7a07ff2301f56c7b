"""Serves a stand-in over TCP and injects faults into its connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.resource import Resource
from twisted.web.server import Site

if TYPE_CHECKING:
    from magnoliahold.runtime import Reactor


class _Connection(ProtocolWrapper):
    """A connection that can be silenced in both directions without being closed.

    Once silenced, it isn't notified either when the other end closes the connection.
    """

    silenced = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.silenced:
            super().dataReceived(data)  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if self.silenced:
            self.factory.unregisterProtocol(self)
        else:
            super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def write(self, data: bytes) -> None:
        if not self.silenced:
            super().write(data)  # type: ignore[no-untyped-call]

    def writeSequence(self, data: list[bytes]) -> None:  # noqa: N802
        if not self.silenced:
            super().writeSequence(data)  # type: ignore[no-untyped-call]


class Listener:
    """The listening port of a stand-in and its open connections."""

    def __init__(self, reactor: Reactor, resource: Resource, address: str) -> None:
        self._reactor = reactor
        self._address = address
        self._factory: Any = WrappingFactory(Site(resource, reactor=reactor))
        self._factory.protocol = _Connection
        self._factory.noisy = False
        self._factory.wrappedFactory.noisy = False
        self._port: Any = None
        self.port = 0

    def open(self, port: int) -> None:
        """Starts to listen; 0 selects a free port. `self.port` is the actual port."""
        self._port = self._reactor.listenTCP(
            port, self._factory, interface=self._address
        )
        self.port = self._port.getHost().port

    @property
    def address(self) -> str:
        """The base URL of the stand-in."""
        return f"http://{self._address}:{self.port}"

    def refuse_connections(self) -> None:
        """Closes the port and resets all connections, as if the process had crashed."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        self.reset_connections()

    def accept_connections(self) -> None:
        """Listens again on the same port."""
        if self._port is None:
            self.open(self.port)

    def reset_connections(self) -> None:
        """Resets every open connection."""
        for connection in list(self._factory.protocols):
            connection.abortConnection()

    def count_connections(self) -> int:
        """Counts the open connections."""
        return len(self._factory.protocols)

    def silence_connections(self) -> None:
        """Silences every open connection permanently; new ones work."""
        for connection in list(self._factory.protocols):
            connection.silenced = True

    def close(self) -> Any:
        """Stops listening and resets the connections; returns a Deferred or None."""
        port, self._port = self._port, None
        self.reset_connections()
        return port.stopListening() if port is not None else None


class TreeResource(Resource):
    """A resource to which children are added by name."""

    def __init__(self) -> None:
        super().__init__()  # type: ignore[no-untyped-call]

    def add_child(self, name: str, child: Resource) -> None:
        """Adds a child for a path segment."""
        self.putChild(name.encode("ascii"), cast("Any", child))


class FaultyResource(TreeResource):
    """The root resource of a stand-in, with its listener for connection faults."""

    listener: Listener | None = None


def serve_resource(
    reactor: Reactor, resource: Resource, address: str, port: int
) -> Listener:
    """Serves `resource` at a local address; port 0 selects a free port."""
    listener = Listener(reactor, resource, address)
    listener.open(port)
    if isinstance(resource, FaultyResource):
        resource.listener = listener
    return listener
