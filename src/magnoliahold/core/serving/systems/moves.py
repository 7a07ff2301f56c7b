"""Moves services to other versions, step by step, by compare-and-set in the store.

Any entry may write a due step. Each waits in proportion to its rank in the order of a
hash, so that two entries rarely write the same step. An entry whose analysis finds the
new version worse stops sending to it at once and notifies the others; the record in the
store is written afterwards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.moves import MoveState
from magnoliahold.core.serving.effects import WriteMove
from magnoliahold.core.serving.events import MoveWritten
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.moves import MoveRecord, VersionMove
from magnoliahold.core.serving.systems.turns import find_turn_s

if TYPE_CHECKING:
    from magnoliahold.core.serving.moves import MoveOrder
    from magnoliahold.core.serving.world import ServingWorld


def apply_order(world: ServingWorld, key: str, order: MoveOrder) -> None:
    """Applies an operator's order unless it, or a newer one, is already known.

    After a restore the versions of rows don't tell which order is newer. The known one
    then stays until it is listed again or one appears that was never seen.
    """
    table = world.moves
    known = table.by_service.get(order.service)
    if known is not None and known.listed:
        if known.order.row_version >= order.row_version:
            return
    elif known is not None and known.order.has_same_content(order):
        known.renew_order(order)
        return
    elif order in table.past_orders:
        world.log_decision("moves", "Old order is not run again.", move=order.id)
        return
    if known is not None:
        table.past_orders.append(known.order)
    table.services_by_row_key[key] = order.service
    move = VersionMove(order)
    table.by_service[order.service] = move
    if order.service in table.records:
        _set_record(move, *table.records[order.service])
    world.log_decision(
        "moves",
        "Move ordered.",
        move=order.id,
        version=order.to_version,
        over_s=order.over_s,
    )


def forget_row_versions(world: ServingWorld) -> None:
    """Forgets the versions of all rows about moves after a restore of the store."""
    world.moves.records.clear()
    for move in world.moves.by_service.values():
        move.listed = False
        move.record_version = 0
        move.due_since = None


def submit_unlisted_records(world: ServingWorld) -> None:
    """Has the records written again that a full read of a restored store lacks."""
    for move in world.moves.by_service.values():
        if move.record is not None and move.order.service not in world.moves.records:
            move.needs_rewrite = True


def remove_order(world: ServingWorld, key: str) -> None:
    """Removes an order that an operator has deleted."""
    service = world.moves.services_by_row_key.pop(key, None)
    move = world.moves.by_service.pop(service, None) if service else None
    if move is not None:
        world.moves.past_orders.append(move.order)
        world.log_decision("moves", "Order removed.", move=move.order.id)


def remove_unlisted_orders(world: ServingWorld, listed: set[str]) -> None:
    """Removes the orders that are missing from a full read.

    Those that were not listed since a restore stay: operators write them again.
    """
    for key in set(world.moves.services_by_row_key) - listed:
        move = world.moves.by_service.get(world.moves.services_by_row_key[key])
        if move is None or move.listed:
            remove_order(world, key)


def apply_move_record(
    world: ServingWorld, record: MoveRecord, row_version: int
) -> None:
    """Applies a move's record from the store unless it, or a newer one, is known."""
    table = world.moves
    known = table.records.get(record.service)
    if known is not None and known[1] >= row_version:
        return
    table.records[record.service] = (record, row_version)
    move = table.by_service.get(record.service)
    if move is not None:
        _set_record(move, record, row_version)
    world.log_decision(
        "moves",
        "Move is " + record.state.value + ".",
        move=record.order,
        version=record.to_version,
        reason=record.reason,
        row_version=row_version,
    )


def _set_record(move: VersionMove, record: MoveRecord, row_version: int) -> None:
    """Sets the stored record of a move, unless the known one is ahead of it."""
    move.record_version = row_version
    if not move.matches(record):
        return
    ahead = move.record is not None and move.record.is_ahead_of(record)
    move.needs_rewrite = ahead or record.order != move.order.id
    if not ahead:
        move.record = evolve(record, order=move.order.id)
    move.due_since = None


