"""Tests of orders to copy the KV caches of running streams."""

from __future__ import annotations

from typing import Any

from magnoliahold.core.serving.effects import CopyKvCache, FreeCopy
from magnoliahold.core.serving.events import (
    CopyFailed,
    KvCacheCopied,
    UpstreamSignalled,
)
from magnoliahold.core.serving.requests import CopyReference
from magnoliahold.core.serving.upstreams import UpstreamRecord
from magnoliahold.serving.copies import KvCacheCopier
from tests.loopback import LoopbackTestCase, on_loopback
from tests.serving.scripted import CLOSE, ScriptedServer, make_answer

HOLDER = UpstreamRecord("i-2", "s", "10.0.0.2", 8081, "z-2")
MADE = make_answer(b"200 OK", b'{"handle":"h-1","created":12}')
# Failure: a key of up to 16 MB was kept, and sent to another upstream.
LONG_ANSWER = b'{"handle":"%s"}' % (b"h" * 8000)
ANSWERS: tuple[tuple[str, list[Any], type], ...] = (
    ("made", [MADE], KvCacheCopied),
    ("no such run", [make_answer(b"404 Not Found", b"{}")], CopyFailed),
    ("no room", [make_answer(b"503 Full", b'{"handle":"h-1"}')], CopyFailed),
    ("not JSON", [make_answer(b"200 OK", b"?")], CopyFailed),
    ("too long", [make_answer(b"200 OK", LONG_ANSWER)], CopyFailed),
    ("closed", [CLOSE], CopyFailed),
    ("silent", [], CopyFailed),
)


class CopyTests(LoopbackTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.events: list[Any] = []
        self.copies = KvCacheCopier(self.reactor, self.events.append)

    def listen(self, script: list[Any]) -> ScriptedServer:
        server = ScriptedServer([script])
        server.listen(self.reactor)
        return server

    @on_loopback
    async def test_result_of_each_answer_to_an_order(self) -> None:
        for name, script, expected in ANSWERS:
            with self.subTest(name):
                self.events.clear()
                server = self.listen(script)
                source = UpstreamRecord("i-1", "s", "127.0.0.1", server.port, "z-1")
                self.copies.order(CopyKvCache(5, "run-1", source, HOLDER, 0.3))
                await self.wait_until(lambda: bool(self.events))
                (event,) = self.events
                self.assertIsInstance(event, expected)
                self.assertEqual((event.attempt, event.holder_id), (5, "i-2"))
                self.assertIn(b"POST /-/kv-move", server.requests[0])
                if expected is KvCacheCopied:
                    self.assertEqual(
                        event.copy, CopyReference("127.0.0.1", server.port, "h-1")
                    )

    @on_loopback
    async def test_answer_to_an_order_tells_that_its_upstream_is_leaving(self) -> None:
        server = self.listen([MADE.replace(b"\r\n", b"\r\nServer-Leaving: 1\r\n", 1)])
        source = UpstreamRecord("i-1", "s", "127.0.0.1", server.port, "z-1", born_ms=5)
        self.copies.order(CopyKvCache(5, "run-1", source, HOLDER, 0.3))
        await self.wait_until(lambda: len(self.events) == 2)
        self.assertEqual(self.events[0], UpstreamSignalled("i-1", 5, leaving=True))

    @on_loopback
    async def test_copy_is_freed_by_its_key(self) -> None:
        server = self.listen([make_answer(b"200 OK", b"{}")])
        self.copies.free(FreeCopy(CopyReference("127.0.0.1", server.port, "h/1"), 0.3))
        await self.wait_until(lambda: bool(server.requests))
        self.assertIn(b"DELETE /-/kv-handle/h%2F1 ", server.requests[0])
