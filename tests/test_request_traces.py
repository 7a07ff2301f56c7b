"""Tests of the stories of requests that are read out of logs."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from magnoliahold.request_traces import list_process_runs, read_logs, read_request_trace


def make_line(second: int, process: str, message: str, **fields: Any) -> str:
    """Makes a log line with a text before the JSON."""
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
    make_line(7, "entry-1", "trust: Upstream trusted again.", upstream="u-1"),
)


class StoryTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "entries.log"
        self.path.write_text("".join(reversed(LINES)), encoding="utf-8")

    def test_story_has_own_lines_and_what_bears_on_them_in_order(self) -> None:
        story = read_request_trace("r-1", read_logs([self.path]))
        sentences = [line.split("  ")[2] for line in story]
        expected = [
            "admission: Request admitted.",
            "routing: Upstream chosen.",
            "trust: Upstream down.",
            "store: Contact lost.",
            "request: Request ended.",
        ]
        self.assertEqual(sentences, expected)
        self.assertIn("reason silent", story[2])

    def test_unknown_request_has_no_story(self) -> None:
        self.assertEqual(read_request_trace("r-9", read_logs([self.path])), [])

    def read_last(self, *lines: str) -> str:
        """Reads the last line of a request's story, with more lines in the log."""
        self.path.write_text("".join((*LINES, *lines)), encoding="utf-8")
        return read_request_trace("r-2", read_logs([self.path]))[-1]

    def test_request_that_was_lost_with_its_entry(self) -> None:
        started = make_line(9, "entry-1", "daemon: Process started.")
        last = self.read_last(started)
        self.assertIn("entry-1  lost with the request", last)
        self.assertTrue(last.startswith("2026-01-01T00:00:07.000Z"))
        self.assertTrue(last.endswith("started 2026-01-01T00:00:09.000Z"))

    def test_request_that_is_still_open_when_the_log_ends(self) -> None:
        self.assertIn("no later line; the request was open", self.read_last())

    def test_lives_of_entries(self) -> None:
        started = make_line(9, "entry-1", "daemon: Process started.")
        self.path.write_text("".join((*LINES, started)), encoding="utf-8")
        lives = list_process_runs(read_logs([self.path]))
        self.assertEqual(
            [line.split()[0] for line in lives], ["entry-1"] * 2 + ["entry-2"]
        )
        self.assertIn("to 2026-01-01T00:00:07.000Z", lives[0])


if __name__ == "__main__":
    unittest.main()
