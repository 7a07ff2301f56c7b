"""Tests the overload experiment, and the product against the baseline."""

from __future__ import annotations

import unittest
from functools import cache
from typing import TYPE_CHECKING

from magnoliahold.core.policy import Policy, RoutingPolicy
from magnoliahold.measure import overload
from magnoliahold.measure.options import MeasureOptions
from magnoliahold.measure.overload import (
    LoadTotals,
    add_scenario,
    find_fair_level,
    make_load_report,
    make_scenario,
    run_overload,
)

if TYPE_CHECKING:
    from magnoliahold.measure.overload import OverloadReport

ANSWER_SLACK_S = 0.2


@cache
def measure(policy: str) -> OverloadReport:
    """Runs one scenario at each load with the given policy."""
    return run_overload(MeasureOptions(seed=2, runs=4, policy=policy))


class OverloadTests(unittest.TestCase):
    def test_every_request_is_answered(self) -> None:
        for name, report in measure("product").loads.items():
            with self.subTest(load=name):
                self.assertEqual(report.unanswered, 0)
        self.assertEqual(measure("product").invariant_violations, 0)

    def test_first_tokens_arrive_within_the_time_limit(self) -> None:
        limit_s = Policy().admission.interactive_patience_s
        for name, report in measure("product").loads.items():
            with self.subTest(load=name):
                first = report.interactive_first_token_s
                self.assertLess(first.p95, limit_s + ANSWER_SLACK_S)

    def test_baseline_makes_all_requests_wait(self) -> None:
        baseline = measure("baseline").loads["4"].interactive_first_token_s
        product = measure("product").loads["4"].interactive_first_token_s
        self.assertGreater(baseline.p50, 3 * product.p95)

    def test_same_seed_gives_the_same_report(self) -> None:
        options = MeasureOptions(seed=5, runs=1)
        self.assertEqual(run_overload(options), run_overload(options))


class FairLevelTests(unittest.TestCase):
    def test_level_divides_the_served_cost_fairly(self) -> None:
        cases = (
            ([1.0, 1.0], 2.0, 1.0),
            ([1.0, 9.0], 4.0, 3.0),
            ([1.0, 2.0, 9.0], 6.0, 3.0),
            ([4.0, 4.0], 2.0, 1.0),
        )
        for offered, served, level in cases:
            with self.subTest(offered=offered, served=served):
                self.assertAlmostEqual(find_fair_level(offered, served), level)


class PrefixAffinityTests(unittest.TestCase):
    def test_prefixes_save_prompt_tokens(self) -> None:
        def measure_saved(characters: int) -> float:
            policy = Policy(routing=RoutingPolicy(prefix_characters=characters))
            scenario = make_scenario(MeasureOptions(seed=3), 0, 0.4, policy)
            scenario.run_scenario()
            totals = LoadTotals()
            add_scenario(totals, scenario)
            return make_load_report(totals).prompt_tokens_saved_share

        without_prefixes = measure_saved(overload.PREFIX_ROUTING_OFF_CHARACTERS)
        with_prefixes = measure_saved(RoutingPolicy().prefix_characters)
        self.assertGreater(with_prefixes, 1.15 * without_prefixes)
