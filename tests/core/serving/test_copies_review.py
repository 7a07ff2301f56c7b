"""Tests of a copy order that fails after its holder was replaced."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import CopyKvCache
from magnoliahold.core.serving.events import CopyFailed
from magnoliahold.core.serving.systems.upstream_health import mark_down
from tests.core.serving.harness import ENGINES, ServingHarness, make_upstream

STEP_S = 0.1


class LateFailureTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        upstreams = (make_upstream(number, ENGINES) for number in range(1, 7))
        self.harness.start(upstreams=tuple(upstreams))
        request = self.harness.request(RouteKind.STREAM)
        self.send = self.harness.send()
        self.harness.open(self.send, request)
        self.pieces = 0
        self.produce_for(STEP_S)
        self.attempt = self.harness.world.requests.attempts[self.send.attempt]

    def produce_for(self, seconds: float) -> None:
        """Lets the stream go on for some time."""
        for _ in range(round(seconds / STEP_S)):
            self.harness.advance(STEP_S)
            self.pieces += 1
            self.harness.produce(self.send, self.pieces)

    def lose_holder(self) -> CopyKvCache:
        """Loses the holder, and returns the order for a copy at the next one."""
        holder = self.attempt.copy_holder
        assert holder is not None
        mark_down(self.harness.world, holder, "connection refused", self.harness.now)
        self.produce_for(1.0)
        return self.harness.pop_effect(CopyKvCache)

    def fail_order(self, order: CopyKvCache) -> None:
        """Reports that an order has failed, and lets the stream go on."""
        holder_id = order.holder.id
        self.harness.post(CopyFailed(order.attempt, holder_id, "no answer"))
        self.produce_for(1.0)

    def test_order_for_a_former_holder_does_not_end_the_present_one(self) -> None:
        former = self.lose_holder()
        present = self.lose_holder()
        self.assertNotEqual(former.holder, present.holder)
        self.fail_order(former)
        self.assertEqual(self.harness.pop_effects(CopyKvCache), [])

    def test_failed_order_is_sent_again(self) -> None:
        present = self.lose_holder()
        self.fail_order(present)
        again = self.harness.pop_effect(CopyKvCache)
        self.assertEqual(again.holder, present.holder)


if __name__ == "__main__":
    unittest.main()
