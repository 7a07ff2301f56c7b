"""Tests of streams that are placed by the pace of their upstreams."""

from __future__ import annotations

import unittest

from attrs import evolve

from magnoliahold.core.load.pace import GAPS_PER_SAMPLE, PaceSample
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import SendAttempt, SendNotice
from magnoliahold.core.serving.events import NoticeReceived
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
from magnoliahold.core.serving.policy import LoadPolicy
from tests.core.serving.harness import CALLS, ENGINES, ServingHarness, make_upstream

STREAM = RouteKind.STREAM
PEER = PeerRecord("entry-2", "entry-2.a", "10.9.0.2", 7)
USUAL_S = 0.03
SLOW_ID = f"{ENGINES}-1"
PACES = tuple(
    PaceSample(f"{ENGINES}-{number}", USUAL_S * (3 if number == 1 else 1), 20.0)
    for number in range(1, 5)
)
EVEN_PACES = tuple(evolve(pace, gap_s=USUAL_S) for pace in PACES)


class PaceTests(unittest.TestCase):
    def start(self, by_pace: bool = True, seed: int = 7) -> ServingHarness:
        """Starts an entry that knows another one."""
        harness = ServingHarness(seed=seed)
        policy = LoadPolicy(by_pace=by_pace)
        harness.world.serving_policy = evolve(harness.world.serving_policy, load=policy)
        harness.start()
        harness.change(Feed.PEERS, {PEER.name: PEER})
        return harness

    def tell(
        self, harness: ServingHarness, paces: tuple[PaceSample, ...], serial: int = 1
    ) -> None:
        """Delivers a notice of the other entry."""
        notice = LoadNotice(PEER.name, PEER.incarnation, serial, paces=paces)
        harness.post(NoticeReceived(notice))

    def list_choices(self, harness: ServingHarness, count: int) -> list[str]:
        """Returns the upstreams of streams that begin one after the other."""
        for _ in range(count):
            harness.request(STREAM)
        return [item.upstream.id for item in harness.pop_effects(SendAttempt)]

    def run_stream(self, harness: ServingHarness, gap_s: float) -> str:
        """Runs a stream with equal gaps to its end; returns its upstream."""
        request = harness.request(STREAM)
        attempt = harness.send()
        harness.open(attempt, request)
        for number in range(1, GAPS_PER_SAMPLE + 2):
            harness.now += gap_s
            harness.produce(attempt, number)
        harness.finish(attempt)
        return attempt.upstream.id

    def test_slow_upstream_gets_streams_only_under_load(self) -> None:
        harness = self.start()
        self.tell(harness, PACES)
        choices = self.list_choices(harness, 24)
        self.assertNotIn(SLOW_ID, choices[:6])
        self.assertIn(SLOW_ID, choices)
        self.assertLess(choices.count(SLOW_ID), 24 / 4)

    def test_decisions_are_the_same_with_equal_paces_or_without_the_setting(
        self,
    ) -> None:
        for name, by_pace, paces in (
            ("equal paces", True, EVEN_PACES),
            ("no setting", False, PACES),
        ):
            for seed in range(5):
                with self.subTest(name, seed=seed):
                    plain = self.start(by_pace=False, seed=seed)
                    other = self.start(by_pace=by_pace, seed=seed)
                    self.tell(other, paces)
                    self.tell(plain, ())
                    self.assertEqual(
                        self.list_choices(other, 16), self.list_choices(plain, 16)
                    )

    def test_entry_reports_its_own_samples_once(self) -> None:
        harness = self.start()
        upstream_id = self.run_stream(harness, USUAL_S)
        harness.advance(3.0)
        notices = [item.notice for item in harness.pop_effects(SendNotice)]
        reported = [sample for notice in notices for sample in notice.paces]
        self.assertEqual([sample.upstream_id for sample in reported], [upstream_id])
        self.assertAlmostEqual(reported[0].gap_s, USUAL_S, delta=0.001)

    def test_nothing_is_reported_without_the_setting(self) -> None:
        harness = self.start(by_pace=False)
        self.run_stream(harness, USUAL_S)
        harness.advance(3.0)
        for effect in harness.pop_effects(SendNotice):
            self.assertEqual(effect.notice.paces, ())

    def test_failures_do_not_make_an_upstream_fast(self) -> None:
        harness = self.start()
        self.tell(harness, EVEN_PACES)
        for _ in range(20):
            request = harness.request(STREAM)
            for attempt in harness.pop_effects(SendAttempt):
                harness.answer(attempt, request, 500)
            harness.pop_effects(SendAttempt)
        for upstream in harness.world.upstreams.list_service(ENGINES):
            self.assertAlmostEqual(upstream.pace.gap_s, USUAL_S, delta=1e-9)

    def test_restarted_upstream_has_no_pace(self) -> None:
        harness = self.start()
        self.tell(harness, PACES)
        restarted = make_upstream(1, ENGINES, born_ms=9000)
        harness.change(Feed.UPSTREAMS, {restarted.id: restarted}, version=12)
        harness.advance(1.5)
        upstream = harness.world.upstreams.by_id[restarted.id]
        self.assertEqual(upstream.pace.samples, 0)

    def test_samples_of_unknown_upstreams_are_ignored(self) -> None:
        harness = self.start()
        self.tell(harness, (PaceSample("gone", USUAL_S), PaceSample(f"{CALLS}-1", 0)))
        self.assertEqual(harness.world.upstreams.by_id[f"{CALLS}-1"].pace.samples, 0)


if __name__ == "__main__":
    unittest.main()
