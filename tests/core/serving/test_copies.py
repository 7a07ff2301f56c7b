"""Tests of streams whose copy's holder is lost before their upstream is."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    CopyKvCache,
    FreeCopy,
    ProbeServingUpstream,
    SendAttempt,
)
from magnoliahold.core.serving.events import (
    CallerDisconnected,
    CopyFailed,
    KvCacheCopied,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.requests import CopyName
from tests.core.serving.harness import ServingHarness

if TYPE_CHECKING:
    from magnoliahold.core.serving.upstreams import UpstreamRecord


class CopyTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start()
        self.caller = self.harness.request(RouteKind.STREAM)
        self.first = self.harness.send()
        self.holder = self.find_holder(self.first)

    def find_holder(self, sent: SendAttempt) -> UpstreamRecord:
        (holder,) = (
            item.record
            for item in self.harness.world.upstreams.by_id.values()
            if (item.record.address, item.record.port) == sent.copy_to
        )
        return holder

    def begin(self) -> None:
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 1)

    def lose(self, record: UpstreamRecord) -> None:
        self.harness.post(UpstreamFailedProbe(record.id, record.born_ms, "no answer"))

    def keep_running(self, seconds: float, piece: int) -> None:
        """Lets the stream run for a while."""
        for number in range(round(seconds / 0.1)):
            self.harness.advance(0.1)
            self.harness.produce(self.first, piece + number)

    def take_order(self) -> CopyKvCache:
        self.harness.advance(0.04)
        return self.harness.pop_effect(CopyKvCache)

    def make(self, order: CopyKvCache, key: str = "copy-1") -> CopyName:
        """Has an ordered copy made."""
        name = CopyName(order.upstream.address, order.upstream.port, key)
        self.harness.post(KvCacheCopied(order.attempt, order.holder.id, name))
        return name

    def test_lost_holder_is_replaced_in_another_data_centre(self) -> None:
        self.begin()
        self.lose(self.holder)
        order = self.take_order()
        self.assertNotEqual(order.holder.id, self.holder.id)
        self.assertNotEqual(order.holder.data_centre, self.first.upstream.data_centre)
        self.assertEqual(order.upstream, self.first.upstream)
        self.assertEqual(order.run_id, self.caller.request_id)

    def test_stream_goes_on_from_an_ordered_copy(self) -> None:
        self.begin()
        self.lose(self.holder)
        order = self.take_order()
        name = self.make(order)
        self.harness.produce(self.first, 9)
        self.harness.interrupt(self.first)
        second = self.harness.pop_effect(SendAttempt)
        self.assertEqual(second.copy_source, name)
        self.assertEqual(second.upstream.id, order.holder.id)
        self.assertEqual(second.resume_after, 9)

    def test_copy_that_is_not_made_yet_is_not_used(self) -> None:
        self.begin()
        self.lose(self.holder)
        self.take_order()
        self.harness.interrupt(self.first)
        self.assertIsNone(self.harness.pop_effect(SendAttempt).copy_source)

    def test_nothing_is_ordered_before_the_first_piece_or_beside_a_holder(self) -> None:
        self.harness.advance(0.1)
        self.lose(self.holder)
        self.harness.advance(0.1)
        self.assertEqual(
            self.harness.pop_effects(CopyKvCache), [], "nothing to copy yet"
        )
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 1)
        self.take_order()

    def test_copies_are_renewed_while_the_stream_runs(self) -> None:
        self.begin()
        self.lose(self.holder)
        self.make(self.take_order())
        self.keep_running(1.8, 2)
        self.assertEqual(self.harness.pop_effects(CopyKvCache), [])
        self.keep_running(0.3, 20)
        self.make(self.harness.pop_effect(CopyKvCache))

    def test_failed_order_is_repeated_later(self) -> None:
        self.begin()
        self.lose(self.holder)
        order = self.take_order()
        self.harness.post(CopyFailed(order.attempt, order.holder.id, "no room"))
        self.keep_running(0.3, 2)
        self.assertEqual(self.harness.pop_effects(CopyKvCache), [])
        self.keep_running(0.3, 6)
        self.harness.pop_effect(CopyKvCache)

    def test_copy_is_freed_when_the_stream_has_ended(self) -> None:
        for name, end in (
            ("complete", lambda: self.harness.finish(self.first)),
            (
                "caller left",
                lambda: self.harness.post(CallerDisconnected(self.caller.handle)),
            ),
        ):
            with self.subTest(name):
                self.setUp()
                self.begin()
                self.lose(self.holder)
                copy = self.make(self.take_order())
                end()
                self.assertEqual(self.harness.pop_effect(FreeCopy).copy, copy)

    def test_copy_that_comes_too_late_is_freed(self) -> None:
        self.begin()
        self.lose(self.holder)
        order = self.take_order()
        self.harness.finish(self.first)
        name = self.make(order)
        self.assertEqual(self.harness.pop_effect(FreeCopy).copy, name)

    def test_second_holder_that_is_lost_is_replaced_too(self) -> None:
        self.begin()
        self.lose(self.holder)
        order = self.take_order()
        self.make(order)
        self.harness.change(Feed.UPSTREAMS, {order.holder.id: None})
        self.keep_running(0.6, 2)
        again = self.harness.pop_effect(CopyKvCache)
        self.assertNotIn(again.holder.id, (order.holder.id, self.first.upstream.id))

    def test_holder_that_was_not_heard_is_probed_when_it_is_chosen(self) -> None:
        harness = ServingHarness()
        harness.start()
        harness.advance(1.2)
        harness.request(RouteKind.STREAM)
        sent = harness.pop_effect(SendAttempt)
        probed = harness.pop_effect(ProbeServingUpstream).upstream
        self.assertEqual((probed.address, probed.port), sent.copy_to)


if __name__ == "__main__":
    unittest.main()
