"""Tests of the monotonic clock of reactors."""

from __future__ import annotations

import time
import unittest

from twisted.internet.selectreactor import SelectReactor

from magnoliahold.runtime import use_monotonic_clock

HOUR_S = 3_600.0
DEADLINE_S = 5.0


class ClockTests(unittest.TestCase):
    def test_timers_ignore_steps_of_the_wall_clock(self) -> None:
        reactor = SelectReactor()
        wall_offset_s = 0.0
        reactor.seconds = lambda: time.time() + wall_offset_s  # type: ignore[method-assign]
        use_monotonic_clock(reactor)
        fired: list[str] = []
        reactor.callLater(0.01, fired.append, "timer")
        wall_offset_s = -HOUR_S
        deadline = time.monotonic() + DEADLINE_S
        while not fired and time.monotonic() < deadline:
            reactor.runUntilCurrent()
            reactor.doIteration(0.01)
        self.assertEqual(fired, ["timer"])
