"""Tests of placements and orders, on real nodes with fake engines and platform."""

from __future__ import annotations

import unittest
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from magnoliahold.core.effects import SendOrder
from magnoliahold.core.events import Received
from magnoliahold.core.identity import Sender
from magnoliahold.core.placement import PLACEMENTS_TABLE, decode_placement
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.operators import add_operator_ports, apply_template
from magnoliahold.measure.move_reports import EPOCH_S
from magnoliahold.measure.moves import WallClock
from magnoliahold.templates import (
    Move,
    VersionShare,
    Work,
    WorkspaceTemplate,
    encode_template,
)
from magnoliahold.wire.messages import PlacementPush

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.fleet import Fleet

STEP_S = 0.02


def make_moving_fleet(*, obeys_fencing: bool = True) -> Fleet:
    """Builds a fleet whose workspace has just started a move to another version."""
    fleet = make_fleet(5, FleetSpec(entries=2, engines={"counter": 4}))
    add_operator_ports(fleet)
    for engine in fleet.engines.values():
        engine.obeys_fencing = obeys_fencing
    for name in fleet.list_entries():
        process = fleet.network.processes[name]
        process.node.world.wall_clock = WallClock(process.clock.offset_s)
    fleet.run_for(2.0, STEP_S)
    move = Move("v2", datetime.fromtimestamp(EPOCH_S + 1_000.0, UTC))
    shares = (
        VersionShare("v1", ("counter",), 1.0),
        VersionShare("v2", ("counter",), 0.0),
    )
    template = WorkspaceTemplate("club", works={"tickets": Work(shares, move=move)})
    apply_template(fleet, "club", encode_template(template))
    fleet.run_for(6.0, STEP_S)
    return fleet


def list_loaded(fleet: Fleet) -> list[str]:
    """Lists the engines that have loaded the new version."""
    return [name for name, engine in fleet.engines.items() if "v2" in engine.versions]


class PlacementTests(unittest.TestCase):
    def test_a_canary_loads_the_new_version_on_few_engines(self) -> None:
        fleet = make_moving_fleet()
        self.assertIn(len(list_loaded(fleet)), (1, 2))

    def test_engines_that_deviate_from_their_placement_are_corrected(self) -> None:
        for obeys_fencing in (True, False):
            for case in ("restarted with the old version", "stale order"):
                with self.subTest(case, obeys_fencing=obeys_fencing):
                    fleet = make_moving_fleet(obeys_fencing=obeys_fencing)
                    name = list_loaded(fleet)[0]
                    engine = fleet.engines[name]
                    if case == "stale order":
                        order = SendOrder("stale", "unload_version", "v2", 0)
                        engine.send_order(order)
                        fleet.run_for(0.1, STEP_S)
                        self.assertEqual("v2" in engine.versions, obeys_fencing)
                    else:
                        engine.kill_engine()
                        fleet.run_for(0.5, STEP_S)
                        engine.restart_engine(["v1"])
                    fleet.platform.outage = True
                    fleet.run_for(4.0, STEP_S)
                    self.assertIn("v2", engine.versions)

    def test_a_late_placement_is_ignored(self) -> None:
        fleet = make_moving_fleet()
        name = list_loaded(fleet)[0]
        node = fleet.find_node(f"sidecar-{name}")
        fencing = node.world.orders.placement.fencing
        late = PlacementPush(name, ("v1",), (), "counter", fencing)
        node.post_event(Received(Sender("entry-0", "old"), late))
        fleet.run_for(0.1, STEP_S)
        self.assertIn("v2", node.world.orders.placement.versions)
        fleet.run_for(8.0, STEP_S)
        self.assertIn("v2", fleet.engines[name].versions)

    def test_a_restarted_sidecar_receives_its_placement_again(self) -> None:
        fleet = make_moving_fleet()
        name = list_loaded(fleet)[0]
        stored = decode_placement(fleet.platform.rows[PLACEMENTS_TABLE, name])
        fleet.kill_process(f"sidecar-{name}")
        fleet.engines[name].versions.remove("v2")
        fleet.run_for(1.0, STEP_S)
        fleet.add_sidecar(name)
        fleet.run_for(6.0, STEP_S)
        placement = fleet.find_node(f"sidecar-{name}").world.orders.placement
        self.assertGreaterEqual(placement.fencing, stored.fencing)
        self.assertIn("v2", fleet.engines[name].versions)
