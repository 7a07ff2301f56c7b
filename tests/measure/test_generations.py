"""Tests generations and drains in simulated fleets under seeded random faults."""

from __future__ import annotations

import os
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from magnoliahold.measure.drain import run_drain
from magnoliahold.measure.generations import (
    GenerationTotals,
    add_scenario,
    make_report,
    make_scenario,
    run_generations,
)
from magnoliahold.measure.options import MeasureOptions

EXAMPLES = int(os.environ.get("MAGNOLIAHOLD_EXAMPLES", "6"))
SEED = os.environ.get("MAGNOLIAHOLD_SEED", "")
REGRESSIONS = (
    # Seed, scenario number and fault scale of runs that failed before.
    (4, 0, 3.0),
    (4, 6, 3.0),
    (1, 17, 1.0),
)


class GenerationsTests(unittest.TestCase):
    def check_scenario(self, seed: int, number: int, faults: float) -> None:
        options = MeasureOptions(seed=seed, faults=faults)
        scenario = make_scenario(options, number)
        scenario.run_scenario()
        totals = GenerationTotals()
        add_scenario(totals, scenario)
        report = make_report(totals)
        found = {
            "missing": report.tokens_missing,
            "repeated": report.tokens_repeated,
            "mixed": report.mixed_answers,
            "incomplete": report.incomplete_answers,
            "violations": report.invariant_violations,
        }
        self.assertEqual(found, dict.fromkeys(found, 0))

    @settings(
        derandomize=not SEED,
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        seed=st.integers(0, 1_000_000),
        number=st.integers(0, 1),
        faults=st.sampled_from((0.5, 1.0, 2.0)),
    )
    def test_answers_are_whole_under_any_faults(
        self, seed: int, number: int, faults: float
    ) -> None:
        self.check_scenario(int(SEED) + seed if SEED else seed, number, faults)

    def test_answers_are_complete_in_runs_that_failed_before(self) -> None:
        for seed, number, faults in REGRESSIONS:
            with self.subTest(seed=seed, number=number, faults=faults):
                self.check_scenario(seed, number, faults)

    def test_targets_are_met_and_beat_the_baseline(self) -> None:
        report = run_generations(MeasureOptions(seed=1, runs=4))
        baseline = run_generations(MeasureOptions(seed=1, runs=4, policy="baseline"))
        self.assertLess(report.resume_shown_s.p99, 1.0)
        self.assertLess(report.resume_latency_s.max, 2.0)
        self.assertLess(report.extra_tokens_share, baseline.extra_tokens_share)
        self.assertLess(report.resume_latency_s.p50, baseline.resume_latency_s.p50)

    def test_same_seed_gives_the_same_report(self) -> None:
        options = MeasureOptions(seed=3, runs=1)
        self.assertEqual(run_generations(options), run_generations(options))


class DrainTests(unittest.TestCase):
    def test_planned_stops_interrupt_no_request(self) -> None:
        report = run_drain(MeasureOptions(seed=1, runs=4))
        baseline = run_drain(MeasureOptions(seed=1, runs=4, policy="baseline"))
        found = (report.requests_cut, report.not_stopped, report.invariant_violations)
        self.assertEqual(found, (0, 0, 0))
        self.assertLess(report.new_work_after_leaving_s.max_listed, 3.0)
        self.assertGreater(baseline.requests_cut, 0)
