"""Tests of the node that drives a world."""

from __future__ import annotations

import unittest
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.task import Clock

from magnoliahold.core.identity import Identity
from magnoliahold.core.worlds import EntryWorld
from magnoliahold.node import BROKEN_TABLES, Node, Ports

if TYPE_CHECKING:
    from collections.abc import Callable


def raise_key_error(world: Any, now: float) -> None:
    """A system with a defect."""
    raise KeyError("missing row")


def break_invariant(world: Any, now: float) -> None:
    """A system that breaks an invariant."""
    world.breaches.append("a row went back")


class NodeTests(unittest.TestCase):
    def test_broken_tables_stop_the_process(self) -> None:
        systems: dict[str, Callable[[Any, float], None]] = {
            "defect": raise_key_error,
            "invariant": break_invariant,
        }
        for name, system in systems.items():
            with self.subTest(name):
                stops: list[str] = []
                ports: Any = Ports(None, None, None, None, stops.append)  # type: ignore[arg-type]
                identity = Identity("entry-1", "entry-1.a", "entry", "dc-1")
                world = EntryWorld(identity, Random(1))
                node = Node(Clock(), world, (system,), ports)
                with self.assertLogs("magnoliahold.node", "CRITICAL"):
                    node.start_ticks()
                self.assertEqual(stops, [BROKEN_TABLES])
                self.assertFalse(node.running)
