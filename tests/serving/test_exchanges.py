"""Tests of exchanges with upstreams whose answers are valid, invalid or missing."""

from __future__ import annotations

from functools import partial
from typing import Any

from attrs import evolve

from magnoliahold.core.serving.events import (
    AnswerReceived,
    AttemptInterrupted,
    AttemptNotSent,
    AttemptSent,
    PiecesReceived,
    StreamEnded,
    StreamOpened,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
    UpstreamSignalled,
)
from magnoliahold.serving.upstreamexchanges import MAX_ANSWER_BYTES
from tests.flooding import CHUNKED, make_chunk
from tests.loopback import on_loopback
from tests.serving.exchanging import ExchangeTestCase
from tests.serving.scripted import CLOSE, RESET, ScriptedServer

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: abc\r\nResponse-Signature: s\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"
STREAM = HEAD + b"Content-Type: text/event-stream\r\n" + CHUNKED
OPEN_STREAM = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
PIECE = b"id: 1\ndata: a\n\n"


LAST_CHUNK = make_chunk(b"")
TOO_LONG = b"x" * (MAX_ANSWER_BYTES + 1)

# What an upstream sends, and the events that follow the sending of the request.
ANSWERS: tuple[tuple[str, list[Any], list[type]], ...] = (
    ("whole", [WHOLE], [AnswerReceived]),
    ("no length, closed", [HEAD + b"\r\nok", CLOSE], [AnswerReceived]),
    ("no length, reset", [HEAD + b"\r\nok", RESET], [AttemptInterrupted]),
    ("too short", [HEAD + b"Content-Length: 9\r\n\r\nok", CLOSE], [AttemptInterrupted]),
    ("closed without an answer", [CLOSE], [AttemptInterrupted]),
    ("reset without an answer", [RESET], [AttemptInterrupted]),
    # The caller waited until its deadline.
    ("id that is no text", [WHOLE.replace(b"abc", b"\xff")], [AttemptInterrupted]),
    (
        "type that is no text",
        [STREAM.replace(b"text/", b"\xff/")],
        [AttemptInterrupted],
    ),
    ("no HTTP", [b"\x00\x01garbage\r\n\r\n", CLOSE], [AttemptInterrupted]),
    (
        "too long",
        [HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(TOO_LONG), TOO_LONG)],
        [AttemptInterrupted],
    ),
    ("too long, no length", [HEAD + b"\r\n" + TOO_LONG, CLOSE], [AttemptInterrupted]),
    (
        "too long, chunks",
        [HEAD + CHUNKED + make_chunk(TOO_LONG) + LAST_CHUNK],
        [AttemptInterrupted],
    ),
    ("whole with bytes after it", [WHOLE + b"more"], [AnswerReceived]),
    (
        "stream",
        [STREAM, make_chunk(PIECE), LAST_CHUNK],
        [StreamOpened, PiecesReceived, StreamEnded],
    ),
    (
        "stream broken within a piece",
        [STREAM, make_chunk(PIECE + b"id: 2\nda"), RESET],
        [StreamOpened, PiecesReceived, AttemptInterrupted],
    ),
    (
        "stream with a piece that is too long",
        [STREAM, make_chunk(PIECE), make_chunk(TOO_LONG + b"\n\n") + LAST_CHUNK],
        [StreamOpened, PiecesReceived, AttemptInterrupted],
    ),
    (
        "stream closed before its end",
        [STREAM, make_chunk(PIECE), CLOSE],
        [StreamOpened, PiecesReceived, AttemptInterrupted],
    ),
    (
        "stream without a length, closed between pieces",
        [OPEN_STREAM + PIECE, CLOSE],
        [StreamOpened, PiecesReceived, StreamEnded],
    ),
    (
        "stream without a length, announced and closed between pieces",
        [OPEN_STREAM.replace(b"\r\n", b"\r\nConnection: close\r\n", 1) + PIECE, CLOSE],
        [StreamOpened, PiecesReceived, StreamEnded],
    ),
    (
        "stream without a length, closed within a piece",
        [OPEN_STREAM + PIECE + b"id: 2\nda", CLOSE],
        [StreamOpened, PiecesReceived, AttemptInterrupted],
    ),
    (
        "stream without a length, closed before the blank line of a piece",
        [OPEN_STREAM + PIECE + b"id: 2\ndata: b\n", CLOSE],
        [StreamOpened, PiecesReceived, AttemptInterrupted],
    ),
    (
        "stream without a length, reset between pieces",
        [OPEN_STREAM + PIECE, RESET],
        [StreamOpened, PiecesReceived, AttemptInterrupted],
    ),
    (
        "stream without a length, closed before its first piece",
        [OPEN_STREAM, CLOSE],
        [StreamOpened, AttemptInterrupted],
    ),
    (
        "stream that ends within a piece",
        [STREAM, make_chunk(PIECE + b"id: 2\nda"), LAST_CHUNK],
        [StreamOpened, PiecesReceived, AttemptInterrupted],
    ),
)


