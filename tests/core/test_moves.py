"""Tests of the planning of moves and of the shares that result from their rows."""

from __future__ import annotations

import unittest
from random import Random

from attrs import evolve

from magnoliahold.core.identity import Identity
from magnoliahold.core.moves import (
    MoveState,
    find_shares,
    find_stage_s,
    pick_version,
    plan_moves,
    update_active_moves,
)
from magnoliahold.core.peers import Peer
from magnoliahold.core.policy import MovePolicy
from magnoliahold.core.workspaces import MoveRule, VersionShare, WorkRule, Workspace
from magnoliahold.core.worlds import EntryWorld
from magnoliahold.wire.messages import (
    MoveRow,
    SuspendVersion,
    UpstreamReport,
    WorkspaceRow,
)

RULE = MoveRule("v2", 0.05, 1_000.0)
OLD = VersionShare("v1", 1.0, ("counter",))
NEW = VersionShare("v2", 0.0, ("counter",))
WORK = WorkRule("tickets", True, 0, 60.0, (OLD, NEW), RULE)
MOVE = MoveRow("club/tickets@1", "tickets", "v1", "v2", "canary", 0, 0.05, 0.0, 1_000.0)


def make_workspace(work: WorkRule, *moves: MoveRow, version: int = 1) -> Workspace:
    """Makes a workspace with one work."""
    return Workspace("club", version, version, {"tickets": work}, {}, moves=moves)


def make_world(*moves: MoveRow) -> EntryWorld:
    """Makes an entry with one workspace and one engine that has both versions."""
    world = EntryWorld(Identity("entry-0", "entry-0.1", "entry", "dc-0"), Random(1))
    world.workspaces.workspaces["club"] = make_workspace(WORK, *moves)
    update_active_moves(world, WorkspaceRow("club", 1, 1, b"", moves=moves), 0.0)
    report = UpstreamReport("counter-0", "engine", True, "counter", ("v1", "v2"))
    peer = Peer("sidecar-0", "sidecar", "10.0.0.1", 1, "dc-0", lost=False)
    peer.report = report
    world.peers.peers[peer.name] = peer
    return world


class PlanTests(unittest.TestCase):
    def test_moves_follow_the_applied_template(self) -> None:
        later = evolve(WORK, move=evolve(RULE, deadline=2_000.0))
        alone = (evolve(OLD, share=0.0), evolve(NEW, share=1.0))
        ended = {"state": MoveState.TAKEN_BACK, "share": 0.0, "reason": "slow"}
        taken_back = evolve(MOVE, **ended)
        done = evolve(MOVE, state=MoveState.DONE, share=1.0, reason="good")
        cases = (
            ("a first move begins", WORK, (), ["waiting"]),
            ("an active move continues", WORK, (MOVE,), ["canary"]),
            ("a new deadline is adopted", later, (MOVE,), ["canary"]),
            ("a removed move is taken back", evolve(WORK, move=None), (MOVE,), None),
            (
                "the new version alone means done",
                evolve(WORK, move=None, versions=alone),
                (MOVE,),
                ["done"],
            ),
            ("one taken back is not tried again", WORK, (taken_back,), ["taken_back"]),
            ("a new deadline tries again", later, (taken_back,), None),
            ("one done stays done", WORK, (done,), ["done"]),
        )
        expected = {
            "a removed move is taken back": ["taken_back"],
            "a new deadline tries again": ["taken_back", "waiting"],
        }
        for name, work, before, states in cases:
            with self.subTest(name):
                moves = plan_moves(make_workspace(work, version=2), before, 100.0)
                wanted = states or expected[name]
                self.assertEqual([move.state for move in moves], wanted)
                for move in moves:
                    if move.state in ("done", "taken_back"):
                        self.assertTrue(move.reason)

    def test_stages_are_fitted_to_the_deadline(self) -> None:
        policy = MovePolicy()
        for wall_now, stage, least, most in (
            (0.0, 0, 190.0, 210.0),
            (400.0, 0, 90.0, 110.0),
            (790.0, 3, 1.0, 30.0),
            (990.0, 0, 1.0, 1.0),
        ):
            with self.subTest(wall_now=wall_now, stage=stage):
                row = evolve(MOVE, stage=stage)
                seconds = find_stage_s(row, RULE, policy, wall_now)
                self.assertGreaterEqual(seconds, least)
                self.assertLessEqual(seconds, most)


class ShareTests(unittest.TestCase):
    def find_new_share(self, world: EntryWorld) -> float:
        shares = {
            item.version: item.share for item in find_shares(world, "club", "tickets")
        }
        self.assertAlmostEqual(sum(shares.values()), 1.0)
        return shares["v2"]

    def test_shares_follow_the_row(self) -> None:
        for state, share, wanted in (
            ("waiting", 0.0, 0.0),
            ("canary", 0.05, 0.05),
            ("probation", 0.95, 0.95),
            ("done", 1.0, 1.0),
            ("taken_back", 0.0, 0.0),
        ):
            with self.subTest(state):
                world = make_world(evolve(MOVE, state=state, share=share, reason="r"))
                self.assertEqual(self.find_new_share(world), wanted)

    def test_late_row_does_not_undo_a_suspension(self) -> None:
        world = make_world(MOVE)
        notice = SuspendVersion("club", "tickets", "v2", MOVE.move, "errors")
        world.moves.suspended[MOVE.move] = notice
        self.assertEqual(self.find_new_share(world), 0.0)
        grown = evolve(MOVE, state="growing", stage=3, share=0.5)
        world.workspaces.workspaces["club"] = make_workspace(WORK, grown)
        update_active_moves(world, WorkspaceRow("club", 1, 9, b"", moves=(grown,)), 1.0)
        self.assertEqual(self.find_new_share(world), 0.0)

    def test_version_loaded_on_no_engine_gets_no_requests(self) -> None:
        world = make_world(MOVE)
        peer = world.peers.peers["sidecar-0"]
        assert peer.report is not None
        peer.report = evolve(peer.report, versions=("v1",))
        self.assertEqual(self.find_new_share(world), 0.0)

    def test_every_run_of_requests_matches_the_share(self) -> None:
        for share in (0.02, 0.05, 0.3):
            world = make_world(evolve(MOVE, share=share))
            picks = []
            for _ in range(2_000):
                picked = pick_version(world, "club", "tickets")
                assert picked is not None
                picks.append(picked.version == "v2")
            for first in range(0, 1_900, 50):
                with self.subTest(share=share, first=first):
                    picked_count = sum(picks[first : first + 100])
                    self.assertLessEqual(abs(picked_count - 100 * share), 2.0)
