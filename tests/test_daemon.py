"""Tests of how a process runs its daemons until they have stopped."""

from __future__ import annotations

import gc
import signal
import unittest

from twisted.internet.selectreactor import SelectReactor

from magnoliahold.daemon import run_until_stopped


class EndOfProcessTests(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(gc.unfreeze)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def test_interpreter_searches_no_garbage_when_a_process_ends(self) -> None:
        reactor = SelectReactor()
        before = gc.get_freeze_count()
        reactor.callWhenRunning(reactor.stop)
        run_until_stopped(reactor, list)
        self.assertGreater(gc.get_freeze_count(), before)


if __name__ == "__main__":
    unittest.main()
