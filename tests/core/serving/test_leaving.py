"""Tests of graceful stops."""

from __future__ import annotations

import unittest

from attrs import evolve

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
from tests.core.serving.harness import ENGINES, ServingHarness


class LeavingTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start()

    def test_requests_are_served_until_the_listener_closes(self) -> None:
        self.assertEqual(find_unready_reason(self.harness.world), "")
        self.harness.post(LeaveRequested("SIGTERM"))
        self.assertEqual(find_unready_reason(self.harness.world), "leaving")
        self.harness.advance(2.0)
        self.assertFalse(self.harness.pop_effects(CloseListener))
        caller = self.harness.request(RouteKind.IDEMPOTENT)
        self.harness.answer(self.harness.send(), caller, 200)
        self.assertTrue(self.harness.pop_effect(DeliverAnswer).closing)
        self.harness.advance(0.5)
        self.harness.pop_effect(CloseListener)
        self.harness.pop_effect(CloseIdleConnections)
        self.harness.advance(0.5)
        self.harness.pop_effect(StopProcess)

    def test_running_stream_is_finished(self) -> None:
        caller = self.harness.request(RouteKind.STREAM)
        attempt = self.harness.send()
        self.harness.open(attempt, caller)
        self.harness.post(LeaveRequested("SIGTERM"))
        for piece in range(1, 40):
            self.harness.produce(attempt, piece)
            self.harness.advance(0.1)
        self.assertFalse(self.harness.pop_effects(StopProcess))
        self.harness.finish(attempt)
        self.assertTrue(self.harness.pop_effect(FinishAnswer).closing)
        self.harness.advance(0.1)
        self.assertEqual(self.harness.pop_effect(RemoveEntry).name, "entry-1")
        self.harness.advance(0.2)
        self.harness.pop_effect(StopProcess)

    def test_stream_that_could_not_end_in_time_is_refused(self) -> None:
        self.harness.world.durations.add(ENGINES, RouteKind.STREAM, 6.0)
        self.harness.post(LeaveRequested("SIGTERM"))
        self.harness.request(RouteKind.STREAM)
        self.harness.send()
        self.harness.advance(1.5)
        self.harness.request(RouteKind.STREAM)
        refusal = self.harness.pop_effect(RefuseCaller)
        self.assertEqual(refusal.status, 503)
        self.assertTrue(refusal.not_run)
        self.assertTrue(refusal.closing)
        self.harness.request(RouteKind.IDEMPOTENT)
        self.harness.send()

    def test_request_that_was_read_during_the_stop_is_answered(self) -> None:
        world = self.harness.world
        leave = evolve(world.serving_policy.leave, limit_s=3.6)
        world.serving_policy = evolve(world.serving_policy, leave=leave)
        self.harness.post(LeaveRequested("SIGTERM"))
        self.harness.advance(3.0)
        self.harness.pop_effect(StopProcess)
        caller = self.harness.request(RouteKind.IDEMPOTENT)
        self.harness.answer(self.harness.send(), caller, 200)
        self.assertTrue(self.harness.pop_effect(DeliverAnswer).closing)
        self.harness.request(RouteKind.NOT_REPEATABLE)
        refusal = self.harness.pop_effect(RefuseCaller)
        self.assertEqual((refusal.status, refusal.not_run), (503, True))
        self.harness.request(RouteKind.IDEMPOTENT)
        self.harness.send()
        self.harness.advance(0.7)
        self.assertEqual(self.harness.pop_effect(RefuseCaller).status, 502)
        self.assertFalse(self.harness.pop_effects(StopProcess))

    def test_running_stream_is_aborted_at_the_limit(self) -> None:
        caller = self.harness.request(RouteKind.STREAM)
        attempt = self.harness.send()
        self.harness.open(attempt, caller)
        self.harness.post(LeaveRequested("SIGTERM"))
        limit_s = self.harness.world.serving_policy.leave.limit_s
        for piece in range(1, round(limit_s * 10) + 2):
            self.harness.produce(attempt, piece)
            self.harness.advance(0.1)
        self.harness.pop_effect(AbortAnswer)
        self.harness.pop_effect(StopProcess)
        self.assertFalse(self.harness.pop_effects(RefuseCaller))


if __name__ == "__main__":
    unittest.main()
