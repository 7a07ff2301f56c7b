"""Tests moves to good and bad versions in random runs under faults."""

from __future__ import annotations

import os
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliahold.measure.move_reports import (
    CANARY_CAP,
    find_observed_share,
    is_unreported,
)
from magnoliahold.measure.moves import make_scenario
from magnoliahold.measure.options import MeasureOptions

EXAMPLES = int(os.environ.get("MAGNOLIAHOLD_EXAMPLES", "2"))
SEED = os.environ.get("MAGNOLIAHOLD_SEED")
REGRESSION_SEEDS = (
    ((1_004, 4), (2_013, 13), (3_018, 18))
    if SEED is None
    else ((int(SEED), int(SEED)),)
)


class MoveTests(unittest.TestCase):
    def run_scenario(self, seed: int, run: int) -> None:
        scenario = make_scenario(seed, run, MeasureOptions(faults=1.0))
        scenario.run()
        for trial in scenario.trials:
            with self.subTest(seed=seed, kind=trial.behaviour.kind):
                self.assertFalse(is_unreported(trial), trial.row)
                self.assertTrue(trial.in_time, trial.ended_at)
                if not trial.behaviour.is_good and trial.behaviour.first_bad_at:
                    self.assertTrue(trial.ended_as_expected, trial.row)
                if trial.behaviour.kind in ("errors", "crashes"):
                    self.assertLessEqual(trial.share_max, CANARY_CAP)
                    self.assertLessEqual(find_observed_share(trial), CANARY_CAP + 0.03)

    def test_seeds_that_failed_before(self) -> None:
        for seed, run in REGRESSION_SEEDS:
            self.run_scenario(seed, run)

    @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
    @given(seed=st.integers(0, 2**20))
    def test_any_seed(self, seed: int) -> None:
        self.run_scenario(seed, seed)
