"""Tests of the canary analysis over many randomly generated histories."""

from __future__ import annotations

import unittest
from random import Random

from attrs import frozen

from magnoliahold.core.canary_analysis import CanaryAnalysis, Cell
from magnoliahold.core.evidence import find_bucket
from magnoliahold.core.policy import MovePolicy
from magnoliahold.core.serving.policy import VersionPolicy
from magnoliahold.core.version_results import Delta
from magnoliahold.core.workspaces import MoveRule

POLICY = MovePolicy()
RULE = MoveRule("v2", 0.05, 0.0)
DOUBT_LIMITS = VersionPolicy().doubt_limits
STRONG_EVIDENCE = 3.0
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


@frozen
class RouteKind:
    """A kind of request: its share, its median latency and its share of failures."""

    share: float
    latency_s: float
    failures: float = 0.02


# The last kind ends at its time limit, whichever version runs it.
ROUTE_KINDS = {
    "short": RouteKind(0.25, 0.004),
    "long": RouteKind(0.63, 0.025),
    "limited": RouteKind(0.12, 0.4, failures=1.0),
}
SERVICE_RATE = 13.0
CANARY_S = 15.0


def draw_part_slow(random: Random, kind: RouteKind, slow_share: float) -> Delta:
    """Draws a result whose latency is 4 to 8 times longer with `slow_share`."""
    if kind.failures == 1.0:
        return Delta(0, 1, {find_bucket(kind.latency_s): 1}, {})
    latency_s = kind.latency_s * random.lognormvariate(0, 0.25)
    if random.random() < slow_share:
        latency_s *= random.uniform(4, 8)
    failed = random.random() < kind.failures
    return Delta(not failed, int(failed), {find_bucket(latency_s): 1}, {})


def analyze_service(seed: int, slow_share: float) -> CanaryAnalysis:
    """Analyses few results of a service whose routes differ in their latency."""
    random = Random(seed)
    analysis = CanaryAnalysis()
    now = 0.0
    while now < CANARY_S and not analysis.rejection_reason:
        now += random.expovariate(SERVICE_RATE)
        weights = [kind.share for kind in ROUTE_KINDS.values()]
        route = random.choices(list(ROUTE_KINDS), weights)[0]
        cell = Cell(f"e{random.randrange(4)}", route, False, compared_by_route=True)
        if random.random() < (0.1 if now < CANARY_S / 3 else 0.2):
            delta = draw_part_slow(random, ROUTE_KINDS[route], slow_share)
            analysis.add_new_results(cell, delta, RULE, POLICY, is_recent=True)
        else:
            delta = draw_part_slow(random, ROUTE_KINDS[route], 0.0)
            analysis.add_old_results(cell, delta, now, POLICY)
        analysis.close_window(now, RULE, POLICY)
    return analysis


ROUTE_CELL = Cell("e0", "a", False, compared_by_route=True)


def add_interval(
    analysis: CanaryAnalysis, now: float, old: Delta, new: Delta | None
) -> None:
    """Adds an interval's results of both versions on one route."""
    analysis.add_old_results(ROUTE_CELL, old, now, POLICY)
    if new is not None:
        analysis.add_new_results(ROUTE_CELL, new, RULE, POLICY, is_recent=True)
    analysis.close_window(now, RULE, POLICY)


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

    def test_partly_slow_version_is_found_where_routes_differ_in_latency(self) -> None:
        # Answers at another route's time limit had hidden it.
        found = [
            seed
            for seed in range(20)
            if analyze_service(seed, 0.34).is_in_doubt(DOUBT_LIMITS)
        ]
        self.assertGreaterEqual(len(found), 16)

    def test_few_answers_that_are_far_slower_are_enough(self) -> None:
        analysis = CanaryAnalysis()
        usual, slow = find_bucket(0.025), find_bucket(0.3)
        for number in range(20):
            old = Delta(20, 0, {usual: 19, usual + 4: 1}, {})
            new = Delta(1, 0, {usual if number % 7 else slow: 1}, {})
            add_interval(analysis, number * 0.5, old, new)
        self.assertGreaterEqual(analysis.suspicion, STRONG_EVIDENCE)

    def test_failures_end_no_interval_of_durations(self) -> None:
        # Three times slower is less than the margin without comparable results.
        analysis = CanaryAnalysis()
        usual, slow = find_bucket(0.025), find_bucket(0.075)
        old, new = Delta(3, 2, {usual: 3}, {}), Delta(1, 0, {slow: 1}, {})
        for number in range(40):
            sent_new = number >= 10 and number % 2
            add_interval(analysis, number * 0.5, old, new if sent_new else None)
        self.assertIn("latency", analysis.rejection_reason)

    def test_durations_wait_for_the_first_reference(self) -> None:
        analysis = CanaryAnalysis()
        usual, slow = find_bucket(0.025), find_bucket(0.3)
        old, new = Delta(5, 0, {usual: 5}, {}), Delta(3, 0, {slow: 3}, {})
        for number in range(10):
            add_interval(analysis, number * 0.6, old, new if number < 2 else None)
        self.assertGreaterEqual(analysis.suspicion, STRONG_EVIDENCE)

    def test_good_version_is_kept_where_routes_differ_in_latency(self) -> None:
        rejected = [
            seed
            for seed in range(100)
            if analyze_service(seed, 0.0).is_in_doubt(DOUBT_LIMITS)
        ]
        self.assertLessEqual(len(rejected), 5)

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
