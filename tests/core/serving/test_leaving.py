"""Tests of planned stops."""

from __future__ import annotations

import unittest

from magnoliahold.core.effects import StopProcess
from magnoliahold.core.events import LeaveRequested
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    CloseIdleConnections,
    CloseListener,
    DeliverAnswer,
    FinishAnswer,
    RefuseCaller,
    RemoveEntry,
)
from magnoliahold.core.serving.systems.leaving import find_unready_reason
from tests.core.serving.rig import ENGINES, ServingHarness


class LeavingTests(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = ServingHarness()
        self.rig.start()

    def test_callers_are_sent_elsewhere_first_and_served_on(self) -> None:
        self.assertEqual(find_unready_reason(self.rig.world), "")
        self.rig.post(LeaveRequested("SIGTERM"))
        self.assertEqual(find_unready_reason(self.rig.world), "leaving")
        self.rig.advance(2.0)
        self.assertFalse(self.rig.take(CloseListener))
        caller = self.rig.request(RouteKind.IDEMPOTENT)
        self.rig.answer(self.rig.send(), caller, 200)
        self.assertTrue(self.rig.take_one(DeliverAnswer).closing)
        self.rig.advance(0.5)
        self.rig.take_one(CloseListener)
        self.rig.take_one(CloseIdleConnections)
        self.rig.advance(0.5)
        self.rig.take_one(StopProcess)

    def test_stream_in_flight_is_finished(self) -> None:
        caller = self.rig.request(RouteKind.STREAM)
        attempt = self.rig.send()
        self.rig.open(attempt, caller)
        self.rig.post(LeaveRequested("SIGTERM"))
        for piece in range(1, 40):
            self.rig.produce(attempt, piece)
            self.rig.advance(0.1)
        self.assertFalse(self.rig.take(StopProcess))
        self.rig.finish(attempt)
        self.assertTrue(self.rig.take_one(FinishAnswer).closing)
        self.rig.advance(0.1)
        self.assertEqual(self.rig.take_one(RemoveEntry).name, "entry-1")
        self.rig.advance(0.2)
        self.rig.take_one(StopProcess)

    def test_stream_that_could_not_end_in_time_is_sent_elsewhere(self) -> None:
        self.rig.world.mean_duration_by_service[ENGINES] = 6.0
        self.rig.post(LeaveRequested("SIGTERM"))
        self.rig.request(RouteKind.STREAM)
        self.rig.send()
        self.rig.advance(1.5)
        self.rig.request(RouteKind.STREAM)
        refusal = self.rig.take_one(RefuseCaller)
        self.assertEqual(refusal.status, 503)
        self.assertTrue(refusal.not_run)
        self.assertTrue(refusal.closing)
        self.rig.request(RouteKind.IDEMPOTENT)
        self.rig.send()

    def test_nothing_outlasts_the_limit(self) -> None:
        caller = self.rig.request(RouteKind.STREAM)
        attempt = self.rig.send()
        self.rig.open(attempt, caller)
        self.rig.post(LeaveRequested("SIGTERM"))
        limit_s = self.rig.world.serving_policy.leave.limit_s
        for piece in range(1, round(limit_s * 10) + 2):
            self.rig.produce(attempt, piece)
            self.rig.advance(0.1)
        self.rig.take_one(AbortAnswer)
        self.rig.take_one(StopProcess)
        self.assertFalse(self.rig.take(RefuseCaller))


if __name__ == "__main__":
    unittest.main()
