"""Tests of which upstreams get work: drains, lapses, addresses and balance."""

from __future__ import annotations

import unittest
from collections import Counter

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import ProbeServingUpstream, SendAttempt
from magnoliahold.core.serving.events import (
    FeedFailed,
    FeedHistoryGone,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.upstreams import UpstreamHealth
from tests.core.serving.rig import CALLS, ENGINES, ServingHarness, make_upstream

CALL = RouteKind.IDEMPOTENT


class UpstreamTests(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = ServingHarness()

    def choose(self) -> str:
        """Finds which upstream gets the next call."""
        self.rig.change(Feed.CONFIGURATION, {})
        caller = self.rig.request(CALL)
        attempt = self.rig.send()
        self.rig.answer(attempt, caller, 200)
        return attempt.upstream.id

    def choose_many(self) -> set[str]:
        """Finds which upstreams get calls."""
        return {self.choose() for _ in range(40)}

    def test_leaving_and_removed_upstreams_get_no_work(self) -> None:
        self.rig.start()
        leaving = make_upstream(1, CALLS, leaving=True)
        self.rig.change(Feed.UPSTREAMS, {"calls-1": leaving, "calls-2": None})
        self.assertEqual(self.choose_many(), {"calls-3", "calls-4"})

    def test_work_at_a_removed_upstream_goes_on(self) -> None:
        self.rig.start()
        self.rig.request(RouteKind.STREAM)
        attempt = self.rig.send()
        self.rig.change(Feed.UPSTREAMS, {attempt.upstream.id: None})
        self.assertFalse(self.rig.take(SendAttempt))

    def test_upstream_missing_after_lost_history_is_gone_at_once(self) -> None:
        self.rig.start()
        call = self.rig.find_call(Feed.UPSTREAMS)
        self.rig.post(FeedHistoryGone(Feed.UPSTREAMS, call))
        record = make_upstream(1, CALLS)
        self.rig.read(Feed.UPSTREAMS, {record.id: record}, version=20)
        self.assertEqual(set(self.rig.world.upstreams.by_id), {record.id})

    def test_upstreams_that_lapsed_in_an_outage_have_time_to_come_back(self) -> None:
        self.rig.start()
        for _ in range(10):
            call = self.rig.find_call(Feed.UPSTREAMS)
            self.rig.post(FeedFailed(Feed.UPSTREAMS, call, "timeout"))
            self.rig.advance(0.8)
        self.rig.world.feeds[Feed.UPSTREAMS].version = None
        self.rig.post(
            FeedFailed(Feed.UPSTREAMS, self.rig.find_call(Feed.UPSTREAMS), "timeout")
        )
        self.rig.advance(0.8)
        kept = make_upstream(1, CALLS)
        self.rig.read(Feed.UPSTREAMS, {kept.id: kept}, version=20)
        self.assertIn("calls-2", self.rig.world.upstreams.by_id)
        self.assertEqual(self.choose_many(), {kept.id}, "others may have gone")
        self.rig.advance(2.4)
        self.assertEqual(set(self.rig.world.upstreams.by_id), {kept.id})

    def test_new_owner_of_an_address_ends_the_old_one(self) -> None:
        self.rig.start()
        old = self.rig.world.upstreams.by_id["calls-1"]
        new = make_upstream(1, ENGINES, id="engines-9", address=old.record.address)
        self.rig.change(Feed.UPSTREAMS, {new.id: new})
        self.assertNotIn("calls-1", self.rig.world.upstreams.by_id)
        self.assertIs(old.health, UpstreamHealth.DOWN)

    def test_another_start_under_the_same_id_is_a_new_upstream(self) -> None:
        self.rig.start()
        old = self.rig.world.upstreams.by_id["calls-1"]
        again = make_upstream(1, CALLS, born_ms=9999)
        self.rig.change(Feed.UPSTREAMS, {again.id: again})
        self.assertIsNot(self.rig.world.upstreams.by_id["calls-1"], old)

    def test_down_upstream_is_probed_until_it_answers(self) -> None:
        self.rig.start()
        upstream = self.rig.world.upstreams.by_id["calls-1"]
        upstream.health = UpstreamHealth.DOWN
        for _ in range(3):
            self.rig.advance(2.2)
            record = self.rig.take(ProbeServingUpstream)[0].upstream
            self.rig.post(UpstreamFailedProbe(record.id, record.born_ms, "no answer"))
            self.assertNotIn("calls-1", self.choose_many())
        self.rig.advance(2.2)
        record = self.rig.take(ProbeServingUpstream)[0].upstream
        self.rig.post(UpstreamAnsweredProbe(record.id, record.born_ms))
        self.assertIn("calls-1", self.choose_many())

    def test_failing_upstream_is_avoided_but_not_most_of_them(self) -> None:
        for failing in (1, 3):
            with self.subTest(failing=failing):
                self.rig = ServingHarness()
                self.rig.start()
                for number in range(1, failing + 1):
                    upstream = self.rig.world.upstreams.by_id[f"calls-{number}"]
                    upstream.failures = 50.0
                    upstream.decayed_at = self.rig.now
                expected = 4 - failing if failing == 1 else 4
                self.assertEqual(len(self.choose_many()), expected)

    def test_streams_are_spread_evenly(self) -> None:
        self.rig.start()
        counts: Counter[str] = Counter()
        for _ in range(8):
            self.rig.request(RouteKind.STREAM)
            counts[self.rig.send().upstream.id] += 1
        self.assertEqual(set(counts.values()), {2})

    def test_neighbours_of_a_lost_upstream_are_probed(self) -> None:
        self.rig.start()
        for _ in range(4):
            self.rig.request(RouteKind.STREAM)
            self.rig.send()
        self.rig.advance(0.2)
        self.rig.take(ProbeServingUpstream)
        attempts = list(self.rig.world.requests.attempts.values())
        lost = attempts[0].upstream
        self.rig.post(
            UpstreamFailedProbe(lost.id, lost.record.born_ms, "no answer"),
        )
        probed = {item.upstream.id for item in self.rig.take(ProbeServingUpstream)}
        near = {
            item.upstream.id
            for item in attempts
            if item.upstream.record.data_centre == lost.record.data_centre
        }
        self.assertEqual(probed - {lost.id}, near - {lost.id})


if __name__ == "__main__":
    unittest.main()
