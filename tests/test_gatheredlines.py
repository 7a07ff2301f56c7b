"""Tests of gathering log lines about what strangers cause."""

from __future__ import annotations

import logging
import unittest
from typing import Any
from unittest.mock import Mock, patch

import msgspec
from twisted.internet.task import Clock

from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.upstreams import UpstreamRecord
from magnoliahold.gatheredlines import GATHERING_S, LINES, LineGatherer
from magnoliahold.httpbounds import BoundedClientProtocol
from magnoliahold.httpclient import HttpAnswer
from magnoliahold.logs import FIELDS, ROOT_NAME, make_part_logger
from magnoliahold.logwriting import MAX_LINES_PER_S, RateFilter
from magnoliahold.platform.rows import RowReader
from magnoliahold.platform.upstreams import read_signal_of_pairs
from magnoliahold.serving.callerconnections import CallerChannel
from magnoliahold.serving.connectionends import EndCause, log_end
from magnoliahold.serving.notices import NoticePort
from magnoliahold.storage.instances import _decode_list
from magnoliahold.wire.links import ZmqLinks

FLOOD = 3 * MAX_LINES_PER_S
UPSTREAM = UpstreamRecord("engine-1", "engines", "10.0.0.1", 8000, "data-centre-1")


class LineGathererTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.lines = LineGatherer(self.clock)
        self.written: list[dict[str, object]] = []

    def write(self, number: int, kind: str = "a") -> None:
        """Writes a line."""
        self.lines.write((kind,), self.written.append, {"kind": kind, "n": number})

    def test_first_line_is_written_at_once_and_others_with_their_number(self) -> None:
        for number in range(5):
            self.write(number)
        self.assertEqual(self.written, [{"kind": "a", "n": 0}])
        self.clock.advance(GATHERING_S)
        self.assertEqual(self.written[1:], [{"kind": "a", "n": 4, "count": 4}])

    def test_no_period_has_more_than_one_line_of_a_kind(self) -> None:
        for number in range(100):
            self.write(number)
            self.clock.advance(GATHERING_S / 10)
        self.assertLessEqual(len(self.written), 11)
        self.clock.advance(2 * GATHERING_S)
        counts = [int(str(line.get("count", 1))) for line in self.written]
        self.assertEqual(sum(counts), 100)

    def test_line_after_a_quiet_period_is_written_at_once(self) -> None:
        for number in range(3):
            self.write(number)
            self.clock.advance(2 * GATHERING_S)
            self.assertEqual(len(self.written), number + 1)
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_kinds_are_gathered_each_by_itself(self) -> None:
        for kind in ("a", "b", "a", "b", "b"):
            self.write(1, kind)
        self.clock.advance(GATHERING_S)
        counts = [(line["kind"], line.get("count")) for line in self.written]
        self.assertEqual(counts, [("a", None), ("b", None), ("a", 1), ("b", 2)])

    def test_stop_writes_what_was_gathered(self) -> None:
        for number in range(3):
            self.write(number)
        self.lines.stop()
        self.write(3)
        counts = [line.get("count") for line in self.written]
        self.assertEqual(counts, [None, 2, None])
        self.clock.advance(GATHERING_S)
        self.assertEqual(len(self.written), 3)


class RecordingHandler(logging.Handler):
    """Records the lines that pass the limit of lines a second."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.addFilter(RateFilter(clock.seconds))

    def emit(self, record: logging.LogRecord) -> None:
        """Records a line."""
        self.lines.append((record.getMessage(), getattr(record, FIELDS, {})))


def send_datagrams(number: int) -> None:
    """Receives a datagram that is no notice."""
    NoticePort(lambda _: None).handle_datagram(b"\xff" * (number % 7), "10.9.9.9")


def make_row_reader() -> Any:
    """Makes a reader of an invalid row; each has a key of its own."""
    reader = RowReader()

    def read_row(number: int) -> None:
        row = msgspec.json.encode({"key": f"row-{number}", "ver": "odd"})
        reader.read_rows(Feed.UPSTREAMS, [msgspec.Raw(row)])

    return read_row


def read_instances(number: int) -> None:
    """Reads a list with an invalid instance."""
    _decode_list(HttpAnswer(200, (), b'{"instances": [%d]}' % number))


def read_odd_answer(number: int) -> None:
    """Reads an upstream's answer whose header is no number."""
    read_signal_of_pairs(UPSTREAM, 503, (("Retry-After", f"x{number}"),))


def reset_odd_connection(_: int) -> None:
    """Resets an upstream's connection on which more than an answer came."""
    BoundedClientProtocol._reset_dirty(Mock())


def discard_message(number: int) -> None:
    """Receives a message on a link that can't be read."""
    ZmqLinks._decode(Mock(broken_messages=0), [b"x"] * (number % 3))


def reject_request(_: int) -> None:
    """Rejects a request that is no HTTP."""
    channel = Mock(_linger_timer=None, requests=[])
    CallerChannel.reject(channel, EndCause.MALFORMED)


def leave_within_request(_: int) -> None:
    """Ends a connection on which a request had begun."""
    log_end(Mock(is_unanswered=True), EndCause.CALLER_LEFT_READING, Mock())


class StrangerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.handler = RecordingHandler(self.clock)
        root = logging.getLogger(ROOT_NAME)
        root.addHandler(self.handler)
        self.addCleanup(root.removeHandler, self.handler)
        level = root.level
        root.setLevel(logging.INFO)
        self.addCleanup(root.setLevel, level)
        self.addCleanup(LINES.stop)

    # Failure: a flood of datagrams that are no notices took all lines of its second,
    # and lines about requests were left out.
    def test_flood_of_strangers_leaves_lines_about_requests(self) -> None:
        for name, send in (
            ("datagrams", send_datagrams),
            ("rows", make_row_reader()),
            ("instances", read_instances),
            ("answers", read_odd_answer),
            ("bytes behind answers", reset_odd_connection),
            ("messages on links", discard_message),
            ("malformed requests", reject_request),
            ("requests that end early", leave_within_request),
        ):
            with self.subTest(name), patch.object(LINES, "clock", self.clock):
                self.handler.lines.clear()
                for number in range(1, FLOOD + 1):
                    send(number)
                make_part_logger("request").info("Request ended.", request="r")
                self.clock.advance(GATHERING_S)
                messages = [message for message, _ in self.handler.lines]
                self.assertIn("request: Request ended.", messages)
                self.assertEqual(len(messages), 3)
                _, fields = self.handler.lines[-1]
                self.assertEqual(fields["count"], FLOOD - 1)
                self.clock.advance(GATHERING_S)


if __name__ == "__main__":
    unittest.main()
