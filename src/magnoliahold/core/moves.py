"""Moves, i.e. rollouts to another version: their states, planning and shares."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, evolve, field
from xxhash import xxh64_intdigest

from magnoliahold.wire.messages import MoveRow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliahold.core.peers import Peer
    from magnoliahold.core.policy import MovePolicy
    from magnoliahold.core.workspaces import (
        MoveRule,
        VersionShare,
        WorkRule,
        Workspace,
    )
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.wire.messages import SuspendVersion, WorkspaceRow

MOVES_KEPT = 4
GOLDEN_STEP = 0.6180339887498949
DEFAULT_STAGES = (0.1, 0.25, 0.5, 1.0)


class MoveState(StrEnum):
    """State of a move.

    WAITING until upstreams have loaded the new version, CANARY in the first stage,
    GROWING in later ones, PROBATION while the new version gets almost everything and
    the old one stays loaded. DONE and TAKEN_BACK (rolled back) are final.
    """

    WAITING = "waiting"
    CANARY = "canary"
    GROWING = "growing"
    PROBATION = "probation"
    DONE = "done"
    TAKEN_BACK = "taken_back"


ENDED_STATES = (MoveState.DONE, MoveState.TAKEN_BACK)


@define
class ActiveMove:
    """A move that has not ended.

    `state_since` is when this process learned its state, `due_since` when its next step
    became due.
    """

    workspace: str
    row: MoveRow
    state_since: float
    due_since: float | None = None


@define
class MoveTable:
    """Active moves, suspensions by move, and the positions for picking versions.

    `positions` holds for each work a number from 0 to 1; see `pick_version`.
    `suspended` is never cleared while this process runs, so that no late row undoes a
    suspension. `suspended_at` holds the times of those whose move has not ended.
    """

    active: dict[str, ActiveMove] = field(factory=dict)
    positions: dict[tuple[str, str], float] = field(factory=dict)
    suspended: dict[str, SuspendVersion] = field(factory=dict)
    suspended_at: dict[str, float] = field(factory=dict)


def plan_moves(
    workspace: Workspace, before: tuple[MoveRow, ...], wall_now: float
) -> tuple[MoveRow, ...]:
    """Plans the moves of a newly applied configuration, after the earlier ones."""
    moves = [_carry_over(workspace, move) for move in before]
    for rule in workspace.works.values():
        latest = find_latest_move(moves, rule.name)
        if rule.move is None or (latest and _continues(latest, rule)):
            continue
        moves.append(_begin_move(workspace, rule, rule.move, wall_now))
    return _trim_moves(moves)


def _begin_move(
    workspace: Workspace, rule: WorkRule, move: MoveRule, wall_now: float
) -> MoveRow:
    return MoveRow(
        move=f"{workspace.name}/{rule.name}@{workspace.version}",
        work=rule.name,
        from_version=find_from_version(rule),
        to_version=move.to_version,
        state=MoveState.WAITING,
        stage=0,
        share=0.0,
        began=wall_now,
        deadline=move.deadline,
    )


def _carry_over(workspace: Workspace, move: MoveRow) -> MoveRow:
    """Ends an active move that the new configuration does not contain any more."""
    if move.state in ENDED_STATES:
        return move
    rule = workspace.works.get(move.work)
    if rule is not None and _continues(move, rule) and rule.move is not None:
        return evolve(move, deadline=rule.move.deadline)
    alone = rule is not None and _serves_alone(rule, move.to_version)
    state = MoveState.DONE if alone else MoveState.TAKEN_BACK
    share = 1.0 if alone else 0.0
    reason = f"replaced by version {workspace.version} of the configuration"
    return evolve(move, state=state, share=share, reason=reason)


def _serves_alone(rule: WorkRule, version: str) -> bool:
    return any(item.version == version and item.share == 1 for item in rule.versions)


def _continues(move: MoveRow, rule: WorkRule) -> bool:
    """Tells whether a configuration contains the same move.

    A move that was taken back is tried again only with another deadline.
    """
    if rule.move is None or move.to_version != rule.move.to_version:
        return False
    if move.from_version != find_from_version(rule):
        return False
    taken_back = move.state == MoveState.TAKEN_BACK
    return not taken_back or move.deadline == rule.move.deadline


def _trim_moves(moves: list[MoveRow]) -> tuple[MoveRow, ...]:
    kept: list[MoveRow] = []
    for move in reversed(moves):
        if sum(item.work == move.work for item in kept) < MOVES_KEPT:
            kept.append(move)
    return tuple(reversed(kept))


def find_latest_move(
    moves: list[MoveRow] | tuple[MoveRow, ...], work: str
) -> MoveRow | None:
    """Finds the latest move of a work, or None."""
    for move in reversed(moves):
        if move.work == work:
            return move
    return None


def find_from_version(rule: WorkRule) -> str:
    """Finds the version that serves a work before its move."""
    to_version = rule.move.to_version if rule.move else ""
    others = [item for item in rule.versions if item.version != to_version]
    return max(others, key=lambda item: item.share).version if others else ""


def update_active_moves(world: EntryWorld, row: WorkspaceRow, now: float) -> None:
    """Updates the table of active moves after a row came into force."""
    active = world.moves.active
    for move in row.moves:
        known = active.get(move.move)
        if move.state in ENDED_STATES:
            active.pop(move.move, None)
            world.moves.suspended_at.pop(move.move, None)
        elif known is None or known.row != move:
            active[move.move] = ActiveMove(row.workspace, move, now)
    names = {move.move for move in row.moves}
    for name, item in list(active.items()):
        if item.workspace == row.workspace and name not in names:
            del active[name]


def find_move(world: EntryWorld, workspace: str, work: str) -> MoveRow | None:
    """Finds the move that determines the shares of a work, or None."""
    found = world.workspaces.workspaces.get(workspace)
    if found is None or not found.moves:
        return None
    rule = found.works.get(work)
    move = find_latest_move(found.moves, work)
    if rule is None or rule.move is None or move is None:
        return None
    return move if move.to_version == rule.move.to_version else None


def find_active_move(world: EntryWorld, workspace: str, work: str) -> str:
    """Finds the id of a work's move whose evidence is counted, or an empty string."""
    move = find_move(world, workspace, work)
    return move.move if move is not None and move.state not in ENDED_STATES else ""


