"""Counts results by version at a sidecar, to be sent on its heartbeats."""

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
    counts = _find_counts(world, window.key, now)
    bucket = find_bucket(seconds)
    counts.latencies[bucket] = counts.latencies.get(bucket, 0) + 1


def _close_window(world: SidecarWorld, window: ResultWindow, now: float) -> None:
    gap_s = (now - window.began_at) / window.tokens
    counts = _find_counts(world, window.key, now)
    bucket = find_bucket(gap_s)
    counts.gaps[bucket] = counts.gaps.get(bucket, 0) + 1
    window.began_at = now
    window.tokens = 0
    window.due_at = now + world.policy.moves.gap_interval_s


def _count_answer(world: SidecarWorld, window: ResultWindow, now: float) -> None:
    _find_counts(world, window.key, now).answered += 1


def _count_failure(
    world: SidecarWorld, window: ResultWindow, reason: str, now: float
) -> None:
    """Counts a failure; one engine failure counts once for each version."""
    if reason in ENGINE_FAILURE_REASONS:
        failure = (window.incarnation, window.key.move, window.key.version)
        if failure in world.evidence.counted_engine_failures:
            return
        world.evidence.counted_engine_failures.add(failure)
    _find_counts(world, window.key, now).failed += 1


def count_lost_streams(world: SidecarWorld, now: float) -> None:
    """Counts streams that were lost when their engine failed or went silent."""
    upstream = world.upstream
    for handle, window in list(world.evidence.windows.items()):
        if handle in world.streams.by_handle:
            continue
        if not upstream.ready or upstream.incarnation != window.incarnation:
            del world.evidence.windows[handle]
            _count_failure(world, window, "engine_died", now)


def update_result_windows(world: SidecarWorld, now: float) -> None:
    """Opens windows for new streams and removes those of cancelled streams.

    The window of a paused stream is restarted, so that a pause counts as no gap.
    """
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


def _find_counts(world: SidecarWorld, key: EvidenceKey, now: float) -> ResultCounts:
    counts = world.evidence.result_counts.get(key)
    if counts is None:
        counts = world.evidence.result_counts[key] = ResultCounts()
    counts.changed_at = now
    return counts


def list_evidence(world: SidecarWorld, now: float) -> tuple[EvidenceCount, ...]:
    """Lists the counts for a heartbeat: recently changed ones, and others in turn."""
    table = world.evidence
    if not table.result_counts:
        return ()
    keys = [
        key
        for key, counts in table.result_counts.items()
        if now - counts.changed_at < RECENT_CHANGE_S
    ]
    all_keys = list(table.result_counts)
    for _ in range(min(ROTATED_COUNTS_PER_HEARTBEAT, len(all_keys))):
        table.rotation_position = (table.rotation_position + 1) % len(all_keys)
        if all_keys[table.rotation_position] not in keys:
            keys.append(all_keys[table.rotation_position])
    return tuple(make_evidence_count(key, table.result_counts[key]) for key in keys)


def make_evidence_count(key: EvidenceKey, counts: ResultCounts) -> EvidenceCount:
    """Builds the message with the counts of one key."""
    return EvidenceCount(
        move=key.move,
        version=key.version,
        route=key.route,
        busy=key.busy,
        answered=counts.answered,
        failed=counts.failed,
        latencies=tuple(sorted(counts.latencies.items())),
        gaps=tuple(sorted(counts.gaps.items())),
    )
