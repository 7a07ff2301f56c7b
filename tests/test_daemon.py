"""Tests of what all daemons share."""

from __future__ import annotations

import gc
import signal
import unittest
from typing import TYPE_CHECKING, Any

from magnoliahold.daemon import run_until_stopped

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

MAX_OBJECTS = 2000


class EndingReactor:
    """A reactor that runs what is due at the start, and then ends."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], None]] = []
        self.seconds: Any = None

    def callWhenRunning(self, call: Callable[[], None]) -> None:  # noqa: N802
        """Adds a call for the start."""
        self.calls.append(call)

    def run(self, installSignalHandlers: bool) -> None:  # noqa: N803
        """Runs the calls for the start."""
        for call in self.calls:
            call()


class CollectionTests(unittest.TestCase):
    def setUp(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.addCleanup(gc.unfreeze)

    def test_full_collections_do_not_walk_all_modules(self) -> None:
        walked = []

        def start() -> Sequence[Any]:
            walked.append(len(gc.get_objects()))
            return ()

        run_until_stopped(EndingReactor(), start)
        self.assertLess(walked[0], MAX_OBJECTS)


if __name__ == "__main__":
    unittest.main()
