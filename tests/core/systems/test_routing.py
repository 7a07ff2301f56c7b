"""Tests of load estimates and the choice of upstreams."""

from __future__ import annotations

import unittest

from magnoliahold.core.peers import Peer
from magnoliahold.core.policy import Policy, RoutingPolicy
from magnoliahold.core.systems.capacity import estimate_running, measure_load
from magnoliahold.core.systems.subsets import choose_subset
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.workspaces import make_work, make_workspace
from magnoliahold.storage.interfaces import Instance
from magnoliahold.wire.messages import UpstreamReport
from tests.core.systems.test_admission import start_caller

SLOW_PREFILL_S = 0.4


def make_peer(running: int, assigned: int, reported: int) -> Peer:
    """Builds a peer with a report of its load."""
    report = UpstreamReport(
        "draft-0", "engine", ready=True, running=running, capacity=4
    )
    peer = Peer("sidecar-draft-0", "sidecar", "10.0.0.1", 7000, "dc-0", report=report)
    peer.assigned = assigned
    peer.assigned_at_last_report = reported
    return peer


class LoadTests(unittest.TestCase):
    def test_own_assignments_since_the_report_are_counted(self) -> None:
        cases = (
            ("nothing since", 2, 1, 1, 2),
            ("starts since", 2, 3, 1, 4),
            ("ends since", 2, 0, 1, 1),
            ("report lags behind own work", 0, 3, 3, 3),
        )
        for name, running, assigned, reported, expected in cases:
            with self.subTest(name):
                peer = make_peer(running, assigned, reported)
                self.assertEqual(estimate_running(peer), expected)
                self.assertEqual(measure_load(peer), expected / 4)


class SubsetTests(unittest.TestCase):
    def test_each_upstream_is_linked_to_the_same_number_of_entries(self) -> None:
        centres = ("dc-0", "dc-1")
        entries = [
            Instance(f"entry-{n}", "entry", "10.0.0.1:7000", centres[n % 2])
            for n in range(12)
        ]
        sidecars = [
            Instance(f"sidecar-{n}", "sidecar", "10.0.0.1:7000", f"dc-{n % 3}")
            for n in range(60)
        ]
        everything = [*entries, *sidecars]
        subsets = [choose_subset(entry, everything, 3) for entry in entries]
        for sidecar in sidecars:
            known = sum(sidecar.name in subset for subset in subsets)
            self.assertEqual(known, 3, sidecar)


class SlowUpstreamTests(unittest.TestCase):
    def test_slow_upstream_gets_less_work_and_is_tried_again(self) -> None:
        starts = {}
        for slow_times in (1_000.0, RoutingPolicy().slow_times):
            policy = Policy(routing=RoutingPolicy(slow_times=slow_times))
            work = make_work("desk", "draft", interactive=True)
            workspaces = [make_workspace("club-0", [work])]
            fleet = make_fleet(1, FleetSpec(entries=1), workspaces, policy)
            fleet.run_for(1.0)
            fleet.engines["draft-0"].prefill_s_per_token = SLOW_PREFILL_S
            callers = [
                start_caller(fleet, "desk", tokens=5, delay_s=n * 0.1)
                for n in range(300)
            ]
            fleet.run_for(33.0)
            self.assertTrue(all(caller.finished_at for caller in callers))
            starts[slow_times] = len(fleet.engines["draft-0"].runs)
        with_limit, without_limit = starts[RoutingPolicy().slow_times], starts[1_000.0]
        self.assertLess(with_limit, without_limit / 2)
        self.assertGreater(with_limit, 1)
