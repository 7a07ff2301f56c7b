"""Tests that an entry doesn't connect without a pause to upstreams that refuse."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import SendAttempt
from magnoliahold.core.serving.events import AttemptInterrupted, AttemptNotSent
from tests.core.serving.harness import ENGINES, ServingHarness, make_upstream

# How long a refused connection takes.
REFUSED_S = 0.001
UPSTREAMS = 2
PLAYED_S = 1.0
MAX_SENDS = 50


class RefusedConnectionTests(unittest.TestCase):
    def start_stream(self) -> ServingHarness:
        """Starts a stream, whose upstream then breaks off."""
        harness = ServingHarness()
        records = [make_upstream(number, ENGINES) for number in range(UPSTREAMS)]
        harness.start(upstreams=tuple(records))
        caller = harness.request(RouteKind.STREAM)
        harness.report_no_prompts()
        attempt = harness.send()
        harness.open(attempt, caller)
        harness.produce(attempt, 1)
        harness.post(AttemptInterrupted(attempt.attempt, "reset", True))
        return harness

    def refuse(self, harness: ServingHarness, seconds: float) -> int:
        """Refuses connections for some time; returns how many were opened."""
        sent = 0
        for _ in range(round(seconds / REFUSED_S)):
            for send in harness.pop_effects(SendAttempt):
                sent += 1
                harness.post(AttemptNotSent(send.attempt, "refused", False))
            harness.advance(REFUSED_S, step_s=REFUSED_S)
        return sent

    # Failure: one begun stream kept an entry busy with connections, thousands a second.
    def test_begun_stream_is_sent_again_with_pauses(self) -> None:
        harness = self.start_stream()
        self.assertLessEqual(self.refuse(harness, PLAYED_S), MAX_SENDS)
        self.assertEqual(len(harness.world.requests.by_handle), 1)

    def test_begun_stream_goes_on_once_its_upstream_is_back(self) -> None:
        harness = self.start_stream()
        self.refuse(harness, PLAYED_S)
        harness.emitted.clear()
        harness.advance(0.1, step_s=REFUSED_S)
        self.assertEqual(len(harness.world.requests.attempts), 1)


if __name__ == "__main__":
    unittest.main()
