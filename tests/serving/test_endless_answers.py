"""Tests that answers without end are cut off, in each of their parts."""

from __future__ import annotations

from magnoliahold.core.serving.events import (
    AnswerReceived,
    AttemptInterrupted,
    AttemptSent,
    PiecesReceived,
    StreamOpened,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from tests.flooding import (
    BODIES,
    BODY_BYTES,
    CHUNKED,
    EXTENDED,
    HEADS,
    MIB,
    SMALL_PARTS_CALLS,
    STATUS,
    WHOLE,
    FloodTestCase,
    make_chunk,
)
from tests.loopback import on_loopback
from tests.serving.exchanging import ExchangeTestCase

STREAM = STATUS + b"Content-Type: text/event-stream\r\n"
PIECE = b"id: 1\ndata: a\n\n"
LONG_PIECE = b"id: %d\ndata: " + b"a" * 1000 + b"\n\n"
SMALL_CHUNK = b"1\r\nx\r\n"


STREAMS = (
    ("event", STREAM + b"\r\n" + PIECE + b"id: 2\ndata: ", b"x"),
    ("event in chunks", STREAM + CHUNKED + make_chunk(PIECE), make_chunk(b"x" * 100)),
    ("event in small chunks", STREAM + CHUNKED + make_chunk(PIECE), SMALL_CHUNK),
    ("lines of an event", STREAM + b"\r\n" + PIECE, b"data: x\n"),
    ("comments", STREAM + b"\r\n" + PIECE, b": x\n\n"),
    ("blank lines", STREAM + b"\r\n" + PIECE, b"\n"),
    ("repeated events", STREAM + b"\r\n" + PIECE, PIECE),
    ("chunk extensions", STREAM + CHUNKED + make_chunk(PIECE), EXTENDED),
    (
        "trailers",
        STREAM + CHUNKED + make_chunk(PIECE) + b"0\r\n",
        b"Name: value\r\n",
    ),
    ("digits of an id", STREAM + b"\r\n" + PIECE + b"id: ", b"9"),
)


class EndlessAnswerTests(ExchangeTestCase, FloodTestCase):
    def find_interruptions(self) -> list[AttemptInterrupted]:
        """Finds the interruptions among the events."""
        return [item for item in self.events if isinstance(item, AttemptInterrupted)]

    def check_interrupted_once(self) -> None:
        """Checks that the attempt failed once, by no fault of its request."""
        (interrupted,) = self.find_interruptions()
        self.assertFalse(interrupted.reset, interrupted.reason)

    @on_loopback
    async def test_heads_without_end_are_cut_off(self) -> None:
        for name, start, filler in HEADS:
            for body in (b"", b"y" * 8 * MIB):
                with self.subTest(name, body=len(body)):
                    self.events.clear()
                    server = self.flood(start, filler)
                    self.send(server.port, body=body)
                    await self.check_cut_off(server, MIB)
                    self.check_interrupted_once()
                    self.assertEqual(len(self.events), 2)

    @on_loopback
    async def test_bodies_without_end_are_cut_off(self) -> None:
        for name, start, filler in BODIES:
            with self.subTest(name):
                self.events.clear()
                server = self.flood(start, filler)
                self.send(server.port)
                await self.check_cut_off(server, BODY_BYTES)
                self.check_interrupted_once()
                self.assertEqual(len(self.events), 2)

    @on_loopback
    async def test_streams_without_end_are_cut_off(self) -> None:
        for name, start, filler in STREAMS:
            with self.subTest(name):
                self.events.clear()
                server = self.flood(start, filler)
                attempt = self.send(server.port)
                await self.check_cut_off(server, 2 * MIB, SMALL_PARTS_CALLS)
                self.check_interrupted_once()
                found = [type(event) for event in self.events]
                expected = [AttemptSent, StreamOpened, PiecesReceived]
                self.assertEqual(found, [*expected, AttemptInterrupted])
                exchange = self.exchanges.find(attempt)
                assert exchange is not None
                self.assertEqual([item.content for item in exchange.pieces], [PIECE])

    @on_loopback
    async def test_stream_with_events_without_end_is_cut_off(self) -> None:
        server = self.flood(STREAM + b"\r\n", LONG_PIECE)
        server.count_from = 1
        attempt = self.send(server.port)
        await self.check_cut_off(server, BODY_BYTES)
        self.check_interrupted_once()
        exchange = self.exchanges.find(attempt)
        assert exchange is not None
        self.assertLess(exchange.size, BODY_BYTES)
        numbers = [item.number for item in exchange.pieces]
        self.assertEqual(numbers, list(range(1, len(numbers) + 1)))

    @on_loopback
    async def test_bytes_after_a_complete_answer_are_cut_off(self) -> None:
        closing = WHOLE.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        for name, answer in (("kept open", WHOLE), ("closing", closing)):
            for body in (b"", b"y" * 8 * MIB):
                with self.subTest(name, body=len(body)):
                    self.events.clear()
                    server = self.flood(answer, b"HTTP/1.1 200 OK\r\n")
                    self.send(server.port, body=body)
                    await self.check_cut_off(server, MIB)
                    found = [type(event) for event in self.events]
                    self.assertEqual(found, [AttemptSent, AnswerReceived])

    @on_loopback
    async def test_probe_answers_without_end_are_cut_off(self) -> None:
        results = (UpstreamAnsweredProbe, UpstreamFailedProbe)
        for name, start, filler in HEADS + BODIES:
            with self.subTest(name):
                self.events.clear()
                server = self.flood(start, filler)
                self.exchanges.probe(self.make_record(server.port), 0.5)
                await self.check_cut_off(server, MIB)
                (event,) = self.events
                self.assertIsInstance(event, results)
