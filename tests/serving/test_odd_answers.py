"""Tests that an odd answer of an upstream decides over its own request alone."""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock, patch

from magnoliahold.core.serving.effects import CopyKvCache, FreeCopy
from magnoliahold.core.serving.events import (
    AnswerReceived,
    AttemptInterrupted,
    AttemptNotSent,
    AttemptSent,
    CopyFailed,
    PiecesReceived,
    PromptListFailed,
    StreamOpened,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.requests import CopyReference
from magnoliahold.core.serving.upstreams import UpstreamRecord
from magnoliahold.serving import copies, exchanges, probes, upstreamexchanges
from magnoliahold.serving.copies import KvCacheCopier
from magnoliahold.serving.prompts import PromptListClient
from tests.flooding import make_chunk
from tests.loopback import LoopbackTestCase, on_loopback
from tests.platform.test_foreign_rows import ERRORS, NESTED_LIST, NESTED_OBJECT
from tests.serving.exchanging import ExchangeTestCase
from tests.serving.scripted import ScriptedServer, make_answer
from tests.serving.test_exchanges import STREAM, WHOLE

DIGITS = b"9" * 5000
# Headers that tell something about the upstream, in an answer that is whole.
ODD_HEADERS = (
    b"Retry-After: \xff",
    b"Retry-After: " + DIGITS,
    b"Server-Limit: \xff",
    b"Server-Limit: " + DIGITS,
    b"Server-Limit: nan",
    b"Server-Leaving: \xff",
    b"Keep-Alive: timeout=" + DIGITS,
    b"Keep-Alive: timeout=\xff, \xff",
    b"Connection: \xff",
    b"Not-Known: \xff",
)
ODD_BODIES = (
    ("nested lists", NESTED_LIST),
    ("nested objects", NESTED_OBJECT),
    (
        "nested in an unknown field",
        b'{"held": [], "handle": "h", "x": %s}' % NESTED_LIST,
    ),
    ("nested in a known field", b'{"held": %s, "handle": %s}' % ((NESTED_LIST,) * 2)),
    ("no text", b'{"held": "\xff", "handle": "\xff"}'),
    ("numbers too large", b'{"held": 1e400, "handle": 1e400}'),
    ("nothing", b""),
)


class OddAnswerTests(ExchangeTestCase):
    async def send_and_wait(self, server: ScriptedServer) -> list[type]:
        """Sends an attempt and returns the kinds of the events until its end."""
        self.events.clear()
        self.send(server.port)
        ends = (AnswerReceived, AttemptInterrupted)
        await self.wait_until(
            lambda: any(isinstance(event, ends) for event in self.events)
        )
        return [type(event) for event in self.events]

    # Failure: a whole answer was thrown away for a header that only tells something
    # about its upstream.
    @on_loopback
    async def test_whole_answer_with_an_odd_header_is_delivered(self) -> None:
        for header in ODD_HEADERS:
            for status in (b"200 OK", b"503 Full"):
                answer = WHOLE.replace(b"200 OK", status)
                odd = answer.replace(b"\r\n", b"\r\n" + header + b"\r\n", 1)
                with self.subTest(header[:30], status=status):
                    server = self.listen([odd])
                    kinds = await self.send_and_wait(server)
                    self.assertEqual(kinds, [AttemptSent, AnswerReceived])
                    self.assertEqual(self.events[1].head.request_id, "abc")

    # Failure: an error that wasn't expected left an attempt without a result.
    @on_loopback
    async def test_attempt_ends_whatever_error_its_head_raises(self) -> None:
        for name in ("read_signal", "read_answer_head", "BodyReader"):
            for error in ERRORS:
                failing = Mock(side_effect=error("odd"))
                with (
                    self.subTest(name, error=error.__name__),
                    patch.object(upstreamexchanges, name, failing),
                ):
                    kinds = await self.send_and_wait(self.listen([WHOLE]))
                    self.assertEqual(kinds, [AttemptSent, AttemptInterrupted])
                    self.assertIn("odd", self.events[1].reason)

    @on_loopback
    async def test_probe_ends_whatever_error_its_answer_raises(self) -> None:
        for error in ERRORS:
            for name in ("read_answer_head", "_ProbeReader"):
                failing = Mock(side_effect=error("odd"))
                with (
                    self.subTest(name, error=error.__name__),
                    patch.object(probes, name, failing),
                    self.assertLogs("magnoliahold.upstreams", "WARNING"),
                ):
                    self.events.clear()
                    server = self.listen([WHOLE])
                    self.exchanges.probe(self.make_record(server.port), 0.3)
                    await self.wait_until(lambda: bool(self.events))
                if name == "read_answer_head":
                    self.assertIsInstance(self.events[0], UpstreamAnsweredProbe)

    # Failure: an attempt to an address with a scope had no result.
    @on_loopback
    async def test_attempt_and_probe_end_whatever_error_connecting_raises(self) -> None:
        for error in ERRORS:
            self.events.clear()
            with (
                self.subTest(error=error.__name__),
                patch.object(self.reactor, "connectTCP", side_effect=error("odd")),
            ):
                self.send(1)
                self.exchanges.probe(self.make_record(1), 0.1)
                unsent, failed = self.events
                self.assertIsInstance(unsent, AttemptNotSent)
                self.assertIsInstance(failed, UpstreamFailedProbe)
                self.assertIn("odd", unsent.reason)
                self.exchanges.abort(self.attempt)
        await self.sleep(0.2)

    # Failure: the attempt had no result until the deadline of its request.
    @on_loopback
    async def test_attempt_ends_whatever_error_making_its_request_raises(self) -> None:
        for error in ERRORS:
            for pooled in (False, True):
                server = self.listen([WHOLE])
                if pooled:
                    await self.send_and_wait(server)
                self.events.clear()
                failing = Mock(side_effect=error("odd"))
                with (
                    self.subTest(pooled=pooled, error=error.__name__),
                    patch.object(exchanges, "make_upstream_headers", failing),
                ):
                    self.send(server.port)
                    await self.sleep(0.1)
                    (event,) = self.events
                    self.assertIsInstance(event, AttemptInterrupted)
                    self.assertIn("odd", event.reason)
                    self.assertFalse(event.reset)

    @on_loopback
    async def test_stream_with_an_odd_number_is_interrupted(self) -> None:
        odd = make_chunk(b"id: %s\ndata: x\n\n" % DIGITS)
        good = make_chunk(b"id: 1\ndata: x\n\n")
        for name, script, kinds in (
            ("with the head", [STREAM + odd], ()),
            ("after the head", [STREAM, good, odd], (PiecesReceived,)),
        ):
            with self.subTest(name):
                expected = [AttemptSent, StreamOpened, *kinds, AttemptInterrupted]
                found = await self.send_and_wait(self.listen(script))
                self.assertEqual(found, expected)


class OddBodyTests(LoopbackTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.events: list[Any] = []
        self.copies = KvCacheCopier(self.reactor, self.events.append)
        self.prompts = PromptListClient(self.reactor, self.events.append)

    def listen(self, body: bytes) -> UpstreamRecord:
        """Starts an upstream that answers with a body."""
        server = ScriptedServer([[make_answer(b"200 OK", body)]])
        self.listeners.append(server.listen(self.reactor))
        return UpstreamRecord("i-1", "s", "127.0.0.1", server.port, "z-1")

    @on_loopback
    async def test_odd_body_fails_its_own_call_alone(self) -> None:
        for name, body in ODD_BODIES:
            with self.subTest(name):
                self.events.clear()
                record = self.listen(body)
                self.prompts.request_list(record, 0.5)
                self.copies.order(CopyKvCache(5, "run-1", record, record, 0.5))
                await self.wait_until(lambda: len(self.events) == 2)
                kinds = {type(event) for event in self.events}
                self.assertEqual(kinds, {PromptListFailed, CopyFailed})

    # Failure: an error in the answer to such a call was nobody's.
    @on_loopback
    async def test_error_in_the_answer_to_a_freed_copy_is_logged(self) -> None:
        record = self.listen(b"{}")
        reference = CopyReference(record.address, record.port, "h-1")
        with (
            patch.object(copies, "OK", Mock(__eq__=Mock(side_effect=KeyError("odd")))),
            self.assertLogs("magnoliahold.copies", "INFO") as logged,
        ):
            self.copies.free(FreeCopy(reference, 0.5))
            await self.wait_until(lambda: bool(logged.records))
