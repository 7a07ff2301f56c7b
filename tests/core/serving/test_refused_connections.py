"""Tests that an entry doesn't connect without a pause to upstreams that refuse."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import AbortAnswer, SendAttempt
from magnoliahold.core.serving.events import (
    AttemptInterrupted,
    AttemptNotSent,
    UpstreamSignalled,
)
from tests.core.serving.harness import ENGINES, ServingHarness, make_upstream

# How long a refused connection takes.
REFUSED_S = 0.001
UPSTREAMS = 2
PLAYED_S = 1.0
MAX_SENDS = 50
# How long a refused connection takes that is played for many seconds, and one without
# any answer.
SLOW_REFUSED_S = 0.02
CONNECT_TIMEOUT_S = 0.25
TIMEOUT_S = 25.0
# Requests past their deadline are looked for in some ticks only.
SLACK_S = 0.1


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

    def fail_sends(self, harness: ServingHarness, seconds: float, silent: bool) -> None:
        """Lets connections fail for some time; `silent` ones after a timeout."""
        failing_s = CONNECT_TIMEOUT_S if silent else SLOW_REFUSED_S
        failures: list[tuple[float, int]] = []
        ends_at = harness.now + seconds
        while harness.now < ends_at:
            harness.advance(SLOW_REFUSED_S)
            sends = harness.pop_effects(SendAttempt)
            failures += [(harness.now + failing_s, send.attempt) for send in sends]
            for item in [item for item in failures if item[0] <= harness.now]:
                failures.remove(item)
                harness.post(AttemptNotSent(item[1], "refused", silent))

    def test_begun_stream_is_tried_until_its_deadline(self) -> None:
        for silent in (False, True):
            with self.subTest(silent=silent):
                harness = self.start_stream()
                hold_s = harness.world.serving_policy.attempts.hold_stream_s
                self.fail_sends(harness, hold_s * 2, silent)
                self.assertEqual(harness.pop_effects(AbortAnswer), [])
                self.fail_sends(harness, TIMEOUT_S - hold_s * 2 - SLACK_S, silent)
                self.assertEqual(harness.pop_effects(AbortAnswer), [])
                self.fail_sends(harness, SLACK_S * 2, silent)
                self.assertEqual(len(harness.pop_effects(AbortAnswer)), 1)

    def test_begun_stream_without_an_upstream_to_try_is_cut_sooner(self) -> None:
        harness = self.start_stream()
        upstreams = list(harness.world.upstreams.by_id.values())
        harness.post(
            *(
                UpstreamSignalled(item.id, item.record.born_ms, leaving=True)
                for item in upstreams
            )
        )
        hold_s = harness.world.serving_policy.attempts.hold_stream_s
        self.fail_sends(harness, hold_s - SLACK_S, False)
        self.assertEqual(harness.pop_effects(AbortAnswer), [])
        self.fail_sends(harness, SLACK_S * 3, False)
        self.assertEqual(len(harness.pop_effects(AbortAnswer)), 1)

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
