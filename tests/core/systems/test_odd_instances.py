"""Tests that an odd entry of the instance list ends no process and hides no other."""

from __future__ import annotations

import unittest
from random import Random

from magnoliahold.core.effects import OpenLink
from magnoliahold.core.entry import ENTRY_SYSTEMS
from magnoliahold.core.events import InstancesListed
from magnoliahold.core.identity import Identity
from magnoliahold.core.ticks import run_systems
from magnoliahold.core.worlds import EntryWorld
from magnoliahold.storage.interfaces import Instance

ODD_ADDRESSES = (
    "",
    "10.0.0.1",
    "10.0.0.1:",
    ":7000",
    "10.0.0.1:port",
    "10.0.0.1:-1",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1:७०००",
)
SIDECAR = Instance("sidecar-1", "sidecar", "10.0.0.9:7000", "dc-1")


class OddInstanceTests(unittest.TestCase):
    def run_tick(self, world: EntryWorld, *instances: Instance) -> list[OpenLink]:
        """Runs a tick in which instances are listed; returns the links it opens."""
        world.inbox.add_event(InstancesListed(instances))
        emitted = run_systems(world, ENTRY_SYSTEMS, 1.0)
        return [item for item in emitted if isinstance(item, OpenLink)]

    def test_instance_whose_address_is_odd_is_left_out(self) -> None:
        for address in ODD_ADDRESSES:
            with self.subTest(address[:20]):
                identity = Identity("entry-1", "entry-1.a", "entry", "dc-1")
                world = EntryWorld(identity, Random(1))
                odd = Instance("odd", "sidecar", address, "dc-1")
                links = self.run_tick(world, odd, SIDECAR)
                self.assertEqual([item.peer for item in links], [SIDECAR.name])
                self.assertEqual(set(world.peers.peers), {SIDECAR.name})


if __name__ == "__main__":
    unittest.main()
