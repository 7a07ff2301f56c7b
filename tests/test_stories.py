"""Tests of the stories of requests that are read out of logs."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from magnoliahold.stories import read_story


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
        story = read_story("r-1", [self.path])
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
        self.assertEqual(read_story("r-9", [self.path]), [])


if __name__ == "__main__":
    unittest.main()
