"""Tests that a request is told in time, and truly, while no upstream accepts it."""

from __future__ import annotations

import unittest
from itertools import product

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import RefuseCaller, SendAttempt
from magnoliahold.core.serving.events import AttemptNotSent
from magnoliahold.core.serving.feeds import Feed
from tests.core.serving.harness import (
    CALLS,
    ENGINES,
    ServingHarness,
    make_configuration,
    make_upstream,
)

TICK_S = 0.02
UPSTREAMS = 3
# How long a connection attempt takes to fail, in seconds, and whether silently.
FAILURES = {"refused": (TICK_S, False), "timed out": (0.25, True)}
KINDS = (
    (RouteKind.STREAM, ENGINES),
    (RouteKind.IDEMPOTENT, CALLS),
    (RouteKind.NOT_REPEATABLE, CALLS),
)
UNAVAILABLE, BAD_GATEWAY, GATEWAY_TIMEOUT = 503, 502, 504


class RefusedRequestTests(unittest.TestCase):
    def start(self, service: str, upstreams: int = UPSTREAMS) -> ServingHarness:
        """Starts an entry before upstreams of one service."""
        numbers = range(1, upstreams + 1)
        whole = make_configuration()
        routes = tuple(evolve(item, max_attempts=5) for item in whole.routes)
        harness = ServingHarness()
        harness.start(
            evolve(whole, routes=routes),
            tuple(make_upstream(number, service) for number in numbers),
        )
        return harness

    def fail_all(
        self, harness: ServingHarness, fails_s: float, silent: bool
    ) -> tuple[RefuseCaller, float]:
        """Lets all connections fail; returns the refusal and the seconds to it."""
        began_at = harness.now
        due: list[tuple[float, AttemptNotSent]] = []
        while True:
            for send in harness.pop_effects(SendAttempt):
                failed = AttemptNotSent(send.attempt, "failed", silent)
                due.append((harness.now + fails_s, failed))
            harness.now += TICK_S
            harness.post(*(item for at, item in due if at <= harness.now))
            due = [item for item in due if item[0] > harness.now]
            for refused in harness.pop_effects(RefuseCaller):
                self.assertEqual(harness.pop_effects(SendAttempt), [])
                return refused, harness.now - began_at

    def find_limit_s(self, harness: ServingHarness, fails_s: float) -> float:
        """Returns when the request must have its answer.

        Each upstream that isn't known to be down is tried before it waits, and one
        that is may be tried as the wait ends.
        """
        (request,) = harness.world.requests.by_handle.values()
        hold_s = request.route.goal_s * harness.world.serving_policy.attempts.hold_share
        return hold_s + (UPSTREAMS + 1) * (fails_s + TICK_S)

    def test_request_that_has_not_run_is_told_so_in_time(self) -> None:
        for (kind, service), failure in product(KINDS, FAILURES):
            with self.subTest(kind=kind, failure=failure):
                harness = self.start(service)
                harness.request(kind)
                harness.report_no_prompts()
                fails_s, silent = FAILURES[failure]
                limit_s = self.find_limit_s(harness, fails_s)
                refused, seconds = self.fail_all(harness, fails_s, silent)
                self.assertEqual((refused.status, refused.not_run), (UNAVAILABLE, True))
                self.assertLessEqual(seconds, limit_s)

    def test_request_that_may_have_run_is_not_called_not_run(self) -> None:
        for (kind, service), failure in product(KINDS, FAILURES):
            with self.subTest(kind=kind, failure=failure):
                harness = self.start(service)
                harness.request(kind)
                harness.report_no_prompts()
                first = harness.send()
                fails_s, silent = FAILURES[failure]
                limit_s = self.find_limit_s(harness, fails_s)
                harness.interrupt(first)
                refused, seconds = self.fail_all(harness, fails_s, silent)
                expected = (BAD_GATEWAY, False)
                self.assertEqual((refused.status, refused.not_run), expected)
                self.assertLessEqual(seconds, limit_s)

    def test_request_waits_at_its_silent_upstream_whose_registration_is_gone(
        self,
    ) -> None:
        for kind, service in KINDS:
            with self.subTest(kind=kind):
                harness = self.start(service, 1)
                caller = harness.request(kind)
                harness.report_no_prompts()
                first = harness.send()
                harness.change(Feed.UPSTREAMS, {first.upstream.id: None})
                harness.advance(1.4)
                self.assertEqual(harness.pop_effects(RefuseCaller), [])
                harness.advance(caller.timeout_s or 0.0)
                refused = harness.pop_effect(RefuseCaller)
                self.assertFalse(refused.not_run)
                self.assertEqual(refused.status, GATEWAY_TIMEOUT)


if __name__ == "__main__":
    unittest.main()
