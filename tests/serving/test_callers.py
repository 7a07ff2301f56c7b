"""Tests of the HTTP server for callers: limits, framing and aborted answers."""

from __future__ import annotations

from typing import Any

from attrs import evolve
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol

from magnoliahold.core.serving.configuration import CallerLimits
from magnoliahold.core.serving.events import (
    CallerDisconnected,
    CallerHalfClosed,
    RequestArrived,
)
from magnoliahold.core.serving.upstreams import UpstreamRecord
from magnoliahold.serving.callerlimits import LimitHistory
from magnoliahold.serving.callers import CallerFactory, Callers
from magnoliahold.serving.callerstates import FRESH_S
from magnoliahold.serving.exchanges import Exchange
from tests.loopback import LoopbackTestCase, on_loopback
from tests.serving.exchanging import make_body

LIMITS = CallerLimits(
    header_bytes=600, body_bytes=100, header_timeout_s=0.3, idle_timeout_s=0.6
)
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: abc\r\n"
REQUEST = HEAD + b"Content-Length: 2\r\n\r\nhi"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
GET = HEAD.replace(b"POST", b"GET") + b"\r\n"

# Bytes from a caller that are rejected without an event, and the status it gets.
REJECTED = (
    ("no request id", b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 400),
    ("two lengths", HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", 400),
    (
        "length and chunks",
        HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    ("a length that is no number", HEAD + b"Content-Length: +2\r\n\r\nhi", 400),
    ("a header without a colon", HEAD + b"nonsense\r\n\r\n", 400),
    ("a bad chunk", HEAD + b"Transfer-Encoding: chunked\r\n\r\nxx\r\n", 400),
    ("large headers", HEAD + b"X: " + b"x" * 700 + b"\r\n\r\n", 431),
    ("an endless line", b"GET /" + b"x" * 5000, 431),
    ("a large body", HEAD + b"Content-Length: 200\r\n\r\n" + b"x" * 200, 413),
    ("a slow head", b"POST /a HTTP/1.1\r\nHost:", 408),
)

UPSTREAM = UpstreamRecord("i", "s", "h", 1, "z")


class Client(Protocol):
    """Collects the bytes that the server sends."""

    def __init__(self) -> None:
        self.received = b""
        self.closed = False
        self.connected_at = Deferred[None]()

    def connectionMade(self) -> None:  # noqa: N802
        self.connected_at.callback(None)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.closed = True


async def connect_client(reactor: Any, port: int, content: bytes) -> Client:
    """Connects to a port on loopback and sends bytes."""
    client = Client()
    factory = ClientFactory()
    factory.noisy = False
    factory.buildProtocol = lambda _: client  # type: ignore
    factory.clientConnectionFailed = (  # type: ignore[method-assign]
        lambda _, reason: client.connected_at.errback(reason)
    )
    reactor.connectTCP("127.0.0.1", port, factory)
    await client.connected_at
    assert client.transport is not None
    client.transport.write(content)
    return client


def set_limits(callers: Callers, limits: CallerLimits) -> None:
    """Sets limits as if they had been in force all along."""
    callers._limits = LimitHistory(limits)


class CallerTestCase(LoopbackTestCase):
    """A test case with a listening server for callers; `events` are those it posts."""

    def setUp(self) -> None:
        super().setUp()
        self.events: list[Any] = []
        self.callers = Callers(self.reactor, self.events.append, LIMITS)
        factory = CallerFactory(self.callers)
        listener = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        listener.close = listener.stopListening
        self.listeners.append(listener)
        self.port = listener.getHost().port

    async def connect(self, content: bytes) -> Client:
        """Connects and sends bytes."""
        return await connect_client(self.reactor, self.port, content)

    async def send_request(self, content: bytes) -> tuple[Client, int]:
        """Sends a request and returns the client and the request's handle."""
        count = len(self.events)
        client = await self.connect(content)
        await self.wait_until(lambda: len(self.events) > count)
        event = self.events[-1]
        assert isinstance(event, RequestArrived)
        return client, event.caller.handle


class CallerTests(CallerTestCase):
    @on_loopback
    async def test_invalid_requests_are_rejected(self) -> None:
        for name, content, status in REJECTED:
            with self.subTest(name):
                client = await self.connect(content)
                await self.wait_until(lambda client=client: client.closed)
                self.assertEqual(client.received.split()[1], b"%d" % status)
                self.assertEqual(self.events, [])

    @on_loopback
    async def test_bodies_are_read_completely(self) -> None:
        for content, body in ((REQUEST, b"hi"), (CHUNKED, b"hi"), (GET, b"")):
            _, handle = await self.send_request(content)
            found = self.callers.find_content(handle)
            assert found is not None
            self.assertEqual((found.target, found.body), (b"/a", body))

    @on_loopback
    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        client, handle = await self.send_request(REQUEST + REQUEST)
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(b"first"))
        self.callers.answer(handle, answer, closing=False)
        await self.wait_until(lambda: len(self.events) == 2)
        second = self.events[1].caller.handle
        self.callers.refuse(second, 503, "come back", 0.25, closing=True)
        await self.wait_until(lambda: client.closed)
        first, _, rest = client.received.partition(b"first")
        self.assertIn(b"Content-Length: 5", first)
        self.assertIn(b"503", rest.split(b"\r\n")[0])
        self.assertIn(b"Retry-After: 0.250", rest)
        self.assertIn(b"Request-Id: abc", rest)
        self.assertIn(b"Connection: close", rest)

    @on_loopback
    async def test_only_a_finished_stream_has_a_last_chunk(self) -> None:
        for finish in (True, False):
            with self.subTest(finish=finish):
                client, handle = await self.send_request(REQUEST)
                upstream = Exchange(1, UPSTREAM, status=200)
                self.callers.open_answer(handle, upstream)
                self.callers.write_pieces(handle, b"id: 1\n\n")
                if finish:
                    self.callers.finish_stream(handle, closing=True)
                else:
                    await self.wait_until(
                        lambda client=client: b"id" in client.received
                    )
                    self.callers.abort(handle)
                await self.wait_until(lambda client=client: client.closed)
                ended = client.received.endswith(b"0\r\n\r\n")
                self.assertEqual(ended, finish)

    @on_loopback
    async def test_caller_disconnect_is_reported_once(self) -> None:
        for end, expected in (
            ("abortConnection", CallerDisconnected),
            ("loseConnection", CallerHalfClosed),
        ):
            with self.subTest(end):
                self.events.clear()
                client, handle = await self.send_request(REQUEST)
                getattr(client.transport, end)()
                await self.wait_until(lambda: len(self.events) == 2)
                self.assertEqual(self.events[1], expected(handle))
                upstream = Exchange(1, UPSTREAM, status=200, body=make_body(b"late"))
                self.callers.answer(handle, upstream, closing=False)
                self.callers.abort(handle)
                await self.wait_until(lambda: not self.callers.channels)
                self.assertEqual(len(self.events), 2)

    @on_loopback
    async def test_idle_connections_close_on_timeout_or_on_request(self) -> None:
        client = await self.connect(b"")
        await self.sleep(0.3)
        self.assertFalse(client.closed)
        await self.wait_until(lambda: client.closed)
        self.callers.limits = evolve(LIMITS, idle_timeout_s=30.0)
        idle = await self.connect(b"")
        busy, handle = await self.send_request(REQUEST)
        await self.sleep(FRESH_S)
        self.callers.close_idle()
        await self.wait_until(lambda: idle.closed)
        self.assertFalse(busy.closed)
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(b"x"))
        self.callers.answer(handle, answer, closing=True)
        await self.wait_until(lambda: busy.closed)
        self.assertIn(b"200", busy.received)
