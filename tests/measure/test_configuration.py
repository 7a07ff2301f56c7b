"""Tests configuration propagation, in random runs under faults and in fixed cases."""

from __future__ import annotations

import os
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliahold.core.administration import (
    MovesRequested,
    StatusDocument,
    StatusRequested,
)
from magnoliahold.core.events import Received
from magnoliahold.core.identity import Sender
from magnoliahold.measure.configuration import (
    make_report,
    make_scenario,
    make_template,
    run_configuration,
)
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.operators import (
    Apply,
    add_operator_ports,
    apply_template,
)
from magnoliahold.measure.options import MeasureOptions
from magnoliahold.templates import encode_template
from magnoliahold.wire.messages import ConfigurationPush

EXAMPLES = int(os.environ.get("MAGNOLIAHOLD_EXAMPLES", "4"))
SEED = os.environ.get("MAGNOLIAHOLD_SEED")
REGRESSION_SEEDS = (1, 2, 3) if SEED is None else (int(SEED),)
STEP_S = 0.02


def make_small_fleet(entries: int = 3):
    """Makes a fleet with one engine and runs it until it has started."""
    fleet = make_fleet(7, FleetSpec(entries=entries, engines={"draft": 1}))
    add_operator_ports(fleet)
    fleet.run_for(2.0, STEP_S)
    return fleet


def apply_number(fleet, number: int, expected_version: int | None = None):
    """Applies a small template to the workspace `club`."""
    template = encode_template(make_template("club", number))
    return apply_template(fleet, "club", template, expected_version)


def read_versions(fleet) -> list[int]:
    """Returns the version of the workspace in each entry, 0 if it has none."""
    worlds = [fleet.find_node(name).world for name in fleet.list_entries()]
    found = [world.workspaces.workspaces.get("club") for world in worlds]
    return [item.version if item else 0 for item in found]


class ConfigurationTests(unittest.TestCase):
    def assert_kept(self, report) -> None:
        self.assertGreater(report.accepted, 0)
        for name in (
            "lost",
            "reverted",
            "refused_but_applied",
            "unanswered",
            "not_in_force",
        ):
            self.assertEqual(getattr(report, name), 0, name)

    def test_seeds_that_failed_before(self) -> None:
        for seed in REGRESSION_SEEDS:
            with self.subTest(seed=seed):
                options = MeasureOptions(seed=seed, runs=1, faults=2.0)
                report = run_configuration(options)
                self.assert_kept(report)
                self.assertLessEqual(report.in_force_s.max, 3.0)

    @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
    @given(seed=st.integers(0, 2**20), entries=st.integers(2, 6))
    def test_any_seed(self, seed: int, entries: int) -> None:
        options = MeasureOptions(entries=entries, workspaces=3, faults=2.0)
        scenario = make_scenario(seed, options)
        scenario.run()
        self.assert_kept(make_report([scenario]))

    def test_loser_of_a_race_gets_the_current_version(self) -> None:
        fleet = make_small_fleet()
        applies = [apply_number(fleet, number) for number in range(3)]
        fleet.run_for(2.0, STEP_S)
        accepted = [item for item in applies if item.accepted]
        refused = [item.refused for item in applies if item.refused]
        self.assertEqual(len(accepted), 1)
        self.assertEqual([item.error.current_version for item in refused], [1, 1])
        self.assertEqual({item.error.code for item in refused}, {"version_conflict"})
        self.assertEqual(read_versions(fleet), [1, 1, 1])

    def test_lost_answer_is_recovered_by_the_apply_id(self) -> None:
        fleet = make_small_fleet()
        fleet.platform.lost_answer_share = 1.0
        apply = apply_number(fleet, 1)
        fleet.run_for(6.0, STEP_S)
        self.assertIsNotNone(apply.accepted)
        self.assertEqual(read_versions(fleet), [1, 1, 1])
        fleet.platform.lost_answer_share = 0.0
        again = Apply(fleet, apply.event, fleet.now())
        again.send()
        fleet.run_for(1.0, STEP_S)
        self.assertEqual(again.accepted and again.accepted.version, 1)

    def test_entry_started_without_the_store_pulls_from_its_peers(self) -> None:
        fleet = make_small_fleet(entries=2)
        apply_number(fleet, 1)
        fleet.run_for(1.0, STEP_S)
        fleet.platform.outage = True
        fleet.add_entry("entry-9")
        fleet.run_for(3.0, STEP_S)
        self.assertEqual(read_versions(fleet), [1, 1, 1])

    def test_late_push_is_ignored(self) -> None:
        fleet = make_small_fleet()
        apply_number(fleet, 1)
        fleet.run_for(1.0, STEP_S)
        node = fleet.find_node("entry-0")
        late = node.world.workspaces.rows["club"]
        apply_number(fleet, 2)
        fleet.run_for(1.0, STEP_S)
        push = ConfigurationPush((late,), late.change, late.change - 1)
        node.post_event(Received(Sender("entry-1", "old"), push))
        fleet.run_for(0.2, STEP_S)
        self.assertEqual(read_versions(fleet), [2, 2, 2])

    def test_status_lists_each_instance(self) -> None:
        fleet = make_small_fleet()
        apply_number(fleet, 1)
        fleet.run_for(2.0, STEP_S)
        node = fleet.find_node("entry-0")
        node.post_event(StatusRequested("status-1"))
        node.post_event(MovesRequested("moves-1"))
        fleet.run_for(0.5, STEP_S)
        answers = node.ports.operators.answers
        document = answers["status-1"].document
        self.assertIsInstance(document, StatusDocument)
        entries = [item for item in document.instances if item.role == "entry"]
        self.assertEqual(len(entries), 3)
        for item in entries:
            with self.subTest(item.name):
                self.assertEqual([row.version for row in item.workspaces], [1])
                self.assertGreater(item.workspaces[0].since_s, 1.0)
        self.assertEqual(answers["moves-1"].status, 200)
