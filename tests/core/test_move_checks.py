"""Tests of the invariant checks of moves."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from magnoliahold.core import move_checks
from magnoliahold.core.generations import GenerationState
from magnoliahold.core.move_checks import find_rollout_violations
from magnoliahold.core.moves import MoveState
from magnoliahold.wire.messages import MoveRow
from tests.core.systems.test_reconnects import make_small_fleet, start_caller

MOVE = MoveRow(
    move="move-1",
    work="listing",
    from_version="v1",
    to_version="v2",
    state=MoveState.CANARY,
    share=0.0,
    stage=0,
    began=0.0,
    deadline=100.0,
)


class StartTests(unittest.TestCase):
    def test_only_new_work_violates_a_suspension(self) -> None:
        cases = {
            (GenerationState.RUNNING, 1.0): True,
            (GenerationState.RUNNING, -1.0): False,
            (GenerationState.TAKING_OVER, 1.0): False,
        }
        for (state, after_s), violated in cases.items():
            with self.subTest(state=state, after_s=after_s):
                fleet = make_small_fleet()
                caller = start_caller(fleet)
                fleet.run_for(0.005)
                world = fleet.find_node(caller.entry).world
                generation = next(iter(world.generations.by_request.values()))
                generation.state = state
                generation.sidecar = "sidecar-draft-0"
                generation.version = "v2"
                generation.started_at = 100.0 + after_s
                generation.tokens.clear()
                world.moves.suspended_at["move-1"] = 100.0
                with patch.object(move_checks, "find_move", return_value=MOVE):
                    found = list(find_rollout_violations(world))
                self.assertEqual(bool(found), violated)