def find_shares(
    world: EntryWorld, workspace: str, work: str
) -> tuple[VersionShare, ...]:
    """Finds the versions of a work with their current shares of new requests.

    Until a move has ended, its new version gets nothing while it is suspended or while
    no usable upstream has it loaded; the old version then gets everything.
    """
    rule = world.workspaces.find_work(workspace, work)
    if rule is None:
        return ()
    move = find_move(world, workspace, work)
    if move is None:
        return rule.versions
    share = find_new_share(world, move)
    if move.state not in ENDED_STATES:
        share = _fit_to_loaded(world, rule, move, share)
    shares = {move.from_version: 1.0 - share, move.to_version: share}
    return tuple(
        evolve(item, share=shares.get(item.version, 0.0)) for item in rule.versions
    )


def pick_version(world: EntryWorld, workspace: str, work: str) -> VersionShare | None:
    """Picks a version by share for one new request, or None when none has a share.

    Steps of the golden ratio spread the picks of each version evenly: its part of any
    run of consecutive requests is close to its share, unlike with random picks.
    """
    shares = [item for item in find_shares(world, workspace, work) if item.share > 0]
    if not shares:
        return None
    key = (workspace, work)
    position = world.moves.positions.get(key)
    position = world.random.random() if position is None else position
    position = (position + GOLDEN_STEP) % 1.0
    world.moves.positions[key] = position
    total = sum(item.share for item in shares)
    reached = 0.0
    for item in sorted(shares, key=lambda item: item.share):
        reached += item.share / total
        if position < reached:
            return item
    return shares[0]


def find_new_share(world: EntryWorld, move: MoveRow) -> float:
    """Finds the share of a move's new version by its row and the suspensions."""
    if move.state == MoveState.DONE:
        return 1.0
    return 0.0 if move.move in world.moves.suspended else move.share


def _fit_to_loaded(
    world: EntryWorld, rule: WorkRule, move: MoveRow, share: float
) -> float:
    if 0 < share < 1 and not count_loaded(world, rule, move.to_version)[0]:
        return 0.0
    return share


def count_loaded(world: EntryWorld, rule: WorkRule, version: str) -> tuple[int, int]:
    """Counts the usable upstreams of a version that have it loaded, and all of them."""
    selected = list_candidate_sidecars(world, rule, version)
    loaded = [
        peer for peer in selected if peer.report and version in peer.report.versions
    ]
    return len(loaded), len(selected)


def list_candidate_sidecars(
    world: EntryWorld, rule: WorkRule, version: str
) -> list[Peer]:
    """Lists the usable sidecars whose upstream may serve a version of a work."""
    selectors = {
        name
        for item in rule.versions
        if item.version == version
        for name in item.upstreams
    }
    return [
        peer
        for peer in world.peers.list_by_role("sidecar")
        if peer.usable
        and peer.report is not None
        and (peer.report.name in selectors or peer.report.role in selectors)
    ]


def count_ranked_before(key: str, own: str, others: Iterable[str]) -> int:
    """Counts the entries that rank before `own`: a lower hash of `key` and name."""
    own_rank = _rank(key, own)
    return sum(_rank(key, name) < own_rank for name in others)


def _rank(key: str, name: str) -> int:
    return xxh64_intdigest(f"{key} {name}".encode())


def find_stages(rule: MoveRule) -> tuple[float, ...]:
    """Finds the shares of the stages; the first is within the canary cap."""
    if rule.stages:
        return rule.stages
    later = (share for share in DEFAULT_STAGES if share > rule.canary_cap)
    return (rule.canary_cap, *later)


def find_probation_s(move: MoveRow, rule: MoveRule, policy: MovePolicy) -> float:
    """Computes the length of the probation, so that it ends by the deadline."""
    total_s = move.deadline - move.began
    return min(rule.probation_s, policy.probation_part * total_s)


def find_stage_s(
    move: MoveRow, rule: MoveRule, policy: MovePolicy, wall_now: float
) -> float:
    """Computes the length of the current stage, fitted to the deadline."""
    total_s = move.deadline - move.began
    probation_s = find_probation_s(move, rule, policy)
    reserve_s = policy.reserve_part * total_s
    left_s = move.deadline - probation_s - reserve_s - wall_now
    stages = find_stages(rule)
    stages_left = max(1, len(stages) - 1 - move.stage)
    return max(policy.stage_min_s, left_s / stages_left)
