"""Detects pauses of this process, which must not count as upstream silence."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliahold.core.serving.world import ServingWorld


def detect_pause(world: ServingWorld, now: float) -> None:
    """Resets all silence timers after a pause of this process; schedules scans."""
    before = world.last_tick_at
    world.last_tick_at = now
    world.scan_due = now >= world.next_scan_at
    if world.scan_due:
        world.next_scan_at = now + world.serving_policy.watch.scan_s
    if before is None:
        world.started_at = now
        return
    pause_s = now - before - world.policy.tick_s
    if pause_s <= world.serving_policy.watch.pause_s:
        return
    for attempt in world.requests.attempts.values():
        attempt.last_received_at = now
        attempt.upstream.last_received_at = now
    world.log_decision("pause", "Process was paused.", seconds=round(pause_s, 3))
