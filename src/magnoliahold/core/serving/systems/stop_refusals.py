"""Refuses requests that could not end before this entry stops."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.systems.completion import refuse

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.world import ServingWorld

# So many durations are needed before the longest of them tells how long one may be.
MIN_DURATIONS = 100
STREAM_REASON = "the entry stops before the stream could end"
REQUEST_REASON = "the entry stops before the request could end"


def find_stop_rejection(world: ServingWorld, request: ServedRequest, now: float) -> str:
    """Returns why a request can't end before this entry stops, or an empty string."""
    since = world.leaving_since
    if since is None:
        return ""
    policy = world.serving_policy.leave
    left_s = since + policy.limit_s - policy.farewell_s - now
    needed_s = min(request.deadline_at - now, _estimate_needed_s(world, request, since))
    if needed_s < left_s:
        return ""
    return STREAM_REASON if request.route.kind is RouteKind.STREAM else REQUEST_REASON


def _estimate_needed_s(
    world: ServingWorld, request: ServedRequest, since: float
) -> float:
    """Estimates the seconds that a request takes, with a margin.

    What arrives after the listener was closed comes on an old connection, and its
    caller reaches another entry with the next one: only what rarely takes longer is
    taken. A few durations don't tell that, since the long ones end last.
    """
    policy = world.serving_policy.leave
    durations = world.durations.find(request.service, request.route.kind)
    count = durations.count if durations is not None else 0
    is_late = request.arrived_at - since >= policy.accept_s
    is_repeatable = request.route.kind is RouteKind.IDEMPOTENT
    if is_late and not is_repeatable and count < MIN_DURATIONS:
        return math.inf
    if durations is None:
        expected_s = request.route.goal_s
    else:
        expected_s = durations.longest_s if is_late else durations.mean_s
    return expected_s * policy.stream_margin


def refuse_before_stop(world: ServingWorld, now: float) -> None:
    """Refuses what waits for an upstream and could be cut there by the stop.

    A request that may have run is sent again all the same: it can't be refused as one
    that has not run, and may still succeed.
    """
    if world.leaving_since is None:
        return
    for request in list(world.requests.waiting.values()):
        if request.may_have_run or request.answer_started:
            continue
        reason = find_stop_rejection(world, request, now)
        if reason:
            refuse(world, request, reason, now)
