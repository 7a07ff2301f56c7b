"""Tests quarantine of requests that crash upstreams, in simulated fleets."""

from __future__ import annotations

import unittest

from magnoliahold.core.events import CallArrived
from magnoliahold.core.workspaces import ServiceRule
from magnoliahold.measure.fakes.callers import ServiceCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.workspaces import make_workspace
from magnoliahold.measure.options import BASELINE, MeasureOptions
from magnoliahold.measure.poison import run_poison


class PoisonTests(unittest.TestCase):
    def test_poison_is_quarantined_and_other_requests_are_served(self) -> None:
        for seed, faults, max_lost in ((1, 0.0, 2), (1, 1.0, 3)):
            with self.subTest(seed=seed, faults=faults):
                report = run_poison(MeasureOptions(seed=seed, runs=4, faults=faults))
                self.assertGreater(report.poison_requests, 0)
                self.assertLessEqual(
                    report.engines_lost_per_poison_request.max, max_lost
                )
                self.assertEqual(report.innocents_refused, 0)
                self.assertEqual(report.innocents_incomplete, 0)
                self.assertEqual(report.repeats_ran, 0)
                self.assertEqual(report.invariant_violations, 0)

    def test_poison_call_crashes_only_two_services(self) -> None:
        rule = ServiceRule("desk", ("desk-0", "desk-1", "desk-2"), ("GET /*",))
        spec = FleetSpec(engines={}, services={"desk": 3})
        fleet = make_fleet(31, spec, [make_workspace("kennels", [], [rule])])
        for service in fleet.services.values():
            service.poison.add("poison")
        fleet.run_for(2.0)
        request = CallArrived(
            "", "kennels", "desk", "GET", "/look", (), b"poison", "print"
        )
        caller = ServiceCaller(fleet.clock, fleet, request)
        caller.start_request()
        fleet.run_for(5.0)
        self.assertEqual(caller.refusal and caller.refusal.code, "quarantined")
        lost = sum(service.crashes for service in fleet.services.values())
        self.assertEqual(lost, 2)

    def test_baseline_loses_engines(self) -> None:
        report = run_poison(MeasureOptions(seed=1, runs=1, policy=BASELINE, faults=0.0))
        self.assertGreater(report.engines_lost_per_poison_request.max, 3)
