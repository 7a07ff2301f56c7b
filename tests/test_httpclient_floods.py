"""Tests that the HTTP client cuts off answers without end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.httpclient import HttpClient, HttpExchangeError
from tests.flooding import (
    BODIES,
    BODY_BYTES,
    HEADS,
    MIB,
    WHOLE,
    FloodTestCase,
)
from tests.loopback import on_loopback

if TYPE_CHECKING:
    from tests.flooding import FloodingServer

BODY = b"y" * 8 * MIB


class HttpClientFloodTests(FloodTestCase):
    async def check_failure(
        self, server: FloodingServer, persistent: bool, body: bytes, limit: int
    ) -> None:
        """Checks that the last answer is cut off and counts as sent."""
        address = f"http://127.0.0.1:{server.port}"
        client = HttpClient(self.reactor, address, persistent)
        for _ in range(len(server.sound)):
            await client.send("GET", "/a")
        sending = client.send("POST", "/a", body)
        sending.addErrback(lambda failure: failure.value)
        await self.check_cut_off(server, limit)
        error = await sending
        self.assertIsInstance(error, HttpExchangeError)
        self.assertTrue(error.sent)
        self.assertEqual(server.connections, 1)

    @on_loopback
    async def test_heads_without_end_are_cut_off(self) -> None:
        for name, start, filler in HEADS:
            with self.subTest(name):
                server = self.flood(start, filler)
                await self.check_failure(server, False, BODY, MIB)

    @on_loopback
    async def test_heads_without_end_are_cut_off_on_a_kept_connection(self) -> None:
        for name, start, filler in HEADS:
            with self.subTest(name):
                server = self.flood(start, filler, [WHOLE])
                await self.check_failure(server, True, BODY, MIB)

    @on_loopback
    async def test_bodies_without_end_are_cut_off(self) -> None:
        for name, start, filler in BODIES:
            with self.subTest(name):
                server = self.flood(start, filler)
                await self.check_failure(server, False, BODY, BODY_BYTES)

    @on_loopback
    async def test_bodies_without_end_are_cut_off_on_a_kept_connection(self) -> None:
        for name, start, filler in BODIES:
            with self.subTest(name):
                server = self.flood(start, filler, [WHOLE])
                await self.check_failure(server, True, BODY, BODY_BYTES)

    @on_loopback
    async def test_bytes_after_an_answer_do_not_answer_the_next_request(self) -> None:
        other = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
        for name, rest in (("an answer", other), ("no answer", b"\r\n")):
            with self.subTest(name):
                server = self.flood(b"", b"x", [WHOLE + rest, WHOLE])
                address = f"http://127.0.0.1:{server.port}"
                client = HttpClient(self.reactor, address, persistent=True)
                for _ in range(2):
                    answer = await client.send("GET", "/a")
                    self.assertEqual(answer.body, b"ok")
                self.assertEqual(server.connections, 2)
