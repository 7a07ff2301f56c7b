"""Ends open requests that were quarantined after they were admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.serving.systems.completion import refuse
from magnoliahold.core.serving.systems.crashes import has_begun
from magnoliahold.core.serving.systems.quarantine import is_in_force

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.world import ServingWorld

REFUSAL_REASON = "such requests crash upstreams"


def stop_quarantined(world: ServingWorld, now: float) -> None:
    """Ends open requests that are quarantined, unless they have begun."""
    if not world.scan_due or not world.suspicions.quarantines:
        return
    for request in list(world.requests.by_handle.values()):
        attempt = request.attempt
        if attempt is not None and has_begun(world, attempt, now):
            continue
        if is_in_force(world, request.suspects):
            refuse_quarantined(world, request, now)


def refuse_quarantined(world: ServingWorld, request: ServedRequest, now: float) -> None:
    """Refuses a quarantined request."""
    retry_after_s = world.serving_policy.suspicion.retry_after_s
    refuse(world, request, REFUSAL_REASON, now, retry_after_s)
