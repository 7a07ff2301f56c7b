"""Tests of which entry advances a move, on real nodes with a fake platform."""

from __future__ import annotations

import unittest
from random import Random

from magnoliahold.core.configuration import WORKSPACES_TABLE, decode_workspace_row
from magnoliahold.core.systems.canary_analysis import suspend_version
from magnoliahold.measure.fakes.platform import FakePlatform
from tests.core.systems.test_placement import STEP_S, make_moving_fleet


def read_state(fleet) -> str:
    """Reads the state of the only move from the table service."""
    return (
        decode_workspace_row(fleet.platform.rows[WORKSPACES_TABLE, "club"])
        .moves[0]
        .state
    )


class StepTests(unittest.TestCase):
    def test_another_entry_steps_in_for_one_cut_off_from_the_store(self) -> None:
        for name in ("entry-0", "entry-1"):
            with self.subTest(name):
                fleet = make_moving_fleet()
                self.assertEqual(read_state(fleet), "canary")
                unavailable = FakePlatform(fleet.clock, Random(1), outage=True)
                fleet.find_node(name).ports.tables = unavailable
                world = fleet.find_node(name).world
                active = next(iter(world.moves.active.values()))
                now = fleet.find_node(name).clock.seconds()
                suspend_version(world, active, "test", now)
                fleet.run_for(4.0, STEP_S)
                self.assertEqual(read_state(fleet), "taken_back")

    def test_a_suspension_reaches_every_entry_without_the_store(self) -> None:
        fleet = make_moving_fleet()
        fleet.platform.outage = True
        node = fleet.find_node("entry-0")
        active = next(iter(node.world.moves.active.values()))
        suspend_version(node.world, active, "test", node.clock.seconds())
        fleet.run_for(0.1, STEP_S)
        other = fleet.find_node("entry-1").world
        self.assertIn(active.row.move, other.moves.suspended)
        fleet.add_entry("entry-9")
        fleet.run_for(2.0, STEP_S)
        newest = fleet.find_node("entry-9").world
        self.assertIn(active.row.move, newest.moves.suspended)
        fleet.platform.outage = False
        fleet.run_for(8.0, STEP_S)
        self.assertEqual(read_state(fleet), "taken_back")
