"""A TCP server for tests that answers each request with given bytes."""

from __future__ import annotations

from typing import Any

from attrs import define, field
from twisted.internet.protocol import Protocol, ServerFactory

CLOSE = object()
RESET = object()
PROBE_START = b"GET /-/report "
HEAD_END = b"\r\n\r\n"
RESET_DELAY_S = 0.02


def make_answer(status: bytes, body: bytes) -> bytes:
    """Builds a complete HTTP answer."""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


@define(eq=False)
class ScriptedServer:
    """Answers the n-th request with the n-th script; the last one is repeated.

    The steps of a script are bytes to send, `CLOSE` or `RESET`. With a `probe_script`,
    probes are answered with that, and don't count as requests. `requests` holds the
    request line and headers of each request, `connections` the number of accepted
    connections and `ended` the number of closed ones.
    """

    scripts: list[list[Any]]
    probe_script: list[Any] | None = None
    requests: list[bytes] = field(factory=list)
    connections: int = 0
    ended: int = 0
    port: int = 0
    reactor: Any = None
    transports: list[Any] = field(factory=list)

    def finish(self, content: bytes) -> None:
        """Sends the rest of an answer on the newest connection."""
        self.transports[-1].write(content)

    def listen(self, reactor: Any) -> Any:
        """Listens on a free port and returns the listener."""
        self.reactor = reactor
        factory = ServerFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: _Connection(self)  # type: ignore
        listener: Any = reactor.listenTCP(0, factory, interface="127.0.0.1")
        listener.close = listener.stopListening
        self.port = listener.getHost().port
        return listener


class _Connection(Protocol):
    def __init__(self, server: ScriptedServer) -> None:
        self.server = server
        self.received = b""

    def connectionMade(self) -> None:  # noqa: N802
        self.server.connections += 1
        self.server.transports.append(self.transport)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.server.ended += 1

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data
        while HEAD_END in self.received:
            head, _, self.received = self.received.partition(HEAD_END)
            if self.server.probe_script and head.startswith(PROBE_START):
                self.play(self.server.probe_script)
                continue
            self.server.requests.append(head)
            number = min(len(self.server.requests), len(self.server.scripts))
            self.play(self.server.scripts[number - 1])

    def play(self, script: list[Any]) -> None:
        """Performs the steps of a script."""
        transport: Any = self.transport
        for step in script:
            if step is CLOSE:
                transport.loseConnection()
            elif step is RESET:
                # Delayed, since a reset discards bytes that the client hasn't read yet.
                self.server.reactor.callLater(RESET_DELAY_S, transport.abortConnection)
            else:
                transport.write(step)
