"""Tests of requests for the list of prompts in an upstream's prefix cache."""

from __future__ import annotations

from typing import Any

from magnoliahold.core.serving.events import (
    PromptListFailed,
    PromptsListed,
    UpstreamSignalled,
)
from magnoliahold.core.serving.upstreams import UpstreamRecord
from magnoliahold.serving.prompts import PromptListClient
from tests.loopback import LoopbackTestCase, on_loopback
from tests.serving.scripted import CLOSE, ScriptedServer, make_answer

LIST = b'{"epoch":1,"next":9,"held":[["","ab12",8000,"m"],["","cd34",200,"m"]]}'
# Failure: a list of 16 MB was decoded to some 270 MB of objects.
LONG_LIST = b'{"held":[%s]}' % b",".join([b'["","",0,""]'] * 30_000)

ANSWERS: tuple[tuple[str, list[Any], type], ...] = (
    ("a list", [make_answer(b"200 OK", LIST)], PromptsListed),
    ("not JSON", [make_answer(b"200 OK", b"?")], PromptListFailed),
    ("other fields", [make_answer(b"200 OK", b'{"held":[[1]]}')], PromptListFailed),
    ("too many items", [make_answer(b"200 OK", LONG_LIST)], PromptListFailed),
    ("full", [make_answer(b"429 Too Many", b"")], PromptListFailed),
    ("closed", [CLOSE], PromptListFailed),
    ("silent", [], PromptListFailed),
)


class PromptListTests(LoopbackTestCase):
    @on_loopback
    async def test_result_of_each_answer(self) -> None:
        for name, script, expected in ANSWERS:
            with self.subTest(name):
                events: list[Any] = []
                server = ScriptedServer([script])
                listener = server.listen(self.reactor)
                record = UpstreamRecord("i-1", "s", "127.0.0.1", server.port, "z")
                PromptListClient(self.reactor, events.append).request_list(record, 0.3)
                await self.wait_until(lambda events=events: bool(events))
                self.assertIsInstance(events[0], expected)
                if expected is PromptsListed:
                    self.assertEqual(events[0].parts, ("ab12", "cd34"))
                    self.assertIn(b"GET /-/kv-list", server.requests[0])
                await listener.stopListening()

    @on_loopback
    async def test_list_tells_that_its_upstream_is_leaving(self) -> None:
        events: list[Any] = []
        answer = make_answer(b"200 OK", LIST)
        said = answer.replace(b"\r\n", b"\r\nServer-Leaving: 1\r\n", 1)
        server = ScriptedServer([[said]])
        listener = server.listen(self.reactor)
        record = UpstreamRecord("i-1", "s", "127.0.0.1", server.port, "z", born_ms=5)
        PromptListClient(self.reactor, events.append).request_list(record, 0.3)
        await self.wait_until(lambda: len(events) == 2)
        self.assertEqual(events[0], UpstreamSignalled("i-1", 5, leaving=True))
        await listener.stopListening()
