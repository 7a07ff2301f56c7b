"""Tests of the soak's callers that write HTTP by themselves."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from magnoliahold.soak.guarantees import GuaranteeChecker
from magnoliahold.soak.losses import RECORDING_S, LossJudge
from magnoliahold.soak.pipelining import (
    AnswerSplitter,
    PipeliningCaller,
    PipeliningConnection,
)
from magnoliahold.standins.users.upstreams import make_call_body, make_piece, sign

PLAIN = b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nResponse-Signature: s\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
FAILED = b"HTTP/1.1 502 No\r\nContent-Length: 2\r\n\r\nno"
SEEDS = range(30)
PORT = 1


class HalfClosableTransport(StringTransport):
    """A transport that notes the close of its writing side."""

    is_half_closed = False

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.is_half_closed = True


def answer(request: Any) -> bytes:
    """Answers a request as its upstream does."""
    head = f"HTTP/1.1 200 OK\r\nResponse-Signature: {sign(request.id)}\r\n".encode()
    numbers = range(1, request.pieces + 1)
    pieces = [make_piece(request.id, number) for number in numbers]
    if not pieces:
        body = make_call_body(request.id)
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


class PipeliningTests(unittest.TestCase):
    def connect(self, seed: int, half_closes: bool = False) -> PipeliningConnection:
        """Connects a caller; nobody answers yet."""
        self.clock = Clock()
        self.checker = GuaranteeChecker(self.clock, lambda _: True)
        judge = LossJudge(self.clock, self.checker)
        self.caller = PipeliningCaller(
            self.clock,
            Random(seed),
            self.checker,
            lambda: PORT,
            "credential-0",
            [],
            judge,
            "p",
            half_closes,
        )
        self.transport = HalfClosableTransport()
        connection = PipeliningConnection(self.caller, PORT)
        connection.makeConnection(self.transport)
        return connection

    def test_answers_are_split_wherever_their_bytes_are(self) -> None:
        content = CHUNKED + PLAIN + CHUNKED
        for step in range(1, len(content)):
            with self.subTest(step=step):
                splitter = AnswerSplitter()
                answers = []
                for start in range(0, len(content), step):
                    answers += splitter.add_bytes(content[start : start + step])
                self.assertEqual([item.status for item in answers], [200, 503, 200])
                self.assertEqual(answers[0].body, b"abcde")
                self.assertEqual(answers[0].signature, "s")
                self.assertEqual([item.closing for item in answers], [0, 1, 0])
                self.assertFalse(splitter.has_begun)

    def test_next_request_is_sent_with_the_last_byte_of_the_answer(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                connection = self.connect(seed)
                self.clock.pump([0.1] * 60)
                self.assertTrue(all(r.sent_at < 6.0 for r in connection.waiting))
                content = b"".join(map(answer, connection.waiting))
                connection.dataReceived(content[:-1])
                self.transport.clear()
                connection.dataReceived(content[-1:])
                self.assertTrue(self.transport.value())
                self.assertEqual(self.checker.broken, [])

    def test_request_that_ends_without_an_answer_is_judged(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                connection = self.connect(seed)
                self.clock.pump([0.1] * 60)
                count = len(connection.waiting)
                connection.connectionLost()
                self.clock.advance(RECORDING_S)
                self.assertEqual(len(self.checker.broken), count)

    def test_half_closing_caller_sends_once_and_takes_any_final_answer(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                connection = self.connect(seed, half_closes=True)
                self.clock.pump([0.1] * 60)
                self.assertTrue(self.transport.is_half_closed)
                self.transport.clear()
                for _ in list(connection.waiting):
                    connection.dataReceived(FAILED)
                self.assertFalse(self.transport.value())
                connection.connectionLost()
                self.clock.advance(RECORDING_S)
                self.assertEqual(self.checker.broken, [])

    def test_half_closing_caller_accepts_the_cut_of_a_begun_stream_only(self) -> None:
        for seed in SEEDS:
            for part in (b"", CHUNKED[:-1]):
                with self.subTest(seed=seed, part=part):
                    connection = self.connect(seed, half_closes=True)
                    self.clock.pump([0.1] * 60)
                    lost = len(connection.waiting)
                    if part and connection.waiting[0].pieces:
                        lost -= 1
                    connection.dataReceived(part)
                    connection.connectionLost()
                    self.clock.advance(RECORDING_S)
                    self.assertEqual(len(self.checker.broken), lost)

    def test_wrong_answer_is_a_violation(self) -> None:
        connection = self.connect(1)
        self.clock.pump([0.1] * 60)
        connection.dataReceived(CHUNKED)
        self.assertEqual(len(self.checker.broken), 1)

    def test_caller_sends_no_more_behind_an_announced_close(self) -> None:
        connection = self.connect(1)
        self.clock.pump([0.1] * 60)
        self.transport.clear()
        connection.dataReceived(PLAIN)
        self.assertTrue(self.transport.disconnecting)
        self.assertFalse(self.transport.value())


if __name__ == "__main__":
    unittest.main()
