"""Compares new versions with old ones by the results of all entries.

A version that is found worse is suspended.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.canary_analysis import Cell, add_cumulative_results
from magnoliahold.core.effects import CountMetric
from magnoliahold.core.evidence import EvidenceKey, ResultCounts, find_bucket
from magnoliahold.core.serving.events import NoticeReceived
from magnoliahold.core.serving.moves import Suspension
from magnoliahold.core.systems.evidence import make_evidence_count
from magnoliahold.core.workspaces import MoveRule

if TYPE_CHECKING:
    from magnoliahold.core.serving.moves import VersionMove
    from magnoliahold.core.serving.peers import LoadNotice
    from magnoliahold.core.serving.requests import Attempt
    from magnoliahold.core.serving.world import ServingWorld
    from magnoliahold.wire.messages import EvidenceCount

# A mean gap over fewer pieces is too imprecise.
MIN_PIECES_FOR_GAPS = 4


def count_result(
    world: ServingWorld, attempt: Attempt, failed: bool, upstream_lost: bool = False
) -> None:
    """Counts an answer or a failure for the move of the request's service.

    With `upstream_lost`, the loss of the upstream counts as one failure, however many
    attempts it interrupts.
    """
    move = world.moves.by_service.get(attempt.request.service)
    if move is None or move.ended:
        return
    record = attempt.upstream.record
    incarnation = (record.id, record.born_ms)
    if upstream_lost and incarnation in move.counted_losses:
        return
    if upstream_lost:
        move.counted_losses.add(incarnation)
    counts = _find_result_counts(move, attempt)
    if failed:
        counts.failed += 1
    else:
        counts.answered += 1
        _count_piece_gaps(counts, attempt)


def _count_piece_gaps(counts: ResultCounts, attempt: Attempt) -> None:
    first, last = attempt.first_piece_at, attempt.last_piece_at
    if first is None or last is None or attempt.pieces < MIN_PIECES_FOR_GAPS:
        return
    read_s = last - first - attempt.paused_s
    bucket = find_bucket(read_s / (attempt.pieces - 1))
    counts.gaps[bucket] = counts.gaps.get(bucket, 0) + 1


def count_latency(world: ServingWorld, attempt: Attempt, seconds: float) -> None:
    """Counts the latency of an answer or of the first piece of a stream."""
    move = world.moves.by_service.get(attempt.request.service)
    if move is None or move.ended or attempt.resumed_from is not None:
        return
    counts = _find_result_counts(move, attempt)
    bucket = find_bucket(seconds)
    counts.latencies[bucket] = counts.latencies.get(bucket, 0) + 1


def _find_result_counts(move: VersionMove, attempt: Attempt) -> ResultCounts:
    version = attempt.upstream.record.version
    key = EvidenceKey(move.order.id, version, attempt.request.route.name, False)
    return move.result_counts.setdefault(key, ResultCounts())


def evaluate_versions(world: ServingWorld, now: float) -> None:
    """Adds the results of all entries and suspends versions found to be worse."""
    for received in world.inbox.read_events(NoticeReceived):
        _apply_notice(world, received.notice, now)
    if not world.scan_due:
        return
    for move in world.moves.by_service.values():
        if move.ended:
            continue
        own_counts = tuple(
            make_evidence_count(key, counts)
            for key, counts in move.result_counts.items()
        )
        identity = world.identity
        _add_counts(world, move, identity.name, identity.incarnation, own_counts, now)
        if _is_due_to_end(world, move):
            move.analysis.evaluate_pending(_make_rule(move), world.policy.moves)
        else:
            move.analysis.close_window(now, _make_rule(move), world.policy.moves)
        if move.analysis.rejection_reason:
            suspend_version(world, move, move.analysis.rejection_reason)


def _is_due_to_end(world: ServingWorld, move: VersionMove) -> bool:
    store_time = world.read_store_time()
    if store_time is None:
        return False
    return move.find_left_s(store_time) <= world.serving_policy.moves.decide_before_s


def _apply_notice(world: ServingWorld, notice: LoadNotice, now: float) -> None:
    for exposure in notice.exposures:
        move = world.moves.find_order(exposure.order)
        if move is not None:
            move.peer_exposures[notice.incarnation] = exposure
    for suspension in notice.suspensions:
        move = world.moves.find_order(suspension.order)
        if move is not None:
            suspend_version(world, move, suspension.reason)
    for move in world.moves.by_service.values():
        counts = tuple(
            count for count in notice.evidence if count.move == move.order.id
        )
        if counts and not move.ended:
            _add_counts(world, move, notice.sender, notice.incarnation, counts, now)


def _add_counts(
    world: ServingWorld,
    move: VersionMove,
    name: str,
    incarnation: str,
    counts: tuple[EvidenceCount, ...],
    now: float,
) -> None:
    """Adds result counts, those of the old version first, as they are the baseline."""
    new_version = move.order.to_version
    for count in sorted(counts, key=lambda item: item.version == new_version):
        add_cumulative_results(
            move.analysis,
            (name, incarnation),
            Cell(name, count.route, count.busy, compared_by_route=True),
            count,
            count.version == new_version,
            _make_rule(move),
            world.policy.moves,
            now,
        )


def _make_rule(move: VersionMove) -> MoveRule:
    return MoveRule(move.order.to_version, canary_cap=0.0, deadline=0.0)


def suspend_version(world: ServingWorld, move: VersionMove, reason: str) -> None:
    """Stops sending to a move's new version, and notifies the other entries at once."""
    if move.suspension_reason or move.ended:
        return
    move.suspension_reason = reason
    world.other_entries.send_now = True
    world.emit(CountMetric("versions_suspended"))
    world.log_decision(
        "moves",
        "Version suspended.",
        move=move.order.id,
        version=move.order.to_version,
        reason=reason,
        answered=move.analysis.answered,
        failed=move.analysis.failed,
    )


def list_evidence(world: ServingWorld) -> tuple[EvidenceCount, ...]:
    """Lists this entry's result counts of the moves in progress, for its notices."""
    return tuple(
        make_evidence_count(key, counts)
        for move in world.moves.by_service.values()
        if not move.ended
        for key, counts in move.result_counts.items()
    )


def list_suspensions(world: ServingWorld) -> tuple[Suspension, ...]:
    """Lists the versions that are suspended at this entry, for its notices."""
    return tuple(
        Suspension(move.order.id, move.suspension_reason)
        for move in world.moves.by_service.values()
        if move.suspension_reason and not move.ended
    )
