"""Tests of request traces extracted from logs."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from magnoliahold.request_traces import list_process_runs, read_logs, read_request_trace


def make_line(second: int, process: str, message: str, **fields: Any) -> str:
    """Makes a log line with text before the JSON object."""
    time = f"2026-01-01T00:00:{second:02d}.000Z"
    content = {"time": time, "process": process, "message": message, **fields}
    return f"   {second}.0 {process} {json.dumps(content)}\n"


LINES = (
    make_line(1, "entry-1", "upstreams: Upstream removed.", upstream="u-1"),
    make_line(2, "entry-1", "admission: Request admitted.", request="r-1"),
    make_line(3, "entry-1", "routing: Upstream chosen.", request="r-1", upstream="u-1"),
    make_line(4, "entry-1", "trust: Upstream down.", upstream="u-1", reason="silent"),
    make_line(4, "entry-1", "trust: Upstream down.", upstream="u-2"),
    make_line(4, "entry-2", "trust: Upstream down.", upstream="u-1"),
    make_line(4, "entry-1", "admission: Request admitted.", request="r-2"),
    "not JSON {\n",
    make_line(5, "entry-1", "store: Contact lost.", feed="configuration"),
    make_line(6, "entry-1", "request: Request ended.", request="r-1", status=502),
    make_line(7, "entry-1", "trust: Upstream healthy again.", upstream="u-1"),
)


class RequestTraceTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "entries.log"
        self.path.write_text("".join(reversed(LINES)), encoding="utf-8")

    def test_trace_has_lines_of_the_request_and_relevant_ones_in_order(self) -> None:
        trace = read_request_trace("r-1", read_logs([self.path]))
        sentences = [line.split("  ")[2] for line in trace]
        expected = [
            "admission: Request admitted.",
            "routing: Upstream chosen.",
            "trust: Upstream down.",
            "store: Contact lost.",
            "request: Request ended.",
        ]
        self.assertEqual(sentences, expected)
        self.assertIn("reason silent", trace[2])

    def test_unknown_request_has_no_trace(self) -> None:
        self.assertEqual(read_request_trace("r-9", read_logs([self.path])), [])

    def read_last(self, *lines: str) -> str:
        """Returns the last line of the trace of `r-2`, with more lines in the log."""
        self.path.write_text("".join((*LINES, *lines)), encoding="utf-8")
        return read_request_trace("r-2", read_logs([self.path]))[-1]

    def test_request_lost_with_its_entry(self) -> None:
        started = make_line(9, "entry-1", "daemon: Process started.")
        last = self.read_last(started)
        self.assertIn("entry-1  lost with the request", last)
        self.assertTrue(last.startswith("2026-01-01T00:00:07.000Z"))
        self.assertTrue(last.endswith("started 2026-01-01T00:00:09.000Z"))

    def test_request_open_at_the_end_of_the_log(self) -> None:
        self.assertIn("no later line; the request was open", self.read_last())

    def test_runs_of_entries(self) -> None:
        started = make_line(9, "entry-1", "daemon: Process started.")
        self.path.write_text("".join((*LINES, started)), encoding="utf-8")
        runs = list_process_runs(read_logs([self.path]))
        self.assertEqual(
            [line.split()[0] for line in runs], ["entry-1"] * 2 + ["entry-2"]
        )
        self.assertIn("to 2026-01-01T00:00:07.000Z", runs[0])


if __name__ == "__main__":
    unittest.main()
