"""Tests of late retries in a stop, and of the durations that it knows."""

from __future__ import annotations

import unittest

from magnoliahold.core.events import LeaveRequested
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import RefuseCaller, SendAttempt
from magnoliahold.core.serving.events import AttemptSent
from tests.core.serving.harness import (
    CALLS,
    ServingHarness,
    make_configuration,
    make_route,
)

CALL = RouteKind.IDEMPOTENT
TIMEOUT_S = 10.0
# With its margin just over what is left for the retry, and under what was left before.
DURATION_S = 5.15


class LateRetryTests(unittest.TestCase):
    def setUp(self) -> None:
        route = make_route(CALL, CALLS, timeout_s=TIMEOUT_S, public=True)
        self.harness = ServingHarness()
        self.harness.start(make_configuration(routes=(route,)))

    def test_request_that_may_have_run_is_sent_again_late(self) -> None:
        self.harness.world.durations.add(CALLS, CALL, DURATION_S)
        self.harness.post(LeaveRequested("SIGTERM"))
        self.harness.advance(1.2)
        self.harness.request(CALL, timeout_s=TIMEOUT_S)
        first = self.harness.send()
        self.harness.post(AttemptSent(first.attempt))
        self.harness.advance(0.5)
        self.assertEqual(self.harness.pop_effects(RefuseCaller), [])
        (again,) = self.harness.pop_effects(SendAttempt)
        self.assertNotEqual(again.upstream, first.upstream)
        # A new request would be refused.
        self.harness.request(CALL, timeout_s=TIMEOUT_S)
        self.assertEqual(self.harness.pop_effect(RefuseCaller).status, 503)

    def test_early_request_is_taken_by_the_mean_duration(self) -> None:
        for duration_s in (6.5, *[0.1] * 60):
            self.harness.world.durations.add(CALLS, CALL, duration_s)
        self.harness.post(LeaveRequested("SIGTERM"))
        self.harness.advance(2.0)
        self.harness.request(CALL, timeout_s=TIMEOUT_S)
        self.harness.send()

    def test_request_that_reached_its_deadline_counts_as_long(self) -> None:
        self.harness.request(CALL, timeout_s=TIMEOUT_S)
        self.harness.send()
        self.harness.advance(TIMEOUT_S + 0.1)
        durations = self.harness.world.durations.find(CALLS, CALL)
        assert durations is not None
        self.assertGreaterEqual(durations.longest_s, TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
