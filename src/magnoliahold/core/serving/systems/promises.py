"""Counts what waiting requests will take, so that no other request counts on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.systems.loads import count_places, has_ranks
from magnoliahold.core.serving.systems.queue_flows import find_queue, is_queued
from magnoliahold.core.serving.systems.queues import filter_by_room

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld


def can_send_beside_waiting(
    world: ServingWorld, request: ServedRequest, upstreams: list[Upstream], now: float
) -> bool:
    """Tells whether limits let a running request go beside what resumes before it."""
    waiting = sum(
        item.service == request.service and item.send_count > 0
        for item in world.requests.waiting.values()
    )
    return sum(item.count_sendable(now) for item in upstreams) > waiting


def can_start_beside_waiting(
    world: ServingWorld, request: ServedRequest, upstreams: list[Upstream], now: float
) -> bool:
    """Tells whether upstreams can take a running request beside all that waits.

    What waits has lost its upstream, has just arrived, or was taken from its upstream
    in this tick, and relies on the same room and on the same limits.
    """
    waiting = [
        item
        for item in world.requests.waiting.values()
        if item.service == request.service
    ]
    if sum(item.count_sendable(now) for item in upstreams) <= len(waiting):
        return False
    if request.route.kind is not RouteKind.STREAM:
        return True
    if not has_ranks(world, request.service):
        return True
    promised = sum(_goes_before(world, item, request) for item in waiting)
    if is_queued(world, request):
        return bool(filter_by_room(world, request, upstreams, now, promised))
    places = sum(count_places(world, request, item, now) for item in upstreams)
    return places > promised


def _goes_before(
    world: ServingWorld, waiting: ServedRequest, request: ServedRequest
) -> bool:
    """Tells whether a stream that waits gets room before another one would.

    More urgent ones that are held are left out: places are reserved for them anyway.
    """
    if not is_queued(world, waiting):
        return waiting.route.kind is RouteKind.STREAM
    if not is_queued(world, request):
        return False
    queue = find_queue(world, request.service)
    if waiting.handle in queue.held and waiting.priority < request.priority:
        return False
    return waiting.priority <= request.priority or queue.fair.is_owed(waiting.priority)
