"""Tests of the invariant checks that a tick runs."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from magnoliahold.core import invariants
from magnoliahold.core.events import Received
from magnoliahold.core.identity import Sender
from magnoliahold.core.invariants import InvariantViolated
from magnoliahold.core.ticks import check_tables
from magnoliahold.wire.messages import StreamTokens
from tests.core.systems.test_reconnects import TOKENS, make_small_fleet, start_caller

CALLERS = 10


class CheckTests(unittest.TestCase):
    def setUp(self) -> None:
        fleet = make_small_fleet()
        fleet.leaving.add("entry-1")
        for _ in range(CALLERS):
            start_caller(fleet)
        fleet.run_for(1.0)
        node = fleet.find_node("entry-0")
        self.world = node.world
        self.now = node.clock.seconds()
        self.generations = list(self.world.generations.by_request.values())
        self.world.checks_all_rows = False
        self.world.next_full_check_at = self.now + 1.0

    def touch(self, number: int) -> None:
        """Adds a message for one generation to the current tick."""
        generation = self.generations[number]
        message = StreamTokens(generation.lineage, generation.attempt, 0, ())
        sender = Sender(generation.sidecar, generation.sidecar_incarnation)
        self.world.inbox.add_event(Received(sender, message))

    def test_only_touched_rows_are_checked_between_full_checks(self) -> None:
        self.assertEqual(len(self.generations), CALLERS)
        name = "_find_generation_violations"
        with patch.object(invariants, name, return_value=()) as check:
            self.touch(0)
            check_tables(self.world, self.now)
            self.assertEqual(check.call_count, 1)
            check_tables(self.world, self.now + 1.0)
            self.assertEqual(check.call_count, 1 + 1 + CALLERS)

    def test_broken_rows_are_found_when_touched_or_in_a_full_check(self) -> None:
        self.generations[0].tokens = ["x"] * (TOKENS + 1)
        check_tables(self.world, self.now)
        with self.assertRaises(InvariantViolated):
            check_tables(self.world, self.now + 1.0)
        self.touch(0)
        with self.assertRaises(InvariantViolated):
            check_tables(self.world, self.now)
