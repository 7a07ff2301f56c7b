"""Tests that an answer is given up only for a retry that no other request takes."""

from __future__ import annotations

import unittest

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    DeliverAnswer,
    RefuseCaller,
    SendAttempt,
)
from magnoliahold.core.serving.events import (
    AnswerHead,
    AnswerReceived,
    AttemptSent,
)
from tests.core.serving.harness import ServingHarness

CALL_COUNT = 4
RETRIES = 1


class PromisedRetryTests(unittest.TestCase):
    # Failure: of calls that failed in one tick all but one had their answers discarded
    # for one retry, and got 502 instead.
    def test_failed_calls_of_one_tick_get_answers_or_retries(self) -> None:
        harness = ServingHarness()
        world = harness.world
        budget = evolve(
            world.serving_policy.budget, ratio=0.0, extra=RETRIES, used_part=1.0
        )
        world.serving_policy = evolve(world.serving_policy, budget=budget)
        harness.start()
        callers = [harness.request(RouteKind.IDEMPOTENT) for _ in range(CALL_COUNT)]
        sends = harness.pop_effects(SendAttempt)
        harness.post(*(AttemptSent(send.attempt) for send in sends))
        harness.post(
            *(
                AnswerReceived(send.attempt, AnswerHead(500, item.request_id, True))
                for send, item in zip(sends, callers, strict=True)
            )
        )
        harness.advance(0.2)
        self.assertEqual(len(harness.pop_effects(SendAttempt)), RETRIES)
        self.assertEqual(len(harness.pop_effects(DeliverAnswer)), CALL_COUNT - RETRIES)
        self.assertEqual(harness.pop_effects(RefuseCaller), [])


if __name__ == "__main__":
    unittest.main()
