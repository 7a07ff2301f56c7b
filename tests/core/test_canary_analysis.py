"""Tests of the canary analysis over many randomly generated histories."""

from __future__ import annotations

import unittest
from random import Random

from attrs import frozen

from magnoliahold.core.canary_analysis import CanaryAnalysis, Cell
from magnoliahold.core.evidence import find_bucket
from magnoliahold.core.policy import MovePolicy
from magnoliahold.core.version_results import Delta
from magnoliahold.core.workspaces import MoveRule

POLICY = MovePolicy()
RULE = MoveRule("v2", 0.05, 0.0)
REQUESTS_PER_S = 16.0
STAGES = ((15.0, 0.0), (15.0, 0.05), (8.0, 0.1), (8.0, 0.25), (8.0, 0.5), (15.0, 0.95))


@frozen
class Versions:
    """Parameters of a generated history: failure rates and the new version's slowdown.

    `slow_fleet` slows all upstreams down for a third of the time.
    """

    old_failures: float = 0.005
    new_failures: float = 0.005
    slowdown: float = 1.0
    spread: float = 0.5
    slow_fleet: float = 1.6
    bad_from: float = 0.0
    bad_route: str = ""


def draw_delta(random: Random, failures: float, scale: float, spread: float) -> Delta:
    """Draws the result of one request at random."""
    if random.random() < failures:
        return Delta(0, 1, {}, {})
    latency_s = 0.2 * scale * random.lognormvariate(0, spread)
    gap_s = 0.04 * scale * random.gauss(1, 0.1)
    return Delta(1, 0, {find_bucket(latency_s): 1}, {find_bucket(gap_s): 1})


def analyze_history(seed: int, versions: Versions) -> tuple[str, int]:
    """Returns the rejection reason and how many requests the bad version was sent."""
    random = Random(seed)
    analysis = CanaryAnalysis()
    now, requests, ends_at = 0.0, 0, 0.0
    for seconds, share in STAGES:
        ends_at += seconds
        while now < ends_at and not analysis.rejection_reason:
            now += random.expovariate(REQUESTS_PER_S)
            busy = random.random() < 0.3
            cell = Cell(f"u{random.randrange(4)}", random.choice("abc"), busy)
            scale = 1.5 if busy else 1.0
            scale *= versions.slow_fleet if int(now / 7) % 3 == 1 else 1.0
            if random.random() >= share:
                delta = draw_delta(
                    random, versions.old_failures, scale, versions.spread
                )
                analysis.add_old_results(cell, delta, now, POLICY)
            else:
                bad = now >= versions.bad_from and versions.bad_route in cell.route
                requests += bad
                failures = versions.new_failures if bad else versions.old_failures
                scale *= versions.slowdown if bad else 1.0
                delta = draw_delta(random, failures, scale, versions.spread)
                analysis.add_new_results(cell, delta, RULE, POLICY, is_recent=True)
            analysis.close_window(now, RULE, POLICY)
    return analysis.rejection_reason, requests


class CanaryAnalysisTests(unittest.TestCase):
    def test_good_versions_are_not_rejected(self) -> None:
        for name, versions in (
            ("few failures", Versions(old_failures=0.001, new_failures=0.001)),
            ("some failures", Versions()),
            ("wide latencies", Versions(spread=1.0)),
        ):
            reasons = [analyze_history(seed, versions)[0] for seed in range(20)]
            with self.subTest(name):
                self.assertEqual([reason for reason in reasons if reason], [])

    def test_bad_versions_are_rejected_early(self) -> None:
        for name, versions, most in (
            ("all fail", Versions(new_failures=1.0), 4),
            ("three in ten fail", Versions(new_failures=0.3), 40),
            ("three times slower", Versions(slowdown=3.0), 12),
            ("fails later", Versions(new_failures=1.0, bad_from=50.0), 5),
            ("fails on one route", Versions(new_failures=1.0, bad_route="a"), 6),
        ):
            with self.subTest(name):
                results = [analyze_history(seed, versions) for seed in range(6)]
                self.assertTrue(all(reason for reason, _ in results), results)
                self.assertLessEqual(max(count for _, count in results), most)

    def test_one_failure_is_not_enough(self) -> None:
        analysis = CanaryAnalysis()
        cell = Cell("u0", "a", False)
        analysis.add_old_results(cell, Delta(100, 0, {}, {}), 0.0, POLICY)
        analysis.add_new_results(
            cell, Delta(0, 1, {}, {}), RULE, POLICY, is_recent=True
        )
        self.assertEqual(analysis.rejection_reason, "")
        analysis.add_new_results(
            cell, Delta(0, 1, {}, {}), RULE, POLICY, is_recent=True
        )
        self.assertIn("failures", analysis.rejection_reason)

    def test_routes_in_use_must_be_covered(self) -> None:
        analysis = CanaryAnalysis()
        for route in ("a", "b"):
            cell = Cell("u0", route, False)
            analysis.add_old_results(cell, Delta(50, 0, {}, {}), 0.0, POLICY)
        cell = Cell("u0", "a", False)
        analysis.add_new_results(
            cell, Delta(40, 0, {}, {}), RULE, POLICY, is_recent=True
        )
        self.assertFalse(analysis.covers_routes(POLICY))
        analysis.add_old_results(cell, Delta(1, 0, {}, {}), 10.0, POLICY)
        self.assertTrue(analysis.covers_routes(POLICY), "the other route is gone")
