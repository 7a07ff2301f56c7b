"""Tests of streams whose callers take less than their upstreams send."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import evolve
from twisted.internet.protocol import ClientFactory, Protocol

from magnoliahold.serving.connectionends import BY_ENTRY
from tests.flooding import MIB, SOCKET_BYTES, FloodingServer, make_chunk
from tests.loopback import on_loopback
from tests.serving.scripted import CLOSE
from tests.serving.test_callers import set_limits
from tests.serving.test_daemon import DaemonTestCase
from tests.serving.test_exchanges import HEAD, LAST_CHUNK, OPEN_STREAM, STREAM

if TYPE_CHECKING:
    from magnoliahold.serving.daemon import ServingDaemon

PIECE = b"id: %d\ndata: " + b"a" * 1000 + b"\n\n"
# Answers to HTTP/1.0 aren't in chunks.
REQUEST = (
    b"POST /streams/x HTTP/1.0\r\nHost: 127.0.0.1\r\nRequest-Id: abc\r\n"
    b"Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n"
)
# What an entry may hold of one stream, in all its buffers.
HELD_BYTES = 2 * MIB
LARGE_BYTES = 8 * MIB
CALL = REQUEST.replace(b"HTTP/1.0", b"HTTP/1.1").replace(b"streams", b"calls")
CALLS = 6
# More than are read at once.
MANY_CALLS = 20_000
# Longer than an upstream may be silent.
PAUSE_S = 2.5
# Longer than the time limit of the route.
WATCH_S = 6.0


class SlowCaller(Protocol):
    """Sends a request, and takes nothing of its answer until `take` is called."""

    def __init__(self, request: bytes) -> None:
        self.request = request
        self.received = bytearray()
        self.ended = False

    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.write(self.request)
        transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.ended = True

    def take(self) -> None:
        """Begins to read."""
        transport: Any = self.transport
        transport.resumeProducing()


class BackPressureTests(DaemonTestCase):
    timeout_ms = 5000

    def setUp(self) -> None:
        super().setUp()
        self.slow_callers: list[SlowCaller] = []

    def call(self, request: bytes = REQUEST) -> SlowCaller:
        """Connects a caller that is slow.

        It is kept, since the reactor doesn't keep a connection that neither reads nor
        writes.
        """
        caller = SlowCaller(request)
        self.slow_callers.append(caller)
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: caller  # type: ignore
        host, port = self.settings["callers"].split(":")
        self.reactor.connectTCP(host, int(port), factory)
        return caller

    def measure_held(self, daemon: ServingDaemon) -> int:
        """Counts the bytes of streams that an entry holds."""
        ports = daemon.node.ports
        waiting = sum(channel.unwritten_bytes for channel in ports.callers.channels)
        exchanges = ports.upstreams._exchanges.values()
        pieces = [piece for exchange in exchanges for piece in exchange.pieces]
        return int(waiting) + sum(len(piece.content) for piece in pieces)

    async def watch(
        self, daemon: ServingDaemon, caller: SlowCaller, for_s: float
    ) -> int:
        """Returns the most that is held until the caller's answer ends."""
        most = 0
        end = self.reactor.seconds() + for_s
        while not caller.ended and self.reactor.seconds() < end:
            most = max(most, self.measure_held(daemon))
            await self.sleep(0.01)
        return most

    def count_requests(self) -> int:
        """Counts the requests that upstreams got."""
        counts = [
            item.requests if isinstance(item, FloodingServer) else len(item.requests)
            for item in self.servers
        ]
        return sum(counts)

    def flood_events(self) -> FloodingServer:
        """Makes an upstream that sends events without end."""
        server = FloodingServer(OPEN_STREAM, PIECE)
        server.count_from = 1
        return server

    @on_loopback
    async def test_stream_waits_for_a_caller_that_pauses(self) -> None:
        content = b"".join(PIECE % number for number in range(1, 40 * 1024))
        script = [OPEN_STREAM + content, CLOSE]
        daemon = await self.start(script, script)
        caller = self.call()
        held = await self.watch(daemon, caller, PAUSE_S)
        self.assertFalse(caller.ended)
        self.assertLess(held, HELD_BYTES)
        caller.take()
        held = await self.watch(daemon, caller, WATCH_S)
        self.assertLess(held, HELD_BYTES)
        _, _, body = bytes(caller.received).partition(b"\r\n\r\n")
        self.assertTrue(body == content, f"{len(body)} of {len(content)} bytes")
        self.assertEqual(self.count_requests(), 1)
        self.assertEqual(daemon.node.ports.upstreams._exchanges, {})

    @on_loopback
    async def test_stream_without_end_waits_for_a_caller_that_takes_nothing(
        self,
    ) -> None:
        daemon = await self.start(self.flood_events())
        (server,) = self.servers
        caller = self.call()
        held = await self.watch(daemon, caller, WATCH_S)
        self.assertLess(held, HELD_BYTES)
        self.assertLess(server.sent, HELD_BYTES + 2 * SOCKET_BYTES)
        self.assertEqual(server.requests, 1)
        self.assertEqual(server.ended, server.connections)
        self.assertEqual(daemon.node.ports.upstreams._exchanges, {})

    @on_loopback
    async def test_stream_without_end_ends_at_the_deadline(self) -> None:
        daemon = await self.start(self.flood_events())
        (server,) = self.servers
        caller = self.call()
        self.reactor.callLater(0.1, caller.take)
        held = await self.watch(daemon, caller, WATCH_S)
        self.assertTrue(caller.ended)
        self.assertLess(held, HELD_BYTES)
        self.assertGreater(len(caller.received), 16 * MIB)
        self.assertEqual(server.requests, 1)
        self.assertEqual(server.ended, server.connections)
        self.assertEqual(daemon.node.ports.upstreams._exchanges, {})

    @on_loopback
    async def test_streams_follow_each_other_on_a_connection(self) -> None:
        content = b"".join(PIECE % number for number in range(1, 8 * 1024))
        script = [STREAM + make_chunk(content), LAST_CHUNK]
        await self.start(script, script)
        caller = self.call(REQUEST.replace(b"HTTP/1.0", b"HTTP/1.1") * 2)
        await self.sleep(0.3)
        caller.take()
        end = b"0\r\n\r\n"
        await self.wait_until(lambda: caller.received.count(end) == 2)
        self.assertEqual(caller.received.count(b"HTTP/1.1 200 OK"), 2)
        self.assertGreater(len(caller.received), 2 * len(content))

    async def start_with_large_answers(self) -> ServingDaemon:
        """Starts an entry whose upstream gives a large answer to each call."""
        size = b"Content-Length: %d\r\n\r\n" % LARGE_BYTES
        return await self.start([HEAD + size + b"x" * LARGE_BYTES])

    async def take_all(self, caller: SlowCaller) -> None:
        """Takes the large answers to `CALLS` requests."""
        caller.take()
        taken = CALLS * LARGE_BYTES
        await self.wait_until(lambda: caller.received.count(b"x") >= taken)
        self.assertEqual(caller.received.count(b"HTTP/1.1 200 OK"), CALLS)

    @on_loopback
    async def test_requests_wait_while_earlier_answers_do(self) -> None:
        daemon = await self.start_with_large_answers()
        caller = self.call(CALL * CALLS)
        held = await self.watch(daemon, caller, 1.0)
        self.assertLess(held, LARGE_BYTES + HELD_BYTES)
        await self.take_all(caller)

    @on_loopback
    async def test_requests_that_wait_are_answered_in_a_stop(self) -> None:
        # The store of the test proves the configuration once only.
        self.settings["bounds"] = {"revocation_ms": 60_000}
        daemon = await self.start_with_large_answers()
        caller = self.call(CALL * CALLS)
        await self.watch(daemon, caller, 0.5)
        daemon.leave("SIGTERM")
        await self.watch(daemon, caller, 0.5)
        await self.take_all(caller)
        await self.wait_until(lambda: bool(self.stopped))

    @on_loopback
    async def test_requests_that_wait_keep_no_idle_connection_open(self) -> None:
        daemon = await self.start_with_large_answers()
        callers = daemon.node.ports.callers
        set_limits(callers, evolve(callers.limits, idle_timeout_s=0.5))
        self.call(CALL * MANY_CALLS)
        await self.wait_until(lambda: len(callers.channels) == 1)
        await self.wait_until(lambda: not callers.channels)
        self.assertEqual(callers.unanswered, {BY_ENTRY: 1})
