"""Keeps the pauses that slow callers cause from counting as silence of upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.serving.events import ReadingChanged

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import Attempt
    from magnoliahold.core.serving.world import ServingWorld


def apply_back_pressure(world: ServingWorld, now: float) -> None:
    """Records which streams are not being read, and for how long they were not."""
    for changed in world.inbox.read_events(ReadingChanged):
        attempt = world.requests.attempts.get(changed.attempt)
        if attempt is None:
            continue
        if changed.paused:
            attempt.paused_at = now
        else:
            _resume(attempt, now)


def _resume(attempt: Attempt, now: float) -> None:
    """Restarts the silence timer and the gap between pieces."""
    if attempt.paused_at is None:
        return
    attempt.paused_s += now - attempt.paused_at
    attempt.paused_at = None
    attempt.last_received_at = now
    attempt.last_piece_at = now
