"""Tests of a node's handling of failed ticks and effects."""

from __future__ import annotations

import unittest
from random import Random
from typing import TYPE_CHECKING, Any
from unittest.mock import Mock

from twisted.internet.task import Clock

from magnoliahold.core.effects import RefuseRequest
from magnoliahold.core.identity import Identity
from magnoliahold.core.ticks import contain_errors
from magnoliahold.core.worlds import EntryWorld
from magnoliahold.entry import performers
from magnoliahold.node import BROKEN_TABLES, Node, Ports

if TYPE_CHECKING:
    from collections.abc import Callable


assert performers, "registers the effects of entries"


def raise_key_error(world: Any, now: float) -> None:
    """A system that raises an exception."""
    raise KeyError("missing row")


def break_invariant(world: Any, now: float) -> None:
    """A system that reports a violated invariant."""
    world.reported_violations.append("a row went back")


def emit_two_refusals(world: Any, now: float) -> None:
    """A system that refuses two requests."""
    for name in ("request-1", "request-2"):
        world.emit(RefuseRequest(name, 503, "overloaded", "come back later"))


class FailingCallers:
    """A caller port that fails for `request-1`."""

    def __init__(self) -> None:
        self.refused: list[str] = []

    def refuse_request(self, effect: RefuseRequest) -> None:
        """Raises for `request-1` and records the others."""
        if effect.request_id == "request-1":
            raise OSError("connection lost")
        self.refused.append(effect.request_id)


class NodeTests(unittest.TestCase):
    def test_failed_tick_stops_the_process(self) -> None:
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

    def test_contained_error_is_logged_and_the_process_goes_on(self) -> None:
        resets: list[Any] = []
        journal = Mock()
        ports: Any = Ports(None, None, None, journal, print)  # type: ignore[arg-type]
        world = EntryWorld(Identity("entry-1", "entry-1.a", "entry", "dc-1"), Random(1))
        system = contain_errors(raise_key_error, resets.append)
        node = Node(Clock(), world, (system,), ports)
        with self.assertLogs("magnoliahold.node", "CRITICAL") as logs:
            node.start_ticks()
        self.assertIn("raise_key_error", logs.output[0])
        self.assertIn("missing row", logs.output[0])
        self.assertEqual(resets, [world])
        (metric,) = journal.count_metric.call_args.args
        self.assertEqual(
            (metric.name, metric.labels),
            ("systems_failed", {"system": "raise_key_error"}),
        )
        self.assertTrue(node.running)

    def test_failed_effect_does_not_prevent_the_others(self) -> None:
        callers = FailingCallers()
        ports: Any = Ports(None, None, None, None, print, callers=callers)  # type: ignore[arg-type]
        world = EntryWorld(Identity("entry-1", "entry-1.a", "entry", "dc-1"), Random(1))
        node = Node(Clock(), world, (emit_two_refusals,), ports)
        with self.assertLogs("magnoliahold.node", "ERROR"):
            node.start_ticks()
        self.assertEqual(callers.refused, ["request-2"])
        self.assertEqual(node.failed_effects, 1)
        self.assertTrue(node.running)
