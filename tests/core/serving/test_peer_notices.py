"""Tests of the notices between entries: loads, suspicions and prompt locations."""

from __future__ import annotations

import unittest
from typing import Any

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    ProbeServingUpstream,
    RefuseCaller,
    RegisterEntry,
    RemoveEntry,
    SendAttempt,
    SendNotice,
)
from magnoliahold.core.serving.events import (
    CallerDisconnected,
    EntryRegistered,
    NoticeEncoded,
    NoticeReceived,
    UpstreamAnsweredProbe,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.loads import UpstreamLoad
from magnoliahold.core.serving.openings import OpeningModel
from magnoliahold.core.serving.peers import (
    LoadNotice,
    NoticeBudget,
    PeerRecord,
    PrefixCacheLocation,
)
from magnoliahold.core.serving.requests import PromptPart
from magnoliahold.core.serving.upstreams import UpstreamHealth
from magnoliahold.serving.notices import encode_notice
from tests.core.serving.harness import ENGINES, ServingHarness

STREAM = RouteKind.STREAM
PEER = PeerRecord("entry-2", "entry-2.a", "10.0.9.2", 7340)
OTHERS = tuple(UpstreamLoad(f"{ENGINES}-{number}", 2, 1) for number in (1, 2, 4))


class PeerNoticeTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start()
        self.harness.read(Feed.PEERS, {PEER.name: PEER})
        self.serial = 0

    def post_notice(self, **content: Any) -> None:
        """Posts a notice of the other entry."""
        self.serial += 1
        notice = LoadNotice(PEER.name, PEER.incarnation, self.serial, **content)
        self.harness.post(NoticeReceived(notice))

    def choose(self, prompt: str = "") -> str:
        """Returns the upstream that gets the next stream."""
        self.harness.pop_effects(SendAttempt)
        parts = (PromptPart("shared", 200), PromptPart(prompt or "new", 8000))
        self.harness.request(STREAM, prompt=parts)
        return self.harness.pop_effect(SendAttempt).upstream.id

    def test_sums_of_loads_follow_each_notice(self) -> None:
        second = PeerRecord("entry-3", "entry-3.a", "10.0.9.3", 7340)
        self.harness.change(Feed.PEERS, {second.name: second})
        one = UpstreamLoad(f"{ENGINES}-1", 2, 1, 1, 800)
        loads = self.harness.world.other_entries.loads
        self.post_notice(loads=(one,))
        notice = LoadNotice(second.name, second.incarnation, 1, (one, *OTHERS[1:]))
        self.harness.post(NoticeReceived(notice))
        self.assertEqual(loads[one.upstream_id], one.add(one))
        self.post_notice(loads=())
        self.assertEqual(loads[one.upstream_id], one)
        again = PeerRecord("entry-3", "entry-3.b", "10.0.9.3", 7340)
        for name, change in (("restarted", again), ("removed", None)):
            with self.subTest(name):
                self.harness.change(Feed.PEERS, {second.name: change})
                self.assertEqual(loads, {})
                if change is not None:
                    restarted = LoadNotice(again.name, again.incarnation, 1, (one,))
                    self.harness.post(NoticeReceived(restarted))
                    self.assertEqual(loads, {one.upstream_id: one})

    def test_load_of_other_entries_counts(self) -> None:
        self.post_notice(loads=OTHERS)
        self.assertEqual(self.choose(), f"{ENGINES}-3")

    def test_load_of_a_silent_entry_expires(self) -> None:
        self.post_notice(loads=OTHERS)
        self.harness.advance(
            self.harness.world.serving_policy.peers.notice_kept_s + 0.1
        )
        self.assertFalse(self.harness.world.other_entries.loads)

    def test_notices_with_an_old_serial_or_incarnation_are_ignored(self) -> None:
        self.post_notice(loads=OTHERS)
        for notice in (
            LoadNotice(PEER.name, PEER.incarnation, 1),
            LoadNotice(PEER.name, "entry-2.0", 9),
            LoadNotice("stranger", "stranger.a", 9),
        ):
            self.harness.post(NoticeReceived(notice))
            self.assertEqual(len(self.harness.world.other_entries.loads), len(OTHERS))

    def test_upstream_that_another_entry_reports_down_is_probed(self) -> None:
        upstream = self.harness.world.upstreams.by_id[f"{ENGINES}-1"]
        self.post_notice(down=(upstream.id,))
        self.assertIs(upstream.health, UpstreamHealth.SUSPECTED)
        record = self.harness.pop_effect(ProbeServingUpstream).upstream
        self.harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
        self.assertIs(upstream.health, UpstreamHealth.HEALTHY)
        self.post_notice(down=(upstream.id,))
        self.assertIs(
            upstream.health, UpstreamHealth.HEALTHY, "a repeated report changes nothing"
        )

    def test_stream_is_sent_to_the_upstream_that_read_its_prompt(self) -> None:
        for number in range(1, 5):
            with self.subTest(number=number):
                place = f"{ENGINES}-{number}"
                self.post_notice(
                    places=(PrefixCacheLocation(f"prompt-{number}", place),)
                )
                self.assertEqual(self.choose(f"prompt-{number}"), place)

    def test_prompt_location_does_not_outweigh_a_high_load(self) -> None:
        place = f"{ENGINES}-1"
        self.post_notice(
            places=(PrefixCacheLocation("prompt-1", place),),
            loads=(UpstreamLoad(place, 9, 9),),
        )
        self.assertNotEqual(self.choose("prompt-1"), place)

    def test_prompt_locations_expire(self) -> None:
        self.post_notice(places=(PrefixCacheLocation("prompt-1", f"{ENGINES}-1"),))
        self.harness.advance(self.harness.world.serving_policy.peers.place_kept_s + 0.1)
        self.assertFalse(self.harness.world.other_entries.prefix_locations)

    def test_calls_are_not_reported(self) -> None:
        self.harness.advance(0.1)
        self.harness.pop_effects(SendNotice)
        self.harness.request(RouteKind.IDEMPOTENT)
        self.harness.advance(0.1)
        self.assertFalse(self.harness.pop_effects(SendNotice))

    def test_requests_with_the_same_prompt_are_distributed(self) -> None:
        """Entries that choose at the same time must not all choose the same one."""
        chosen = set()
        for seed in range(20):
            self.harness.world.random.seed(seed)
            chosen.add(self.choose("prompt-1"))
            (request,) = self.harness.world.requests.by_handle.values()
            self.harness.post(CallerDisconnected(request.handle))
        self.assertEqual(len(chosen), 4)

    def test_own_load_is_sent_on_changes_and_at_intervals(self) -> None:
        self.harness.advance(0.1)
        self.harness.pop_effects(SendNotice)
        part = PromptPart("prompt-1", 8000)
        caller = self.harness.request(STREAM, prompt=(part,))
        attempt = self.harness.send()
        self.harness.advance(0.1)
        sent = self.harness.pop_effect(SendNotice)
        self.assertEqual(sent.peers, (PEER,))
        self.assertEqual(sum(load.reading for load in sent.notice.loads), 1)
        self.assertEqual(sent.notice.places, (), "it is still being read")
        self.harness.open(attempt, caller)
        self.harness.produce(attempt, 1)
        self.harness.advance(0.1)
        sent = self.harness.pop_effect(SendNotice)
        place = PrefixCacheLocation("prompt-1", attempt.upstream.id)
        self.assertEqual(sent.notice.places, (place,))
        self.harness.finish(attempt)
        self.harness.advance(0.1)
        self.harness.pop_effect(SendNotice)
        self.harness.advance(0.5)
        self.assertFalse(self.harness.pop_effects(SendNotice))
        self.harness.advance(0.6)
        self.harness.pop_effect(SendNotice)

    def test_notices_of_many_entries_leave_the_link_to_callers(self) -> None:
        # On a thin link they filled it, and callers got neither answer nor refusal.
        peers = {
            f"entry-{number}": PeerRecord(f"entry-{number}", "a", "10.0.9.2", number)
            for number in range(2, 29)
        }
        self.harness.change(Feed.PEERS, peers)
        policy = self.harness.world.serving_policy
        limit = 62_500.0
        self.harness.world.serving_policy = evolve(
            policy, peers=evolve(policy.peers, max_bytes_per_s=limit)
        )
        self.harness.pop_effects(SendNotice)
        size_bytes = sent_bytes = 0
        for _ in range(500):
            self.harness.world.other_entries.send_now = True
            self.harness.request(STREAM)
            self.harness.advance(0.02)
            for effect in self.harness.pop_effects(SendNotice):
                size_bytes = len(encode_notice(effect.notice))
                sent_bytes += size_bytes * len(effect.peers)
                self.harness.post(NoticeEncoded(size_bytes))
        self.assertGreater(sent_bytes, 0.5 * limit * 10.0)
        self.assertLessEqual(sent_bytes, limit * 10.0 + 2 * 27 * size_bytes)

    def test_urgent_notices_may_use_what_others_must_leave(self) -> None:
        budget = NoticeBudget(available_bytes=600.0, notice_bytes=100)
        self.assertFalse(budget.try_spend(5, False, 1000.0, 0.0))
        self.assertTrue(budget.try_spend(5, True, 1000.0, 0.0))
        self.assertFalse(budget.try_spend(5, True, 1000.0, 0.1))

    def test_upstream_chosen_for_a_stream_is_reported_at_once(self) -> None:
        self.harness.advance(1.0)
        for _ in range(3):
            self.harness.pop_effects(SendNotice)
            self.harness.request(STREAM)
            sent = self.harness.pop_effect(SendNotice)
        self.assertEqual(sum(load.reading for load in sent.notice.loads), 3)

    def test_entry_registers_until_it_succeeds_and_again_when_removed(self) -> None:
        self.harness.pop_effect(RegisterEntry)
        self.harness.post(EntryRegistered(False, "timeout"))
        self.harness.advance(1.1)
        self.harness.pop_effect(RegisterEntry)
        self.harness.post(EntryRegistered(True))
        self.harness.advance(5.0)
        self.assertFalse(self.harness.pop_effects(RegisterEntry))
        self.harness.change(Feed.PEERS, {"entry-1": None})
        self.harness.advance(1.1)
        self.harness.pop_effect(RegisterEntry)

    def test_registration_of_a_silent_entry_is_removed_if_unchanged(self) -> None:
        self.harness.advance(
            self.harness.world.serving_policy.peers.removed_after_s + 2.0, 0.5
        )
        removal = self.harness.pop_effects(RemoveEntry)[0]
        self.assertEqual((removal.name, removal.row_version), (PEER.name, 10))

    def test_stream_without_time_for_a_first_piece_is_refused_at_once(self) -> None:
        self.harness.world.openings[ENGINES] = OpeningModel(1.1)
        self.harness.request(STREAM, timeout_s=0.4)
        self.harness.report_no_prompts()
        refusal = self.harness.pop_effect(RefuseCaller)
        self.assertEqual((refusal.status, refusal.not_run), (503, True))


if __name__ == "__main__":
    unittest.main()
