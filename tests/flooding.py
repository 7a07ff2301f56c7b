"""A TCP server for tests that sends part of an answer without end, and its answers."""

from __future__ import annotations

from typing import Any

from attrs import define, field
from twisted.internet.protocol import Protocol, ServerFactory

from tests.cputime import measure_cost
from tests.loopback import LoopbackTestCase

BLOCK_BYTES = 64 * 1024
HEAD_END = b"\r\n\r\n"

MIB = 1024 * 1024
# Bytes that lie unread in the buffers of both sockets.
SOCKET_BYTES = 12 * MIB
BODY_BYTES = 32 * MIB
# What it may cost to cut off an answer: a second of an idle processor.
MAX_CALLS = 20_000_000
# The same for an answer that may come in very small parts.
SMALL_PARTS_CALLS = 3 * MAX_CALLS

STATUS = b"HTTP/1.1 200 OK\r\nRequest-Id: abc\r\nResponse-Signature: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
PLAIN = STATUS + CHUNKED
WHOLE = STATUS + b"Content-Length: 2\r\n\r\nok"
EXTENDED = b"1;" + b"e" * 1000 + b"\r\nx\r\n"


def make_chunk(content: bytes) -> bytes:
    """Frames bytes as a chunk."""
    return b"%x\r\n%s\r\n" % (len(content), content)


# The start of an answer, and what follows it without end.
HEADS = (
    ("status line", b"HTTP/1.1 200 ", b"x"),
    ("no answer", b"", b"\x00\x01\x02"),
    ("status of many digits", b"HTTP/1.1 ", b"2"),
    ("one header line", STATUS + b"Long: ", b"x"),
    ("header lines", STATUS, b"Name: value\r\n"),
    ("short header lines", STATUS, b"a:\n"),
    ("lines of one header", STATUS + b"Name: value\r\n", b" \n"),
    ("interim heads", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ("short interim heads", b"", b"HTTP/1.1 199\n\n"),
)
BODIES = (
    ("length", STATUS + b"Content-Length: 99999999999999\r\n\r\n", b"x"),
    ("no length", STATUS + b"\r\n", b"x"),
    ("chunks", PLAIN, make_chunk(b"x" * 1000)),
    ("one chunk", PLAIN + b"fffffffffff\r\n", b"x"),
    ("chunk size line", PLAIN, b"1"),
    ("chunk extension", PLAIN + b"5;", b"e"),
    ("chunk extensions", PLAIN, EXTENDED),
    ("trailers", PLAIN + make_chunk(b"ok") + b"0\r\n", b"Name: value\r\n"),
)


@define(eq=False)
class FloodingServer:
    """Answers each request with `start`, then repeats `filler` until cut off.

    While it does so, it reads nothing. The first requests get the answers in `sound`
    instead. `sent` counts the bytes of filler, `connections` the accepted connections
    and `ended` the closed ones. With `count_from`, fillers have a place for a number,
    which counts up from there. It stops once it has sent more than `most`; `cut_off`
    says that it didn't have to.
    """

    start: bytes
    filler: bytes
    sound: list[bytes] = field(factory=list)
    count_from: int | None = None
    connections: int = 0
    requests: int = 0
    ended: int = 0
    sent: int = 0
    most: float = float("inf")
    cut_off: bool = True
    port: int = 0
    transports: list[Any] = field(factory=list)

    def make_block(self) -> bytes:
        """Makes as many fillers as are sent at once."""
        count = max(1, BLOCK_BYTES // len(self.filler))
        if self.count_from is None:
            return self.filler * count
        first = self.count_from
        self.count_from += count
        return b"".join(self.filler % (first + number) for number in range(count))

    def stop(self) -> None:
        """Resets the connections that are still open."""
        self.cut_off = False
        for transport in self.transports:
            transport.abortConnection()

    def listen(self, reactor: Any) -> Any:
        """Listens on a free port and returns the listener."""
        factory = ServerFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: _Connection(self)  # type: ignore
        listener = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.port = listener.getHost().port
        listener.close = listener.stopListening
        return listener


class _Connection(Protocol):
    """A connection; it is a pull producer of its transport while it floods it."""

    def __init__(self, server: FloodingServer) -> None:
        self.server = server
        self.received = b""
        self.flooding = False

    def connectionMade(self) -> None:  # noqa: N802
        self.server.connections += 1
        self.server.transports.append(self.transport)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.server.ended += 1

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data
        if self.flooding or HEAD_END not in self.received:
            return
        self.received = b""
        server = self.server
        server.requests += 1
        transport: Any = self.transport
        if server.sound:
            transport.write(server.sound.pop(0))
            return
        self.flooding = True
        transport.pauseProducing()
        transport.write(server.start)
        transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Sends the next block."""
        if self.server.sent > self.server.most:
            self.server.stop()
            return
        block = self.server.make_block()
        self.server.sent += len(block)
        transport: Any = self.transport
        transport.write(block)

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: the connection is lost."""


class FloodTestCase(LoopbackTestCase):
    """A test case with servers that send without end."""

    def flood(
        self, start: bytes, filler: bytes, sound: list[bytes] | None = None
    ) -> FloodingServer:
        """Starts a server that sends without end."""
        server = FloodingServer(start, filler, sound or [])
        self.listeners.append(server.listen(self.reactor))
        return server

    async def check_cut_off(
        self, server: FloodingServer, limit: int, max_calls: int = MAX_CALLS
    ) -> None:
        """Waits until the connection was closed; checks what came in till then."""
        server.most = limit + SOCKET_BYTES
        with measure_cost() as cost:
            await self.wait_until(lambda: server.ended == 1)
            await self.sleep(0.03)
        self.assertTrue(server.cut_off, f"went on after {server.sent} bytes")
        self.assertLess(cost.calls, max_calls)
        self.assertLess(server.sent, limit + SOCKET_BYTES)
