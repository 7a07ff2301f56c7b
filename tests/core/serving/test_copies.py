"""Tests of streams that lose the holder of their copy before their upstream."""

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
from magnoliahold.core.serving.requests import CopyReference
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

    def start_stream(self) -> None:
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 1)

    def report_probe_failure(self, record: UpstreamRecord) -> None:
        self.harness.post(UpstreamFailedProbe(record.id, record.born_ms, "no answer"))

    def produce_for(self, seconds: float, piece: int) -> None:
        """Lets the stream produce pieces for a while."""
        for number in range(round(seconds / 0.1)):
            self.harness.advance(0.1)
            self.harness.produce(self.first, piece + number)

    def pop_order(self) -> CopyKvCache:
        self.harness.advance(0.04)
        return self.harness.pop_effect(CopyKvCache)

    def complete_copy(self, order: CopyKvCache, key: str = "copy-1") -> CopyReference:
        """Reports an ordered copy as complete."""
        reference = CopyReference(order.upstream.address, order.upstream.port, key)
        self.harness.post(KvCacheCopied(order.attempt, order.holder.id, reference))
        return reference

    def test_lost_holder_is_replaced_in_another_data_centre(self) -> None:
        self.start_stream()
        self.report_probe_failure(self.holder)
        order = self.pop_order()
        self.assertNotEqual(order.holder.id, self.holder.id)
        self.assertNotEqual(order.holder.data_centre, self.first.upstream.data_centre)
        self.assertEqual(order.upstream, self.first.upstream)
        self.assertEqual(order.run_id, self.caller.request_id)

    def test_stream_resumes_from_an_ordered_copy(self) -> None:
        self.start_stream()
        self.report_probe_failure(self.holder)
        order = self.pop_order()
        reference = self.complete_copy(order)
        self.harness.produce(self.first, 9)
        self.harness.interrupt(self.first)
        second = self.harness.pop_effect(SendAttempt)
        self.assertEqual(second.copy_source, reference)
        self.assertEqual(second.upstream.id, order.holder.id)
        self.assertEqual(second.resume_after, 9)

    def test_copy_that_is_not_complete_is_not_used(self) -> None:
        self.start_stream()
        self.report_probe_failure(self.holder)
        self.pop_order()
        self.harness.interrupt(self.first)
        self.assertIsNone(self.harness.pop_effect(SendAttempt).copy_source)

    def test_no_copy_is_ordered_before_the_first_piece(self) -> None:
        self.harness.advance(0.1)
        self.report_probe_failure(self.holder)
        self.harness.advance(0.1)
        self.assertEqual(
            self.harness.pop_effects(CopyKvCache), [], "nothing to copy yet"
        )
        self.harness.open(self.first, self.caller)
        self.harness.produce(self.first, 1)
        self.pop_order()

    def test_copies_are_renewed_while_the_stream_runs(self) -> None:
        self.start_stream()
        self.report_probe_failure(self.holder)
        self.complete_copy(self.pop_order())
        self.produce_for(1.8, 2)
        self.assertEqual(self.harness.pop_effects(CopyKvCache), [])
        self.produce_for(0.3, 20)
        self.complete_copy(self.harness.pop_effect(CopyKvCache))

    def test_failed_order_is_retried_later(self) -> None:
        self.start_stream()
        self.report_probe_failure(self.holder)
        order = self.pop_order()
        self.harness.post(CopyFailed(order.attempt, order.holder.id, "no room"))
        self.produce_for(0.3, 2)
        self.assertEqual(self.harness.pop_effects(CopyKvCache), [])
        self.produce_for(0.3, 6)
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
                self.start_stream()
                self.report_probe_failure(self.holder)
                copy = self.complete_copy(self.pop_order())
                end()
                self.assertEqual(self.harness.pop_effect(FreeCopy).copy, copy)

    def test_copy_completed_after_the_stream_is_freed(self) -> None:
        self.start_stream()
        self.report_probe_failure(self.holder)
        order = self.pop_order()
        self.harness.finish(self.first)
        reference = self.complete_copy(order)
        self.assertEqual(self.harness.pop_effect(FreeCopy).copy, reference)

    def test_second_lost_holder_is_replaced_too(self) -> None:
        self.start_stream()
        self.report_probe_failure(self.holder)
        order = self.pop_order()
        self.complete_copy(order)
        self.harness.change(Feed.UPSTREAMS, {order.holder.id: None})
        self.produce_for(0.6, 2)
        again = self.harness.pop_effect(CopyKvCache)
        self.assertNotIn(again.holder.id, (order.holder.id, self.first.upstream.id))

    def test_silent_holder_is_probed_when_it_is_chosen(self) -> None:
        harness = ServingHarness()
        harness.start()
        harness.advance(1.2)
        harness.request(RouteKind.STREAM)
        sent = harness.pop_effect(SendAttempt)
        probed = harness.pop_effect(ProbeServingUpstream).upstream
        self.assertEqual((probed.address, probed.port), sent.copy_to)


if __name__ == "__main__":
    unittest.main()
