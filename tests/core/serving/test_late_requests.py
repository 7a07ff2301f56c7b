"""Tests that a stopping entry takes no request which it would have to cut."""

from __future__ import annotations

import unittest

from magnoliahold.core.effects import StopProcess
from magnoliahold.core.events import LeaveRequested
from magnoliahold.core.serving.configuration import RouteKind, Service
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    CloseIdleConnections,
    DeliverAnswer,
    RefuseCaller,
    SendAttempt,
)
from magnoliahold.settings.loading import parse_serving_settings
from magnoliahold.settings.serving import make_serving_policy
from tests.core.serving.harness import (
    CALLS,
    ENGINES,
    ServingHarness,
    make_configuration,
    make_route,
)

SETTINGS = {
    "name": "entry-1",
    "data_centre": "data-centre-1",
    "callers": "127.0.0.1:1",
    "store": "127.0.0.1:2",
}
ONCE = RouteKind.NOT_REPEATABLE
CALL = RouteKind.IDEMPOTENT
STREAM = RouteKind.STREAM
TIMEOUT_S = 10.0
LIMIT_S = 7.4
# How long a process takes to exit on a small core.
EXIT_TIME_S = 0.25
# With a grace below 2 s it has this share: its last sixth begins with the limit.
SHORT_EXIT_SHARE = 1 / 8

# Kind of a request, how long those before it took, its caller's timeout, how long after
# the order to stop it arrives, and whether it is taken.
ARRIVALS: tuple[tuple[str, RouteKind, tuple[float, ...], float, float, bool], ...] = (
    ("early, and short", ONCE, (0.3, 0.3), TIMEOUT_S, 1.0, True),
    ("early, and mostly short", ONCE, (5.9, *[0.1] * 60), TIMEOUT_S, 2.0, True),
    ("early, and mostly too long", ONCE, (6.0, 6.0), TIMEOUT_S, 2.0, False),
    ("late, and short", ONCE, (0.3,) * 100, TIMEOUT_S, 6.0, True),
    ("late, and only few were measured", ONCE, (0.3,) * 20, TIMEOUT_S, 4.0, False),
    ("a repeatable call, and nothing was measured", CALL, (), TIMEOUT_S, 6.0, True),
    ("late, and sometimes too long", ONCE, (2.0, *[0.1] * 99), TIMEOUT_S, 6.0, False),
    ("late, and always too long", ONCE, (2.0,) * 100, TIMEOUT_S, 6.5, False),
    ("late, but its caller waits no longer", ONCE, (2.0, 2.0), 0.5, 6.5, True),
    ("late, and nothing was measured", ONCE, (), TIMEOUT_S, 7.3, False),
    ("in the last tick", ONCE, (0.01,) * 100, TIMEOUT_S, 7.39, False),
    ("after the limit", ONCE, (0.01,) * 100, TIMEOUT_S, 7.45, False),
    ("a repeatable call", CALL, (2.0, 2.0), TIMEOUT_S, 6.5, False),
    ("a stream, sometimes too long", STREAM, (4.0, *[0.5] * 99), 25.0, 4.5, False),
    ("a stream, short", STREAM, (1.0,) * 100, 25.0, 4.5, True),
    ("a stream, nothing was measured", STREAM, (), 25.0, 6.0, False),
)


class LateRequestTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()

    def start(self, attempts: int = 1) -> None:
        """Starts an entry with routes that need no credential."""
        self.harness = ServingHarness()
        routes = tuple(
            make_route(
                kind,
                ENGINES if kind is STREAM else CALLS,
                timeout_s=25.0 if kind is STREAM else TIMEOUT_S,
                max_attempts=attempts,
                public=True,
            )
            for kind in RouteKind
        )
        services = (Service(ENGINES), Service(CALLS))
        self.harness.start(make_configuration(routes=routes, services=services))

    def run_request(self, kind: RouteKind, duration_s: float) -> None:
        """Lets a request arrive and run to its end at an upstream."""
        caller = self.harness.request(kind, timeout_s=25.0)
        attempt = self.harness.send()
        if kind is STREAM:
            self.harness.open(attempt, caller)
            self.harness.produce(attempt, 1)
        for number in range(round(duration_s / 0.1)):
            self.harness.advance(0.1)
            if kind is STREAM:
                self.harness.produce(attempt, number + 2)
        if kind is STREAM:
            self.harness.finish(attempt)
        else:
            self.harness.answer(attempt, caller, 200)
        self.harness.emitted.clear()

    def test_late_request_that_would_be_cut_is_refused_as_not_run(self) -> None:
        for name, kind, earlier, timeout_s, after_s, taken in ARRIVALS:
            with self.subTest(name):
                self.start()
                for duration_s in earlier:
                    self.run_request(kind, duration_s)
                self.harness.post(LeaveRequested("SIGTERM"))
                self.keep_busy(after_s)
                self.harness.request(kind, timeout_s=timeout_s)
                sent = self.harness.pop_effects(SendAttempt)
                refused = self.harness.pop_effects(RefuseCaller)
                self.assertEqual((len(sent), len(refused)), (taken, not taken))
                for refusal in refused:
                    self.assertEqual((refusal.status, refusal.not_run), (503, True))
                    self.assertTrue(refusal.closing)
                    self.assertIsNotNone(refusal.retry_after_s)

    def keep_busy(self, seconds: float) -> None:
        """Lets time pass while another request runs."""
        self.harness.request(ONCE, timeout_s=TIMEOUT_S)
        self.harness.send()
        self.harness.advance(seconds, step_s=0.01)
        self.harness.emitted.clear()

    def test_request_that_was_rejected_late_is_not_sent_again(self) -> None:
        self.start(attempts=3)
        self.run_request(ONCE, 0.5)
        self.harness.post(LeaveRequested("SIGTERM"))
        self.harness.advance(1.0)
        caller = self.harness.request(ONCE, timeout_s=TIMEOUT_S)
        attempt = self.harness.send()
        self.harness.advance(6.2)
        self.harness.answer(attempt, caller, 503, not_run=True)
        refusal = self.harness.pop_effect(RefuseCaller)
        self.assertEqual((refusal.status, refusal.not_run), (503, True))
        self.assertFalse(self.harness.pop_effects(SendAttempt))

    def test_retry_of_a_call_that_may_have_run_is_still_sent(self) -> None:
        self.start(attempts=3)
        self.run_request(CALL, 0.1)
        self.harness.post(LeaveRequested("SIGTERM"))
        self.harness.advance(1.0)
        caller = self.harness.request(CALL, timeout_s=TIMEOUT_S)
        self.harness.send()
        self.harness.advance(0.3)
        self.harness.pop_effects(SendAttempt)
        self.harness.advance(0.2)
        again = self.harness.send()
        self.harness.answer(again, caller, 200)
        self.harness.pop_effect(DeliverAnswer)

    def test_requests_around_the_limit_are_refused_as_not_run(self) -> None:
        self.start()
        self.harness.post(LeaveRequested("SIGTERM"))
        self.keep_busy(LIMIT_S - 0.03)
        for _ in range(6):
            self.harness.request(ONCE, timeout_s=TIMEOUT_S)
            self.harness.advance(0.01, step_s=0.01)
        self.assertFalse(self.harness.pop_effects(SendAttempt))
        refused = self.harness.pop_effects(RefuseCaller)
        self.assertEqual(sum(item.not_run for item in refused), 6)

    def test_idle_connections_are_closed_again_while_a_request_runs(self) -> None:
        self.start()
        self.harness.request(ONCE, timeout_s=TIMEOUT_S)
        self.harness.send()
        self.harness.post(LeaveRequested("SIGTERM"))
        self.harness.advance(6.0)
        self.assertGreater(len(self.harness.pop_effects(CloseIdleConnections)), 2)
        self.assertFalse(self.harness.pop_effects(StopProcess))

    def test_stop_ends_within_each_grace(self) -> None:
        for grace_s in (1.0, 2.0, 3.0, 5.0, 8.0, 30.0):
            for busy in (False, True):
                with self.subTest(grace_s=grace_s, busy=busy):
                    self.start()
                    settings = parse_serving_settings(
                        {**SETTINGS, "bounds": {"stop_grace_s": grace_s}}
                    )
                    self.harness.world.serving_policy = make_serving_policy(settings)
                    if busy:
                        self.harness.request(STREAM, timeout_s=None)
                        self.harness.send()
                    self.harness.post(LeaveRequested("SIGTERM"))
                    leave = self.harness.world.serving_policy.leave
                    self.harness.advance(leave.limit_s + leave.flush_s)
                    self.harness.pop_effect(StopProcess)
                    end_s = leave.limit_s + leave.flush_s
                    exit_s = min(EXIT_TIME_S, grace_s * SHORT_EXIT_SHARE)
                    self.assertLessEqual(end_s, grace_s - exit_s)
                    self.harness.request(ONCE, timeout_s=TIMEOUT_S)
                    self.assertFalse(self.harness.pop_effects(SendAttempt))

    def test_running_stream_is_cut_in_the_last_sixth_of_each_grace(self) -> None:
        for grace_s in (1.0, 1.5, 2.0, 3.0, 3.5, 5.0, 8.0, 20.0):
            with self.subTest(grace_s=grace_s):
                self.start()
                settings = parse_serving_settings(
                    {**SETTINGS, "bounds": {"stop_grace_s": grace_s}}
                )
                self.harness.world.serving_policy = make_serving_policy(settings)
                caller = self.harness.request(STREAM, timeout_s=60.0)
                attempt = self.harness.send()
                self.harness.open(attempt, caller)
                self.harness.post(LeaveRequested("SIGTERM"))
                self.harness.advance(grace_s * 5 / 6 - 0.02)
                self.assertFalse(self.harness.pop_effects(AbortAnswer))
                exit_s = min(EXIT_TIME_S, grace_s * SHORT_EXIT_SHARE)
                self.harness.advance(grace_s / 6 + 0.02 - exit_s)
                self.assertFalse(self.harness.world.requests.by_handle)

    def test_running_request_is_not_cut_before_the_limit(self) -> None:
        self.start()
        self.harness.request(ONCE, timeout_s=TIMEOUT_S)
        self.harness.send()
        self.harness.post(LeaveRequested("SIGTERM"))
        self.harness.advance(LIMIT_S - 0.1)
        self.assertFalse(self.harness.pop_effects(RefuseCaller))
        self.assertFalse(self.harness.pop_effects(AbortAnswer))
        self.harness.advance(0.2)
        self.assertEqual(self.harness.pop_effect(RefuseCaller).status, 502)


if __name__ == "__main__":
    unittest.main()
