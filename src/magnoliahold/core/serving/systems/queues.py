"""Lets streams wait at the entry while the engines of their service have no room.

This holds for services whose routes differ in rank; others send at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric, RecordMetric
from magnoliahold.core.load.shares import count_kept_places, may_take_place
from magnoliahold.core.serving.queues import QueueReport
from magnoliahold.core.serving.systems.loads import count_places, estimate_run_s
from magnoliahold.core.serving.systems.queue_flows import (
    count_ahead,
    expect_flow,
    find_arrivals_per_s,
    find_queue,
    find_served_per_s,
    is_queued,
    list_held,
    list_reports,
    make_waiter,
)

if TYPE_CHECKING:
    from magnoliahold.core.serving.queues import ServiceQueue
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld

MAX_LOGGED_S = 3600.0


def order_waiting(world: ServingWorld, now: float) -> list[ServedRequest]:
    """Returns the waiting requests, those of queues in the order of these."""
    waiting = list(world.requests.waiting.values())
    queued: dict[str, list[ServedRequest]] = {}
    ordered = []
    for request in waiting:
        if is_queued(world, request):
            queued.setdefault(request.service, []).append(request)
        else:
            ordered.append(request)
    for service, requests in queued.items():
        queue = find_queue(world, service)
        waiters = [make_waiter(world, request, now) for request in requests]
        by_handle = world.requests.by_handle
        ordered += [by_handle[item.key] for item in queue.fair.order(waiters, now)]
    return ordered


def filter_by_room(
    world: ServingWorld,
    request: ServedRequest,
    candidates: list[Upstream],
    now: float,
    promised: int = 0,
) -> list[Upstream]:
    """Keeps the upstreams where a request may start now.

    None is left while more urgent work needs the room, or none has any. `promised` of
    the places, wherever they are, count as taken.
    """
    if not is_queued(world, request):
        return candidates
    queue = find_queue(world, request.service)
    places = {item.id: count_places(world, request, item, now) for item in candidates}
    free = sum(places.values()) - promised
    if free <= _count_reserved_places(world, queue, request, free, now):
        return []
    waiting = _count_rivals(world, request)
    if not waiting:
        return [item for item in candidates if places[item.id]]
    own = world.identity.name
    held = [i for i in list_held(world, queue) if i.priority == request.priority]
    waiting[own] = len({item.workspace for item in held})
    time_s = world.read_shared_time()
    return [
        item
        for item in candidates
        if may_take_place(item.id, own, waiting, places[item.id] - promised, time_s)
    ]


def _count_reserved_places(
    world: ServingWorld,
    queue: ServiceQueue,
    request: ServedRequest,
    free: int,
    now: float,
) -> int:
    """Counts the places that are left to more urgent streams of all entries."""
    if queue.fair.is_owed(request.priority):
        return 0
    held = list_held(world, queue)
    waiting = sum(item.priority < request.priority for item in held)
    waiting += sum(
        report.waiting
        for report in list_reports(world, request.service)
        if report.rank < request.priority
    )
    urgent_per_s, _ = find_arrivals_per_s(world, request, now)
    if free > urgent_per_s * estimate_run_s(world, request):
        # Less than one of these places is needed until the next comes free.
        return waiting + bool(urgent_per_s)
    served_per_s = find_served_per_s(world, request, now)
    return waiting + count_kept_places(urgent_per_s, served_per_s)


def _count_rivals(world: ServingWorld, request: ServedRequest) -> dict[str, int]:
    """Counts the workspaces of the same rank that wait at other entries, by entry."""
    return {
        name: report.workspaces
        for name, peer in world.other_entries.by_name.items()
        if peer.notice is not None
        for report in peer.notice.queues
        if report.service == request.service
        and report.rank == request.priority
        and report.waiting
    }


def hold_request(world: ServingWorld, request: ServedRequest, now: float) -> None:
    """Keeps a request in its queue, since it gets no room now."""
    queue = find_queue(world, request.service)
    request.held_at = now
    if request.handle in queue.held:
        return
    queue.held[request.handle] = now
    world.emit(CountMetric("streams_held", 1, {"rank": str(request.priority)}))
    flow = expect_flow(world, request, count_ahead(world, queue, request), now)
    world.log_decision(
        "queue",
        "Stream waits for room.",
        request=request.id,
        rank=request.priority,
        workspace=request.workspace,
        held=len(queue.held),
        ahead=round(flow.urgent + flow.equal, 1),
        served_per_s=round(flow.served_per_s, 2),
        expected_wait_s=round(min(flow.wait_s, MAX_LOGGED_S), 3),
    )


def record_start(world: ServingWorld, request: ServedRequest, now: float) -> None:
    """Charges a start to its queue."""
    if not is_queued(world, request):
        return
    queue = find_queue(world, request.service)
    held_since = queue.held.pop(request.handle, None)
    ranks = [item.priority for item in list_held(world, queue)]
    if ranks or held_since is not None:
        queue.fair.charge(make_waiter(world, request, now), ranks)
    if held_since is not None:
        wait_s = now - held_since
        labels = {"rank": str(request.priority)}
        world.emit(RecordMetric("queue_wait_seconds", wait_s, labels))


def list_queues(world: ServingWorld, now: float) -> tuple[QueueReport, ...]:
    """Lists what waits here and what arrives, for the other entries."""
    reports = []
    for service, queue in world.queues.items():
        held = list_held(world, queue)
        rates = queue.find_reported_rates(now)
        for rank in sorted({*rates, *(item.priority for item in held)}):
            names = [item.workspace for item in held if item.priority == rank]
            per_s = rates.get(rank, 0.0)
            if per_s or names:
                count = len(set(names))
                reports.append(QueueReport(service, rank, len(names), per_s, count))
    return tuple(reports)
