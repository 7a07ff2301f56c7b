"""Tests of requests that crash engines through whole fleets."""

from __future__ import annotations

import unittest

from magnoliahold.measure.options import BASELINE, MeasureOptions
from magnoliahold.measure.poison import run_poison


class PoisonTests(unittest.TestCase):
    def test_killers_are_stopped_and_innocents_served(self) -> None:
        for seed, faults in ((1, 0.0), (1, 1.0)):
            with self.subTest(seed=seed, faults=faults):
                report = run_poison(MeasureOptions(seed=seed, runs=4, faults=faults))
                self.assertGreater(report.poison_requests, 0)
                self.assertLessEqual(report.engines_lost_per_poison_request.max, 3)
                self.assertEqual(report.innocents_refused, 0)
                self.assertEqual(report.innocents_incomplete, 0)
                self.assertEqual(report.repeats_ran, 0)
                self.assertEqual(report.invariant_violations, 0)

    def test_without_suspicion_engines_are_lost(self) -> None:
        report = run_poison(MeasureOptions(seed=1, runs=1, policy=BASELINE, faults=0.0))
        self.assertGreater(report.engines_lost_per_poison_request.max, 3)
