"""Tests that requests leave a dead upstream for one whose registration is missing."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import ProbeServingUpstream, SendAttempt
from magnoliahold.core.serving.events import AttemptSent
from tests.core.serving.harness import CALLS, ENGINES, ServingHarness, make_upstream
from tests.core.serving.test_sole_upstreams import make_failed_probe

KINDS = (
    (RouteKind.STREAM, ENGINES),
    (RouteKind.IDEMPOTENT, CALLS),
)
RETRIED_WITHIN_S = 0.5


class MissingUpstreamTests(unittest.TestCase):
    # Failure: the request waited at the dead upstream until its deadline.
    def test_dead_upstream_is_left_while_registrations_are_missing(self) -> None:
        for kind, service in KINDS:
            with self.subTest(kind=kind):
                harness = ServingHarness()
                records = [make_upstream(number, service) for number in (1, 2, 3)]
                harness.start(upstreams=tuple(records))
                caller = harness.request(kind)
                harness.report_no_prompts()
                attempt = harness.send()
                if kind is RouteKind.STREAM:
                    harness.open(attempt, caller)
                    harness.produce(attempt, 1)
                else:
                    harness.post(AttemptSent(attempt.attempt))
                for upstream in harness.world.upstreams.by_id.values():
                    upstream.missing_since = harness.now
                harness.advance(RETRIED_WITHIN_S - 0.02)
                for probe in harness.pop_effects(ProbeServingUpstream):
                    if probe.upstream == attempt.upstream:
                        harness.post(make_failed_probe(probe.upstream))
                harness.advance(0.02)
                (retry,) = harness.pop_effects(SendAttempt)
                self.assertNotEqual(retry.upstream, attempt.upstream)


if __name__ == "__main__":
    unittest.main()
