"""Counts results by version at a sidecar and puts them on its heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.events import StreamBroke, StreamProduced
from magnoliahold.core.evidence import (
    EvidenceKey,
    ResultCounts,
    ResultWindow,
    find_bucket,
)
from magnoliahold.wire.messages import EvidenceCount

if TYPE_CHECKING:
    from magnoliahold.core.streams import Stream
    from magnoliahold.core.worlds import SidecarWorld

ENGINE_FAILURE_REASONS = ("engine_died", "engine_silent")
FAILURE_REASONS = ("broken", *ENGINE_FAILURE_REASONS)
RECENT_CHANGE_S = 1.0
ROTATED_COUNTS_PER_HEARTBEAT = 4


def count_results(world: SidecarWorld, now: float) -> None:
    """Counts the tokens, ends and failures that the engine reports."""
    for produced in world.inbox.read_events(StreamProduced):
        window = world.evidence.windows.get(produced.handle)
        if window is None:
            continue
        _count_tokens(world, window, len(produced.tokens), now)
        if produced.end:
            del world.evidence.windows[produced.handle]
            _count_answer(world, window, now)
    for broken in world.inbox.read_events(StreamBroke):
        window = world.evidence.windows.pop(broken.handle, None)
        if window is not None and broken.reason in FAILURE_REASONS:
            _count_failure(world, window, broken.reason, now)


def _count_tokens(
    world: SidecarWorld, window: ResultWindow, tokens: int, now: float
) -> None:
    if not tokens:
        return
    if not window.latency_recorded:
        window.latency_recorded = True
        if not window.continued:
            _count_latency(world, window, now - window.began_at, now)
        window.began_at = now
        return
    window.tokens += tokens
    if window.tokens >= world.policy.moves.gap_window_tokens and now >= window.due_at:
        _close_window(world, window, now)


def _count_latency(
    world: SidecarWorld, window: ResultWindow, seconds: float, now: float
) -> None:
    tally = _find_tally(world, window.key, now)
    bucket = find_bucket(seconds)
    tally.latencies[bucket] = tally.latencies.get(bucket, 0) + 1


def _close_window(world: SidecarWorld, window: ResultWindow, now: float) -> None:
    gap_s = (now - window.began_at) / window.tokens
    tally = _find_tally(world, window.key, now)
    bucket = find_bucket(gap_s)
    tally.gaps[bucket] = tally.gaps.get(bucket, 0) + 1
    window.began_at = now
    window.tokens = 0
    window.due_at = now + world.policy.moves.gap_interval_s


def _count_answer(world: SidecarWorld, window: ResultWindow, now: float) -> None:
    _find_tally(world, window.key, now).answered += 1


def _count_failure(
    world: SidecarWorld, window: ResultWindow, reason: str, now: float
) -> None:
    """Counts a failure; the death of one engine counts once for each version."""
    if reason in ENGINE_FAILURE_REASONS:
        death = (window.incarnation, window.key.move, window.key.version)
        if death in world.evidence.deaths:
            return
        world.evidence.deaths.add(death)
    _find_tally(world, window.key, now).failed += 1


def count_lost_streams(world: SidecarWorld, now: float) -> None:
    """Counts streams that were lost with an engine that died or went silent."""
    upstream = world.upstream
    for handle, window in list(world.evidence.windows.items()):
        if handle in world.streams.by_handle:
            continue
        if not upstream.ready or upstream.incarnation != window.incarnation:
            del world.evidence.windows[handle]
            _count_failure(world, window, "engine_died", now)


def update_result_windows(world: SidecarWorld, now: float) -> None:
    """Begins to count new streams, and stops counting cancelled ones."""
    windows = world.evidence.windows
    by_handle = world.streams.by_handle
    for handle in [handle for handle in windows if handle not in by_handle]:
        del windows[handle]
    for handle, stream in by_handle.items():
        if handle in windows:
            if stream.paused:
                windows[handle].began_at = now
                windows[handle].tokens = 0
        elif stream.start.move and not stream.end:
            windows[handle] = _make_window(world, stream, now)


def _make_window(world: SidecarWorld, stream: Stream, now: float) -> ResultWindow:
    start = stream.start
    busy = 2 * len(world.streams.by_handle) > world.upstream.capacity
    key = EvidenceKey(start.move, start.version, start.route, busy)
    continued = len(stream.tokens) > 0
    return ResultWindow(key, now, world.upstream.incarnation, continued)


def _find_tally(world: SidecarWorld, key: EvidenceKey, now: float) -> ResultCounts:
    tally = world.evidence.result_counts.get(key)
    if tally is None:
        tally = world.evidence.result_counts[key] = ResultCounts()
    tally.changed_at = now
    return tally


def list_evidence(world: SidecarWorld, now: float) -> tuple[EvidenceCount, ...]:
    """Lists counts for a heartbeat: those changed lately, and a few others in turn."""
    table = world.evidence
    if not table.result_counts:
        return ()
    keys = [
        key
        for key, tally in table.result_counts.items()
        if now - tally.changed_at < RECENT_CHANGE_S
    ]
    known = list(table.result_counts)
    for _ in range(min(ROTATED_COUNTS_PER_HEARTBEAT, len(known))):
        table.rotation_position = (table.rotation_position + 1) % len(known)
        if known[table.rotation_position] not in keys:
            keys.append(known[table.rotation_position])
    return tuple(make_evidence_count(key, table.result_counts[key]) for key in keys)


def make_evidence_count(key: EvidenceKey, tally: ResultCounts) -> EvidenceCount:
    """Makes the message about a tally."""
    return EvidenceCount(
        move=key.move,
        version=key.version,
        route=key.route,
        busy=key.busy,
        answered=tally.answered,
        failed=tally.failed,
        latencies=tuple(sorted(tally.latencies.items())),
        gaps=tuple(sorted(tally.gaps.items())),
    )
