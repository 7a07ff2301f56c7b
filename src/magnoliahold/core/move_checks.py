"""Invariant checks of an entry's workspace rows and moves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.generations import GenerationState
from magnoliahold.core.moves import ENDED_STATES, MoveState, find_move, find_new_share

if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliahold.core.moves import ActiveMove
    from magnoliahold.core.workspaces import WorkspaceTable
    from magnoliahold.core.worlds import EntryWorld

SHARE_TOLERANCE = 1e-9


def find_rollout_violations(world: EntryWorld) -> Iterator[str]:
    """Yields a message for each failed check of moves."""
    for active in world.moves.active.values():
        yield from _find_share_violations(world, active)
    if world.moves.suspended_at:
        yield from _find_start_violations(world)


def find_row_violations(table: WorkspaceTable) -> Iterator[str]:
    """Checks rows of this tick: versions never decrease, ended moves have a reason."""
    for name in table.changed_in_tick:
        row = table.rows[name]
        change, version = table.highest_seen[name]
        if row.change < change or row.version < version:
            yield f"{name}: went back from change {change} to {row.change}"
        for move in row.moves:
            if move.state in ENDED_STATES and not move.reason:
                yield f"{move.move}: ended without a reason"


def _find_share_violations(world: EntryWorld, active: ActiveMove) -> Iterator[str]:
    row = active.row
    share = find_new_share(world, row)
    if share > row.share:
        yield f"{row.move}: gets more than the share in its row"
    if row.move in world.moves.suspended and share:
        yield f"{row.move}: has a share although it is suspended"
    rule = world.workspaces.find_work(active.workspace, row.work)
    if row.state != MoveState.CANARY or rule is None or rule.move is None:
        return
    if row.share > rule.move.canary_cap + SHARE_TOLERANCE:
        yield f"{row.move}: its canary is above the cap"


def _find_start_violations(world: EntryWorld) -> Iterator[str]:
    """Checks that no new work was started on a version after its suspension.

    A stream that is being taken over was started earlier and is no new work.
    """
    for generation in world.generations.by_request.values():
        running = generation.state is GenerationState.RUNNING
        if generation.tokens or not running:
            continue
        move = find_move(world, *generation.key)
        if move is None or move.state in ENDED_STATES:
            continue
        suspended_at = world.moves.suspended_at.get(move.move)
        if suspended_at is None or generation.version != move.to_version:
            continue
        if generation.started_at > suspended_at:
            name = generation.request.request_id
            yield f"{name}: started on a suspended version"
