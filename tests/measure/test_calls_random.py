"""Tests calls under random faults, with invariant checks enabled.

MAGNOLIAHOLD_SEED and MAGNOLIAHOLD_EXAMPLES select other runs than the default ones.
"""

from __future__ import annotations

import os
import unittest
from collections.abc import Callable
from random import Random
from typing import Any, TypeVar

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from magnoliahold.measure import calls
from magnoliahold.measure.fakes.service_faults import ServiceFaultInjector
from magnoliahold.measure.options import MeasureOptions

T = TypeVar("T", bound=Callable[..., Any])
SEED = os.environ.get("MAGNOLIAHOLD_SEED")
EXAMPLES = int(os.environ.get("MAGNOLIAHOLD_EXAMPLES", "8"))
REGRESSION_SEEDS = ((2, 3, 1.0), (4, 14, 1.0), (1, 18, 1.0), (3, 18, 1.0), (5, 16, 3.0))
CALLS = 60
RUN_S = 24.0

fault_lists = st.lists(
    st.tuples(
        st.sampled_from([fault for fault, _ in calls.FAULTS]),
        st.floats(1.2, 12.0),
    ),
    max_size=14,
)


def choose_seed(test: T) -> T:
    """Applies the seed from MAGNOLIAHOLD_SEED to a test, if it is set."""
    return seed(int(SEED))(test) if SEED else test


class RandomisedCallsTests(unittest.TestCase):
    def check_scenario(self, scenario: calls.CallScenario) -> None:
        totals = calls.CallTotals()
        calls.add_scenario(totals, scenario)
        report = calls.make_report(totals)
        self.assertEqual(report.ran_twice, 0)
        self.assertEqual(report.told_not_run_but_ran, 0)
        self.assertEqual(report.wrong_answers, 0)
        self.assertEqual(report.unanswered, 0)
        self.assertEqual(report.invariant_violations, 0)

    @choose_seed
    @settings(
        derandomize=SEED is None,
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.integers(0, 2**32), fault_lists, st.sampled_from((0.0, 1.0, 5.0)))
    def test_nothing_that_must_hold_breaks(
        self, drawn: int, planned: list[tuple[object, float]], noise: float
    ) -> None:
        random = Random(drawn)
        fleet = calls.make_call_fleet(random, "desk", 3, 3, noise)
        injector = ServiceFaultInjector(fleet, Random(drawn))
        scenario = calls.CallScenario(fleet, injector, baseline=False)
        fleet.run_for(calls.WARM_UP_S)
        for serial in range(CALLS):
            calls.plan_call(scenario, random, "desk", str(serial))
        for fault, at in planned:
            injector.schedule_fault(at, fault)
        fleet.run_for(RUN_S)
        scenario.run_scenario()
        self.check_scenario(scenario)

    def test_seeds_that_failed_before(self) -> None:
        for drawn, number, faults in REGRESSION_SEEDS:
            with self.subTest(seed=drawn, number=number, faults=faults):
                options = MeasureOptions(seed=drawn, faults=faults)
                scenario = calls.make_scenario(options, number)
                scenario.run_scenario()
                self.check_scenario(scenario)
