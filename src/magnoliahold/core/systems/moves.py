"""Advances moves, i.e. staged rollouts, by compare-and-set on their rows."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.configuration import MoveStep
from magnoliahold.core.moves import (
    MoveState,
    count_loaded,
    count_ranked_before,
    find_probation_s,
    find_stage_s,
    find_stages,
)
from magnoliahold.core.systems.configuration import queue_move_step

if TYPE_CHECKING:
    from magnoliahold.core.moves import ActiveMove
    from magnoliahold.core.workspaces import MoveRule, WorkRule
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.wire.messages import MoveRow


def advance_moves(world: EntryWorld, now: float) -> None:
    """Queues the next step of each move that is due.

    Each entry waits by its rank for the move, so that usually the first one acts alone.
    """
    for active in list(world.moves.active.values()):
        rule = world.workspaces.find_work(active.workspace, active.row.work)
        if rule is None or rule.move is None:
            continue
        next_row = compute_next_row(world, active, rule, rule.move, now)
        if next_row is None:
            active.due_since = None
            continue
        if active.due_since is None:
            active.due_since = now
        if now - active.due_since >= compute_staggered_delay_s(world, active.row.move):
            step = MoveStep(active.row, next_row)
            queue_move_step(world, active.workspace, step, now)


def compute_staggered_delay_s(world: EntryWorld, key: str) -> float:
    """Computes how long this entry waits for the entries that rank before it."""
    names = [
        peer.name
        for peer in world.peers.list_by_role("entry")
        if not peer.lost and not peer.leaving
    ]
    policy = world.policy.moves
    rank = count_ranked_before(key, world.identity.name, names)
    return min(rank * policy.step_in_s, policy.step_in_max_s)


def compute_next_row(
    world: EntryWorld, active: ActiveMove, rule: WorkRule, move: MoveRule, now: float
) -> MoveRow | None:
    """Computes the row after the next step of a move, or None when no step is due."""
    row = active.row
    suspended = world.moves.suspended.get(row.move)
    if suspended is not None:
        return _take_back(row, suspended.reason)
    wall_now = world.wall_clock(now)
    margin_s = world.policy.moves.end_margin * (row.deadline - row.began)
    if wall_now >= row.deadline - margin_s:
        return _end_at_deadline(world, row)
    if row.state == MoveState.PROBATION:
        return _end_probation(world, active, move, now)
    stages = find_stages(move)
    if row.state == MoveState.WAITING:
        ready = _has_enough_upstreams(world, rule, stages[0])
        return _enter_stage(world, row, stages, 0) if ready else None
    stage_s = find_stage_s(row, move, world.policy.moves, wall_now)
    if now - active.state_since < stage_s or not _passes_analysis(world, row):
        return None
    next_stage = row.stage + 1
    if not _has_enough_upstreams(world, rule, stages[next_stage]):
        return None
    return _enter_stage(world, row, stages, next_stage)


def _enter_stage(
    world: EntryWorld, row: MoveRow, stages: tuple[float, ...], stage: int
) -> MoveRow:
    share = stages[stage]
    state = MoveState.CANARY if stage == 0 else MoveState.GROWING
    if share >= 1:
        state = MoveState.PROBATION
        share = 1.0 - world.policy.moves.control_share
    return evolve(row, state=state, stage=stage, share=share)


def _take_back(row: MoveRow, reason: str) -> MoveRow:
    return evolve(row, state=MoveState.TAKEN_BACK, share=0.0, reason=reason)


def _end_at_deadline(world: EntryWorld, row: MoveRow) -> MoveRow:
    if row.state == MoveState.PROBATION and _passes_analysis(world, row):
        return _finish(row)
    if row.state == MoveState.WAITING:
        return _take_back(row, "the new version was not loaded by the deadline")
    return _take_back(row, "too little evidence by the deadline")


def _end_probation(
    world: EntryWorld, active: ActiveMove, move: MoveRule, now: float
) -> MoveRow | None:
    probation_s = find_probation_s(active.row, move, world.policy.moves)
    if now - active.state_since < probation_s or not _passes_analysis(
        world, active.row
    ):
        return None
    return _finish(active.row)


def _finish(row: MoveRow) -> MoveRow:
    reason = "no worse than the old version through all stages and the probation"
    return evolve(row, state=MoveState.DONE, share=1.0, reason=reason)


def _passes_analysis(world: EntryWorld, row: MoveRow) -> bool:
    """Returns whether there is enough evidence, and little against the new version."""
    policy = world.policy.moves
    if policy.plain_failures:
        return True
    analysis = world.canary_analyses.get(row.move)
    if analysis is None:
        return False
    enough = policy.answered_in_canary + policy.answered_per_stage * row.stage
    unsuspected = analysis.suspicion < policy.doubt_evidence
    covered = analysis.covers_routes(policy)
    return analysis.answered >= enough and unsuspected and covered


def _has_enough_upstreams(world: EntryWorld, rule: WorkRule, share: float) -> bool:
    """Returns whether enough upstreams have loaded the new version for a share."""
    if rule.move is None:
        return False
    loaded, selected = count_loaded(world, rule, rule.move.to_version)
    return loaded > 0 and loaded >= ceil(share * selected)
