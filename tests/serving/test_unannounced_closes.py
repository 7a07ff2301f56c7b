"""Tests that no connection closes behind an answer that didn't announce it.

A caller that keeps to HTTP sends its next request as soon as it has the whole answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import evolve

from magnoliahold.serving.callerstates import FRESH_S
from magnoliahold.serving.connectionends import EndCause
from magnoliahold.serving.exchanges import Exchange
from tests.loopback import on_loopback
from tests.serving.exchanging import make_body
from tests.serving.stopping import StoppingTestCase
from tests.serving.test_callers import (
    LIMITS,
    REQUEST,
    UPSTREAM,
    CallerTestCase,
    set_limits,
)
from tests.serving.test_exchanges import LAST_CHUNK, STREAM, WHOLE, make_chunk
from tests.serving.test_lost_requests import CALL, LARGE_BODY

if TYPE_CHECKING:
    from magnoliahold.serving.daemon import ServingDaemon
    from tests.serving.test_callers import Client

PIECE = b"id: 1\ndata: x\n\n"
# Bytes of a stream, in pieces that are written before its end.
STREAMS = (
    ("a stream", (PIECE,)),
    ("a stream without pieces", ()),
    ("a stream that its caller takes slowly", (LARGE_BODY,)),
)
HTTP_1_0 = REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0")
# Requests that ask for a close, or whose version does.
CLOSING_REQUESTS = (
    ("asked for", REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")),
    ("HTTP/1.0", HTTP_1_0),
    (
        "HTTP/1.0 kept alive",
        HTTP_1_0.replace(b"\r\n\r\n", b"\r\nConnection: keep-alive\r\n\r\n"),
    ),
)


def send_when_answered(client: Client, end: bytes, content: bytes) -> None:
    """Sends a request in the moment in which the last byte of an answer came."""
    receive = client.dataReceived
    transport: Any = client.transport
    waiting = [content]

    def receive_and_send(data: bytes) -> None:
        receive(data)
        if waiting and client.received.endswith(end):
            transport.getHandle().sendall(waiting.pop())

    client.dataReceived = receive_and_send  # type: ignore[method-assign]


class UnannouncedCloseTests(CallerTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.callers.limits = evolve(LIMITS, idle_timeout_s=30.0)

    async def expect_answer(self, client: Client) -> None:
        """Waits for the second request, refuses it, and checks the caller's answer."""
        await self.wait_until(lambda: client.closed or len(self.events) == 2)
        self.assertEqual(len(self.events), 2, "the request was discarded")
        before = len(client.received)
        handle = self.events[1].caller.handle
        self.callers.refuse(handle, 503, "leaving", 0.25, closing=True)
        await self.wait_until(lambda: client.closed)
        answer = client.received[before:]
        self.assertEqual(answer.split()[1:2], [b"503"])
        self.assertIn(b"Connection: close", answer)

    @on_loopback
    async def test_request_behind_a_stream_that_ends_in_a_stop_is_answered(
        self,
    ) -> None:
        for name, pieces in STREAMS:
            with self.subTest(name):
                self.events.clear()
                client, handle = await self.send_request(REQUEST)
                send_when_answered(client, LAST_CHUNK, REQUEST)
                self.callers.open_answer(handle, Exchange(1, UPSTREAM, status=200))
                for content in pieces:
                    self.callers.write_pieces(handle, content)
                await self.wait_until(lambda client=client: bool(client.received))
                self.callers.finish_stream(handle, closing=True)
                self.callers.close_idle()
                await self.expect_answer(client)

    @on_loopback
    async def test_request_behind_an_answer_on_its_way_in_a_stop_is_answered(
        self,
    ) -> None:
        client, handle = await self.send_request(REQUEST)
        transport: Any = client.transport
        transport.pauseProducing()
        send_when_answered(client, b"xx", REQUEST)
        answer = Exchange(
            1, UPSTREAM, status=200, body=make_body(LARGE_BODY + b"y" * 9 + b"xx")
        )
        self.callers.answer(handle, answer, closing=False)
        await self.sleep(0.1)
        self.callers.close_idle()
        client.received = b"-"
        transport.resumeProducing()
        await self.expect_answer(client)

    @on_loopback
    async def test_connection_behind_a_stream_closes_once_no_request_came(self) -> None:
        client, handle = await self.send_request(REQUEST)
        self.callers.open_answer(handle, Exchange(1, UPSTREAM, status=200))
        self.callers.finish_stream(handle, closing=True)
        await self.wait_until(lambda: client.received.endswith(LAST_CHUNK))
        self.callers.close_idle()
        await self.sleep(FRESH_S / 2)
        self.assertFalse(client.closed)
        await self.sleep(FRESH_S / 2)
        self.callers.close_idle()
        await self.wait_until(lambda: client.closed)
        self.assertEqual(self.callers.ends, {EndCause.IDLE_AT_STOP: 1})

    @on_loopback
    async def test_close_that_a_request_asks_for_is_announced(self) -> None:
        for name, content in CLOSING_REQUESTS:
            with self.subTest(name):
                client, handle = await self.send_request(content)
                answer = Exchange(1, UPSTREAM, status=200, body=make_body(b"x"))
                self.callers.answer(handle, answer, closing=False)
                await self.wait_until(lambda client=client: client.closed)
                self.assertEqual(client.received.count(b"Connection: close"), 1)

    @on_loopback
    async def test_request_that_comes_late_has_its_rejection_alone(self) -> None:
        set_limits(self.callers, LIMITS)
        for part in (REQUEST[:-1], REQUEST[:40]):
            with self.subTest(part):
                client = await self.connect(part)
                send_when_answered(client, b"\r\n\r\n", REQUEST.removeprefix(part))
                await self.wait_until(lambda client=client: client.closed)
                self.assertEqual(client.received.split()[1:2], [b"408"])
                self.assertEqual(client.received.count(b"HTTP/1.1"), 1)
                self.assertIn(b"Connection: close", client.received)
                self.assertEqual(self.events, [])


class StreamInAStopTests(StoppingTestCase):
    def find_stream(self, daemon: ServingDaemon) -> Any:
        """Finds the connection on which the upstream sends the only open stream."""
        (exchange,) = daemon.node.ports.upstreams._exchanges.values()
        port = exchange.connection.transport.getHost().port
        transports = self.servers[0].transports
        (found,) = [item for item in transports if item.getPeer().port == port]
        return found

    @on_loopback
    async def test_request_behind_a_stream_that_ends_in_a_stop_is_served(self) -> None:
        daemon = await self.start_leaving([STREAM, make_chunk(PIECE)])
        client = await self.connect(CALL.replace(b"calls", b"streams"))
        await self.wait_until(lambda: b"data" in client.received)
        self.servers[0].scripts = [[WHOLE]]
        daemon.leave("SIGTERM")
        await self.sleep(0.4)
        send_when_answered(client, LAST_CHUNK, CALL)
        self.find_stream(daemon).write(LAST_CHUNK)
        await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(client.received.count(b"Connection: close"), 1)
        await self.wait_until(lambda: bool(self.stopped))
