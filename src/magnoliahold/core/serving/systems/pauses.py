"""Detects late ticks and pauses of this process: they must not count as silence."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliahold.core.serving.world import ServingWorld


def detect_pause(world: ServingWorld, now: float) -> None:
    """Records by how much the tick is late; schedules scans.

    What arrived while the tick before took long was read behind it, unless both run in
    one iteration of the clock. Resets all silence timers after a pause of this process.
    """
    before = world.last_tick_at
    read_at = before if world.read_at is None else world.read_at
    world.last_tick_at = now
    world.scan_due = now >= world.next_scan_at
    if world.scan_due:
        world.next_scan_at = now + world.serving_policy.watch.scan_s
    if before is None or read_at is None:
        world.started_at = now
        return
    world.late_s = max(0.0, now - read_at - world.policy.tick_s)
    if world.late_s <= world.serving_policy.watch.pause_s:
        return
    for attempt in world.requests.attempts.values():
        attempt.last_received_at = now
        attempt.upstream.last_received_at = now
    world.log_decision("pause", "Process was paused.", seconds=round(world.late_s, 3))
