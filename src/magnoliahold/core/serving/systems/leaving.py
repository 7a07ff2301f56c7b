"""Stops an entry gracefully, without aborting requests that it has admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import StopProcess
from magnoliahold.core.events import LeaveRequested
from magnoliahold.core.serving.effects import CloseIdleConnections, CloseListener
from magnoliahold.core.serving.systems.completion import refuse
from magnoliahold.core.serving.systems.peer_notices import remove_own_entry

if TYPE_CHECKING:
    from magnoliahold.core.serving.world import ServingWorld

STOP_REASON = "the entry stops"


def start_leaving(world: ServingWorld, now: float) -> None:
    """Starts leaving; callers are still served while the readiness check fails."""
    for requested in world.inbox.read_events(LeaveRequested):
        if world.leaving_since is None:
            world.leaving_since = now
            world.log_decision(
                "leaving",
                "Entry leaves.",
                reason=requested.reason,
                open_requests=len(world.requests.by_handle),
            )


def finish_leaving(world: ServingWorld, now: float) -> None:
    """Closes the listener after a delay, and stops once all requests have ended.

    Requests that are still being read when it stops are admitted until the limit.
    """
    since = world.leaving_since
    if since is None or not world.scan_due:
        return
    policy = world.serving_policy.leave
    if now - since < policy.accept_s:
        return
    if not world.listener_closed:
        world.listener_closed = True
        world.emit(CloseListener())
    if now >= world.next_sweep_at:
        world.next_sweep_at = now + policy.sweep_s
        world.emit(CloseIdleConnections())
    if now - since >= policy.limit_s:
        for request in list(world.requests.by_handle.values()):
            refuse(world, request, STOP_REASON, now)
    if not world.stopping:
        _stop_when_idle(world, now - since, now)


def _stop_when_idle(world: ServingWorld, leaving_s: float, now: float) -> None:
    """Removes the registration, and stops once that had time to reach the store.

    Until the removal, other entries still receive notices about which upstreams have
    cached the prompts of this one's streams.
    """
    policy = world.serving_policy.leave
    settled = leaving_s >= policy.accept_s + policy.settle_s
    idle = settled and not world.requests.by_handle
    near_limit = leaving_s >= policy.limit_s - policy.farewell_s
    if (idle or near_limit) and world.deregistered_at is None:
        world.deregistered_at = now
        remove_own_entry(world)
    deregistered_at = world.deregistered_at
    if (
        idle
        and deregistered_at is not None
        and now - deregistered_at >= policy.farewell_s
    ):
        world.stopping = True
        world.emit(StopProcess("nothing is in flight"))


def find_unready_reason(world: ServingWorld) -> str:
    """Returns why this entry is not ready for new callers, or an empty string."""
    if world.leaving_since is not None:
        return "leaving"
    if world.configuration is None:
        return "no configuration is known yet"
    if not world.upstreams.loaded:
        return "the upstreams are not known yet"
    age_s = world.measure_proof_age()
    if age_s is None or age_s > world.serving_policy.feeds.ready_age_s:
        return "the configuration may be out of date"
    return ""
