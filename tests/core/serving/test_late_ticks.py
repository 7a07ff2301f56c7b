"""Tests that a late tick ends nothing for want of what wasn't read meanwhile.

A tick is late after a long one, after a garbage collection, or after a stop of the
process. What arrived in that time may be read only after it.
"""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    CloseAttempt,
    DeliverAnswer,
    RefuseCaller,
    RemoveEntry,
    SendAttempt,
)
from magnoliahold.core.serving.events import (
    AttemptSent,
    NoticeReceived,
    StreamEnded,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
from tests.core.serving.harness import CALLS, ENGINES, ServingHarness, make_upstream
from tests.core.serving.test_promised_room import SLOTS, RankedEntry

TICK_S = 0.02
# By how much a tick is late: from a garbage collection to a stop of the process.
LATE_S = (0.05, 0.12, 0.3, 1.0, 2.0)


class LateTickTests(unittest.TestCase):
    def check_not_ended(self, harness: ServingHarness) -> None:
        """Checks that no request was refused or cut."""
        self.assertEqual(harness.pop_effects(RefuseCaller), [])
        self.assertEqual(harness.pop_effects(AbortAnswer), [])

    # Failure: streams that waited for room were refused in a late tick.
    def test_late_tick_refuses_no_stream_that_waits_for_room(self) -> None:
        for late_s in LATE_S:
            for read_later in (False, True):
                with self.subTest(late_s=late_s, read_later=read_later):
                    entry = RankedEntry()
                    entry.start(SLOTS, True, 0)
                    harness = entry.harness
                    harness.request(RouteKind.STREAM, timeout_s=None)
                    self.assertEqual(len(harness.world.requests.waiting), 1)
                    harness.advance(0.1)
                    self.check_not_ended(harness)
                    harness.now += late_s
                    if read_later:
                        harness.post()
                        harness.now += TICK_S
                    harness.post(StreamEnded(entry.busy[0].attempt))
                    self.check_not_ended(harness)
                    self.assertEqual(len(harness.pop_effects(SendAttempt)), 1)

    # Failure: streams that waited for room were refused as too late to be served in a
    # late tick, though room had come free before.
    def test_late_tick_refuses_no_stream_for_which_room_came_free(self) -> None:
        entry = RankedEntry()
        entry.start(SLOTS, True, 0)
        harness = entry.harness
        harness.world.mean_run_by_service[ENGINES] = 4.0
        harness.request(RouteKind.STREAM, timeout_s=8.0)
        harness.advance(3.5)
        self.check_not_ended(harness)
        harness.now += 0.8
        harness.post()
        self.check_not_ended(harness)
        harness.now += TICK_S
        harness.post(StreamEnded(entry.busy[0].attempt))
        self.check_not_ended(harness)
        self.assertEqual(len(harness.pop_effects(SendAttempt)), 1)

    # Failure: requests whose upstreams were all down were refused in a late tick that
    # had read of a healthy one, before any routing.
    def test_late_tick_refuses_nothing_that_can_be_sent(self) -> None:
        record = make_upstream(1, CALLS)
        for late_s in LATE_S[:-1]:
            for read_later in (False, True):
                with self.subTest(late_s=late_s, read_later=read_later):
                    harness = ServingHarness()
                    harness.start(upstreams=(record,))
                    failed = UpstreamFailedProbe(
                        record.id, record.born_ms, "refused", False
                    )
                    harness.post(failed)
                    upstream = harness.world.upstreams.by_id[record.id]
                    upstream.refused_at = harness.now + 10.0
                    harness.advance(TICK_S)
                    harness.request(RouteKind.IDEMPOTENT)
                    self.assertEqual(len(harness.world.requests.waiting), 1)
                    harness.now += late_s
                    if read_later:
                        harness.post()
                        harness.now += TICK_S / 10
                    harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
                    self.check_not_ended(harness)
                    self.assertEqual(len(harness.pop_effects(SendAttempt)), 1)

    # Failure: a late tick refused calls whose answers had arrived in time.
    def test_answer_that_is_read_after_a_late_tick_is_delivered(self) -> None:
        harness = ServingHarness()
        harness.start()
        caller = harness.request(RouteKind.NOT_REPEATABLE, timeout_s=1.5)
        send = harness.send()
        harness.advance(1.0)
        harness.now += 1.0
        harness.post()
        harness.now += TICK_S
        harness.answer(send, caller, 200)
        self.check_not_ended(harness)
        self.assertEqual(harness.pop_effect(DeliverAnswer).handle, caller.handle)

    def test_deadline_holds_after_a_late_tick(self) -> None:
        harness = ServingHarness()
        harness.start()
        harness.request(RouteKind.NOT_REPEATABLE, timeout_s=1.5)
        harness.send()
        harness.advance(1.0)
        harness.now += 1.0
        harness.post()
        harness.advance(TICK_S * 2)
        self.assertEqual(harness.pop_effect(RefuseCaller).status, 504)

    # Failure: a late tick sent calls anew whose answers had arrived.
    def test_late_tick_sends_no_call_that_was_answered_anew(self) -> None:
        for late_s in LATE_S[:2]:
            with self.subTest(late_s=late_s):
                harness = ServingHarness()
                harness.start()
                caller = harness.request(RouteKind.IDEMPOTENT)
                send = harness.send()
                harness.advance(0.3)
                harness.now += late_s
                harness.post()
                self.assertEqual(harness.pop_effects(CloseAttempt), [])
                harness.now += TICK_S
                harness.answer(send, caller, 200)
                self.assertEqual(len(harness.pop_effects(DeliverAnswer)), 1)

    # Failure: a late tick took streams with copies from engines that were writing.
    def test_late_tick_takes_no_stream_from_an_engine_that_writes(self) -> None:
        for late_s in LATE_S[:2]:
            with self.subTest(late_s=late_s):
                harness = ServingHarness()
                harness.start()
                caller = harness.request(RouteKind.STREAM)
                harness.report_no_prompts()
                send = harness.send()
                harness.post(AttemptSent(send.attempt))
                harness.open(send, caller)
                harness.produce(send, 1)
                harness.advance(0.2)
                harness.now += late_s
                harness.post()
                harness.now += TICK_S
                harness.produce(send, 2)
                self.assertEqual(harness.pop_effects(CloseAttempt), [])

    # Failure: an entry that had stood still removed the registrations of all others.
    def test_entry_that_stood_still_removes_no_other_one(self) -> None:
        harness = ServingHarness()
        harness.start()
        peer = PeerRecord("entry-2", "entry-2.a", "10.0.9.1", 9000)
        harness.change(Feed.PEERS, {peer.name: peer})
        harness.post(NoticeReceived(LoadNotice(peer.name, peer.incarnation, 1)))
        harness.advance(1.0)
        harness.now += harness.world.serving_policy.peers.removed_after_s + 1.0
        harness.post()
        harness.now += TICK_S
        harness.post(NoticeReceived(LoadNotice(peer.name, peer.incarnation, 2)))
        harness.advance(2.0)
        self.assertEqual(harness.pop_effects(RemoveEntry), [])

    # Failure: a late tick forgot the loads of all other entries.
    def test_late_tick_forgets_no_entry_that_is_heard_again(self) -> None:
        harness = ServingHarness()
        harness.start()
        peer = PeerRecord("entry-2", "entry-2.a", "10.0.9.1", 9000)
        harness.change(Feed.PEERS, {peer.name: peer})
        harness.post(NoticeReceived(LoadNotice(peer.name, peer.incarnation, 1)))
        harness.advance(1.0)
        harness.now += harness.world.serving_policy.peers.notice_kept_s
        harness.post()
        self.assertIsNotNone(harness.world.other_entries.by_name[peer.name].notice)
        harness.advance(TICK_S * 2)
        self.assertIsNone(harness.world.other_entries.by_name[peer.name].notice)

    # Failure: a late tick removed upstreams whose new registration had arrived.
    def test_late_tick_removes_no_upstream_that_registered_again(self) -> None:
        harness = ServingHarness()
        record = make_upstream(1, ENGINES)
        harness.start(upstreams=(record,))
        upstream = harness.world.upstreams.by_id[record.id]
        upstream.missing_since = harness.now
        harness.advance(2.0)
        harness.now += 1.0
        harness.post()
        harness.now += TICK_S
        self.assertIn(record.id, harness.world.upstreams.by_id)


if __name__ == "__main__":
    unittest.main()
