"""Tests of non-blocking log output and of its rate limit."""

from __future__ import annotations

import json
import logging
import os
import time
import unittest

from magnoliahold.logs import FIELDS
from magnoliahold.logwriting import (
    MAX_LINES_PER_S,
    MAX_PLAIN_LINES_PER_S,
    PLAIN_FIELD,
    NonBlockingStream,
    RateFilter,
)

LINE = json.dumps({"message": "x" * 1000}) + "\n"


def make_record(plain: bool) -> logging.LogRecord:
    """Makes a record with fields, as component loggers do."""
    record = logging.LogRecord("n", logging.INFO, "p", 1, "m", None, None)
    setattr(record, FIELDS, {"request": "r", PLAIN_FIELD: plain})
    return record


class NonBlockingStreamTests(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.stream = NonBlockingStream(writer, max_buffered_bytes=100_000)

    def read_lines(self) -> list[str]:
        """Flushes the stream and reads all lines from the pipe."""
        os.set_blocking(self.reader, False)
        content = b""
        while True:
            self.stream.flush()
            try:
                content += os.read(self.reader, 65_536)
            except BlockingIOError:
                return content.decode().splitlines()

    def test_full_pipe_never_blocks_and_lines_stay_whole(self) -> None:
        started = time.monotonic()
        for _ in range(2000):
            self.stream.write(LINE)
        self.assertLess(time.monotonic() - started, 2.0)
        self.assertGreater(self.stream.unreported_drops, 1000)
        kept = self.read_lines()
        self.assertTrue(all(json.loads(line) for line in kept))
        self.assertEqual(len(kept) + self.stream.unreported_drops, 2000)

    def test_next_line_is_preceded_by_the_number_of_dropped_lines(self) -> None:
        for _ in range(2000):
            self.stream.write(LINE)
        unreported_drops = self.stream.unreported_drops
        self.read_lines()
        self.stream.write(LINE)
        note = json.loads(self.read_lines()[0])
        self.assertEqual(
            note, {"message": "log: Lines dropped.", "count": unreported_drops}
        )

    def test_write_to_a_closed_pipe_raises_nothing(self) -> None:
        reader, writer = os.pipe()
        stream = NonBlockingStream(writer)
        os.close(reader)
        self.addCleanup(os.close, writer)
        stream.write(LINE)
        self.assertEqual(stream.total_dropped, 1)


class RateFilterTests(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.filter = RateFilter(lambda: self.now)

    def count_passed(self, count: int, plain: bool) -> int:
        """Returns how many of `count` records pass the filter."""
        return sum(self.filter.filter(make_record(plain)) for _ in range(count))

    def test_plain_lines_are_suppressed_first(self) -> None:
        self.assertEqual(self.count_passed(1000, plain=True), MAX_PLAIN_LINES_PER_S)
        left = MAX_LINES_PER_S - MAX_PLAIN_LINES_PER_S
        self.assertEqual(self.count_passed(1000, plain=False), left)
        self.assertEqual(self.count_passed(10, plain=True), 0)

    def test_next_line_carries_the_number_of_suppressed_lines(self) -> None:
        self.count_passed(MAX_PLAIN_LINES_PER_S + 7, plain=True)
        self.now += 1.0
        record = make_record(plain=True)
        self.assertTrue(self.filter.filter(record))
        self.assertEqual(getattr(record, FIELDS), {"request": "r", "left_out": 7})


if __name__ == "__main__":
    unittest.main()
