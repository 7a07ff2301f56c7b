"""Tests that deadlines hold where each tick takes long, as on a choked core."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import RefuseCaller
from tests.core.serving.harness import ServingHarness

TIMEOUT_S = 1.5
# What a request may last beyond its route's timeout.
SLACK_S = 0.5
TICKS_S = (0.1, 0.3, 0.4, 0.6)


class SlowTickTests(unittest.TestCase):
    # Each tick takes until the next one begins; what arrives meanwhile is read between.
    # Failure: each tick compared with the time of the one before, so that a request
    # ended up to two ticks after its deadline.
    def test_deadline_holds_where_each_tick_is_late(self) -> None:
        for tick_s in TICKS_S:
            for phase in range(10):
                with self.subTest(tick_s=tick_s, phase=phase):
                    harness = ServingHarness()
                    harness.start()
                    harness.request(RouteKind.NOT_REPEATABLE, timeout_s=TIMEOUT_S)
                    arrived_at = harness.now
                    harness.send()
                    harness.advance(tick_s * phase / 10, tick_s / 10)
                    while not harness.pop_effects(RefuseCaller):
                        harness.now += tick_s
                        harness.world.read_at = harness.now
                        harness.post()
                    late_s = harness.now - arrived_at - TIMEOUT_S
                    # A tick that comes late can't refuse before it begins.
                    self.assertLessEqual(late_s, max(SLACK_S, tick_s))


if __name__ == "__main__":
    unittest.main()