def advance_moves(world: ServingWorld, now: float) -> None:
    """Writes the due step of each move, after a delay by this entry's rank."""
    for written in world.inbox.read_events(MoveWritten):
        _handle_move_written(world, written, now)
    if not world.scan_due:
        return
    for move in world.moves.by_service.values():
        step = _find_step(world, move)
        if step is None:
            move.due_since = None
            continue
        if move.due_since is None:
            move.due_since = now
        if now - move.due_since >= find_turn_s(world, move.order.id):
            _write_step(world, move, step, now)


def _handle_move_written(world: ServingWorld, written: MoveWritten, now: float) -> None:
    move = world.moves.find_order(written.record.order)
    if move is not None:
        move.writing = False
        move.next_write_at = now + world.serving_policy.moves.write_retry_s
    undecided = world.store_epoch.is_outdated(written.epoch)
    if written.row_version and not undecided:
        apply_move_record(world, written.record, written.row_version)
        world.emit(CountMetric("moves_stepped", 1, {"state": written.record.state}))
        return
    world.log_decision(
        "moves",
        "Move step not written.",
        move=written.record.order,
        state=written.record.state.value,
        reason=written.reason or "the store was restored meanwhile",
    )


def _find_step(world: ServingWorld, move: VersionMove) -> MoveRecord | None:
    """Returns the record after the next step of a move, or None if no step is due."""
    store_time = world.read_store_time()
    if store_time is None or world.feeds[Feed.MOVES].version is None:
        return None
    record = move.record
    order = move.order
    if not move.listed:
        return None
    if move.needs_rewrite:
        return record
    if move.ended or _is_settling(world):
        return None
    if record is None:
        state = MoveState.CANARY
        return MoveRecord(
            order.service,
            order.id,
            order.to_version,
            state,
            store_time,
            epoch=_read_epoch(world),
        )
    if move.suspension_reason:
        return _take_back(world, record, move.suspension_reason)
    if move.find_left_s(store_time) > world.serving_policy.moves.decide_before_s:
        return None
    return _make_final_record(world, move, record)


def _make_final_record(
    world: ServingWorld, move: VersionMove, record: MoveRecord
) -> MoveRecord:
    """Ends a move shortly before its deadline by the evidence so far."""
    analysis = move.analysis
    policy = world.serving_policy.moves
    if analysis.answered < policy.answers_to_end:
        return _take_back(world, record, "too little evidence by the deadline")
    if analysis.is_in_doubt(policy.doubt_limits):
        return _take_back(world, record, "in doubt at the deadline")
    reason = "no worse than the old version"
    epoch = _read_epoch(world)
    return evolve(record, state=MoveState.DONE, reason=reason, epoch=epoch)


def _take_back(world: ServingWorld, record: MoveRecord, reason: str) -> MoveRecord:
    epoch = _read_epoch(world)
    return evolve(record, state=MoveState.TAKEN_BACK, reason=reason, epoch=epoch)


def _read_epoch(world: ServingWorld) -> int:
    return world.store_epoch.number or 0


def _is_settling(world: ServingWorld) -> bool:
    """Tells whether an entry that knows more may still write its record again."""
    grace_s = world.serving_policy.feeds.restore_grace_s
    now = world.last_tick_at or 0.0
    return world.store_epoch.is_settling(now, grace_s)


def _write_step(
    world: ServingWorld, move: VersionMove, step: MoveRecord, now: float
) -> None:
    if move.writing or now < move.next_write_at:
        return
    move.writing = True
    timeout_s = world.serving_policy.moves.write_timeout_s
    epoch = world.store_epoch.number
    world.emit(WriteMove(step, move.record_version, timeout_s, epoch))
    world.log_decision(
        "moves",
        "Move step submitted.",
        move=move.order.id,
        state=step.state.value,
        reason=step.reason,
        answered=move.analysis.answered,
        failed=move.analysis.failed,
        suspicion=round(move.analysis.suspicion, 2),
        expected_version=move.record_version,
    )
