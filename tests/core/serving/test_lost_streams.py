"""Tests that a stream isn't cut while its upstream may still go on."""

from __future__ import annotations

import unittest

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    CloseAttempt,
    ProbeServingUpstream,
    SendAttempt,
)
from magnoliahold.core.serving.events import (
    AttemptSent,
    PiecesReceived,
    UpstreamAnsweredProbe,
)
from tests.core.serving.harness import ENGINES, ServingHarness, make_upstream

STREAMS = 12
RETRIES = 2
# The upstreams' names, their silence in seconds, and whether they answer probes.
SILENCES = (
    ("one that answers probes", (1,), 1.0, True),
    ("one that answers nothing", (1,), 1.0, False),
    ("all of them", (1, 2, 3), 1.8, True),
    ("two for long", (1, 2), 2.6, False),
)


class LostStreamTests(unittest.TestCase):
    def start_streams(self, harness: ServingHarness) -> dict[int, str]:
        """Starts streams with few retries left; returns their upstreams by attempt."""
        numbers = (1, 2, 3)
        harness.start(upstreams=tuple(make_upstream(n, ENGINES) for n in numbers))
        world = harness.world
        budget = evolve(
            world.serving_policy.budget, ratio=0.0, extra=RETRIES, used_part=1.0
        )
        world.serving_policy = evolve(world.serving_policy, budget=budget)
        started: dict[int, str] = {}
        for _ in range(STREAMS):
            caller = harness.request(RouteKind.STREAM)
            harness.report_no_prompts()
            attempt = harness.send()
            harness.open(attempt, caller)
            started[attempt.attempt] = attempt.upstream.id
        return started

    def test_silence_beyond_the_retry_budget_cuts_no_stream(self) -> None:
        for name, numbers, silent_s, answers in SILENCES:
            with self.subTest(name):
                harness = ServingHarness()
                running = self.start_streams(harness)
                silent = {f"{ENGINES}-{number}" for number in numbers}
                retries = 0
                piece = 1
                for step in range(60):
                    now_silent = silent if 5 <= step < 5 + silent_s / 0.1 else set()
                    harness.advance(0.1)
                    for attempt, upstream_id in list(running.items()):
                        if upstream_id not in now_silent:
                            harness.post(PiecesReceived(attempt, piece, 1))
                    piece += 1
                    for effect in harness.pop_effects(CloseAttempt):
                        running.pop(effect.attempt, None)
                    for send in harness.pop_effects(SendAttempt):
                        retries += 1
                        harness.post(AttemptSent(send.attempt))
                    for probe in harness.pop_effects(ProbeServingUpstream):
                        record = probe.upstream
                        if answers or record.id not in now_silent:
                            event = UpstreamAnsweredProbe(record.id, record.born_ms)
                            harness.post(event)
                self.assertEqual(harness.pop_effects(AbortAnswer), [])
                self.assertLessEqual(retries, RETRIES)


if __name__ == "__main__":
    unittest.main()