class ExchangeTests(ExchangeTestCase):
    async def wait_for(self, count: int) -> list[type]:
        """Waits for `count` events, then 20 ms for surplus ones; lists their types."""
        await self.wait_until(lambda: len(self.events) >= count)
        await self.sleep(0.02)
        return [type(event) for event in self.events]

    @on_loopback
    async def test_events_of_each_answer(self) -> None:
        for name, script, expected in ANSWERS:
            with self.subTest(name):
                self.events.clear()
                server = self.listen(script)
                self.send(server.port)
                found = await self.wait_for(len(expected) + 1)
                self.assertEqual(found, [AttemptSent, *expected])

    @on_loopback
    async def test_refused_connection_is_reported_as_not_sent(self) -> None:
        server = ScriptedServer([])
        server.listen(self.reactor).stopListening()
        self.send(server.port)
        self.assertEqual(await self.wait_for(1), [AttemptNotSent])
        self.assertIn("refused", self.events[0].reason)

    @on_loopback
    async def test_connection_is_reused_unless_bytes_follow_or_it_closes(self) -> None:
        for name, script, connections in (
            ("clean", [WHOLE], 1),
            ("bytes after it", [WHOLE + b"HTTP/1.1 200 OK\r\n"], 2),
            ("closing", [WHOLE.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)], 2),
        ):
            with self.subTest(name):
                self.events.clear()
                server = self.listen(script)
                self.send(server.port)
                await self.wait_for(2)
                self.send(server.port)
                await self.wait_for(4)
                self.assertEqual(server.connections, connections)

    @on_loopback
    async def test_connection_with_bytes_between_answers_is_not_reused(self) -> None:
        server = self.listen([WHOLE])
        self.send(server.port)
        await self.wait_for(2)
        (connections,) = self.pool._idle.values()
        connections[0].dataReceived(WHOLE)
        self.send(server.port)
        await self.wait_for(4)
        self.assertEqual(server.connections, 2)

    @on_loopback
    async def test_non_repeatable_request_avoids_long_idle_connections(self) -> None:
        server = self.listen([WHOLE])
        self.send(server.port)
        await self.wait_for(2)
        (connections,) = self.pool._idle.values()
        connections[0].idle_since -= 3.0
        self.send(server.port, fresh=True)
        await self.wait_for(4)
        self.assertEqual(server.connections, 2)

    @on_loopback
    async def test_aborted_attempt_closes_its_connection_silently(self) -> None:
        server = self.listen([STREAM + make_chunk(PIECE)])
        attempt = self.send(server.port)
        await self.wait_for(3)
        self.events.clear()
        self.exchanges.abort(attempt)
        await self.wait_until(lambda: server.ended == 1)
        await self.sleep(0.02)
        self.assertEqual(self.events, [])

    @on_loopback
    async def test_each_answer_reports_what_it_says_about_its_upstream(self) -> None:
        said = b"\r\nServer-Leaving: 1\r\nRetry-After: 0.5\r\nServer-Limit: 1.3\r\n"
        full = WHOLE.replace(b"200 OK", b"503 Full")
        leaving = UpstreamSignalled("i-1", 5, leaving=True, limit_per_s=1.3)
        backing_off = evolve(leaving, backoff_s=0.5)
        for name, answer, expected in (
            ("whole", WHOLE, leaving),
            ("stream", STREAM, leaving),
            ("rejection", full, backing_off),
        ):
            with self.subTest(name):
                server = self.listen([answer.replace(b"\r\n", said, 1)])
                self.events.clear()
                self.send(server.port)
                await self.wait_until(partial(self.events.__contains__, expected))
                self.events.clear()
                self.exchanges.probe(self.make_record(server.port), 0.1)
                await self.wait_until(partial(self.events.__contains__, expected))

    @on_loopback
    async def test_only_an_upstream_that_does_not_answer_is_silent(self) -> None:
        for name, script, silent in (
            ("no answer", [], True),
            ("reset", [RESET], False),
        ):
            with self.subTest(name):
                self.events.clear()
                server = self.listen(script)
                self.exchanges.probe(self.make_record(server.port), 0.1)
                await self.wait_until(lambda: bool(self.events))
                self.assertEqual(self.events[0].silent, silent)
        with self.subTest("refused"):
            self.events.clear()
            self.exchanges.probe(self.make_record(1), 0.1)
            await self.wait_until(lambda: bool(self.events))
            self.assertFalse(self.events[0].silent)

    @on_loopback
    async def test_result_of_each_probe(self) -> None:
        rejected = b"HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        other = b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"
        odd = WHOLE.replace(b"abc", b"\xff")
        for name, script, expected in (
            ("any answer", [rejected], UpstreamAnsweredProbe),
            ("an answer whose head is no text", [odd], UpstreamAnsweredProbe),
            ("another upstream", [other], UpstreamFailedProbe),
            ("no answer", [], UpstreamFailedProbe),
            ("reset", [RESET], UpstreamFailedProbe),
        ):
            with self.subTest(name):
                self.events.clear()
                server = self.listen(script)
                self.exchanges.probe(self.make_record(server.port), 0.1)
                await self.wait_until(lambda: bool(self.events))
                self.assertIsInstance(self.events[0], expected)
                await self.sleep(0.15)
                self.assertEqual(len(self.events), 1)
                self.assertIn(b"i-1", server.requests[0])

    @on_loopback
    async def test_connection_of_a_probe_closes_if_its_answer_has_no_end(self) -> None:
        server = self.listen([WHOLE[:-1]])
        self.exchanges.probe(self.make_record(server.port), 0.1)
        await self.wait_until(lambda: server.ended == 1)
        (event,) = self.events
        self.assertIsInstance(event, UpstreamAnsweredProbe)
