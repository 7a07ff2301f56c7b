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
from magnoliahold.core.moves import MoveState, count_ranked_before
from magnoliahold.core.serving.effects import WriteMove
from magnoliahold.core.serving.events import MoveWritten
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.moves import MoveRecord, VersionMove

if TYPE_CHECKING:
    from magnoliahold.core.serving.moves import MoveOrder
    from magnoliahold.core.serving.world import ServingWorld


def apply_order(world: ServingWorld, key: str, order: MoveOrder) -> None:
    """Applies an operator's order unless it, or a newer one, is already known."""
    table = world.moves
    known = table.by_service.get(order.service)
    if known is not None and known.order.row_version >= order.row_version:
        return
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


def remove_order(world: ServingWorld, key: str) -> None:
    """Removes an order that an operator has deleted."""
    service = world.moves.services_by_row_key.pop(key, None)
    move = world.moves.by_service.pop(service, None) if service else None
    if move is not None:
        world.log_decision("moves", "Order removed.", move=move.order.id)


def remove_unlisted_orders(world: ServingWorld, listed: set[str]) -> None:
    """Removes the orders that are missing from a full read."""
    for key in set(world.moves.services_by_row_key) - listed:
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
    move.record_version = row_version
    if record.order == move.order.id:
        move.record = record
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
        if now - move.due_since >= _find_backoff_s(world, move.order.id):
            _write_step(world, move, step, now)


def _handle_move_written(world: ServingWorld, written: MoveWritten, now: float) -> None:
    move = world.moves.find_order(written.record.order)
    if move is not None:
        move.writing = False
        move.next_write_at = now + world.serving_policy.moves.write_retry_s
    if written.row_version:
        apply_move_record(world, written.record, written.row_version)
        world.emit(CountMetric("moves_stepped", 1, {"state": written.record.state}))
        return
    world.log_decision(
        "moves",
        "Move step not written.",
        move=written.record.order,
        state=written.record.state.value,
        reason=written.reason,
    )


def _find_step(world: ServingWorld, move: VersionMove) -> MoveRecord | None:
    """Returns the record after the next step of a move, or None if no step is due."""
    store_time = world.read_store_time()
    if store_time is None or world.feeds[Feed.MOVES].version is None or move.ended:
        return None
    record = move.record
    order = move.order
    if record is None:
        state = MoveState.CANARY
        return MoveRecord(order.service, order.id, order.to_version, state, store_time)
    if move.suspension_reason:
        return _take_back(record, move.suspension_reason)
    left_s = record.began_at + order.over_s - store_time
    if left_s > world.serving_policy.moves.decide_before_s:
        return None
    return _make_final_record(world, move, record)


def _make_final_record(
    world: ServingWorld, move: VersionMove, record: MoveRecord
) -> MoveRecord:
    """Ends a move shortly before its deadline by the evidence so far."""
    analysis = move.analysis
    if analysis.answered < world.serving_policy.moves.answers_to_end:
        return _take_back(record, "too little evidence by the deadline")
    if analysis.suspicion >= world.serving_policy.moves.end_evidence:
        return _take_back(record, "in doubt at the deadline")
    reason = "no worse than the old version"
    return evolve(record, state=MoveState.DONE, reason=reason)


def _take_back(record: MoveRecord, reason: str) -> MoveRecord:
    return evolve(record, state=MoveState.TAKEN_BACK, reason=reason)


def _find_backoff_s(world: ServingWorld, order_id: str) -> float:
    """Returns how long this entry delays a due step, by its rank among the entries."""
    policy = world.serving_policy.moves
    rank = count_ranked_before(
        order_id, world.identity.name, world.other_entries.by_name
    )
    return min(rank * policy.turn_s, policy.turn_max_s)


def _write_step(
    world: ServingWorld, move: VersionMove, step: MoveRecord, now: float
) -> None:
    if move.writing or now < move.next_write_at:
        return
    move.writing = True
    timeout_s = world.serving_policy.moves.write_timeout_s
    world.emit(WriteMove(step, move.record_version, timeout_s))
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
