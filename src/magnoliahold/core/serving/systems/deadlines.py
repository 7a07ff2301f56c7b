"""Refuses requests that ran out of time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from magnoliahold.core.serving.systems.completion import refuse

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.world import ServingWorld


def refuse_overdue_requests(world: ServingWorld, now: float) -> None:
    """Refuses requests past their deadline.

    After a late tick, the answer of one that runs may only have to be read.
    """
    if not world.scan_due:
        return
    read_until = world.find_read_until(now)
    for request in list(world.requests.by_handle.values()):
        ends_at = now if request.attempt is None else read_until
        if ends_at >= request.deadline_at:
            duration_s = now - request.arrived_at
            world.durations.add(request.service, request.route.kind, duration_s)
            refuse(world, request, "the deadline has passed", now)


def refuse_stranded_requests(world: ServingWorld, now: float) -> None:
    """Refuses requests that have waited too long for a usable upstream.

    Routing has looked for one in this tick, and after a late tick does so once more.
    """
    if not world.scan_due:
        return
    read_until = world.find_read_until(now)
    for request in list(world.requests.waiting.values()):
        since = max(request.last_failure_at or request.arrived_at, request.held_at)
        if read_until - since >= find_wait_limit_s(world, request):
            reason = request.failure_reason or "no upstream is usable"
            refuse(world, request, reason, now)


def find_wait_limit_s(world: ServingWorld, request: ServedRequest) -> float:
    """Returns how long a request may wait for a usable upstream, in seconds.

    One that left a lost upstream waits until its deadline, as it would have there.
    """
    if request.left_lost_upstream:
        return math.inf
    policy = world.serving_policy.attempts
    if request.answer_started:
        return policy.hold_stream_s
    return request.route.goal_s * policy.hold_share
