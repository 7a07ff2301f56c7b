"""What a stream meets that waits for room: who goes first, and how fast."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.load.queues import Waiter
from magnoliahold.core.load.waits import ExpectedFlow, estimate_equal_ahead
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.queues import ServiceQueue
from magnoliahold.core.serving.systems.loads import (
    count_places,
    count_total_load,
    estimate_opening_s,
    estimate_run_s,
    has_ranks,
)
from magnoliahold.core.serving.systems.selection import (
    filter_by_health,
    list_available,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliahold.core.serving.queues import QueueReport
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld


def is_queued(world: ServingWorld, request: ServedRequest) -> bool:
    """Tells whether a request waits at the entry for room; streams that began don't."""
    if request.route.kind is not RouteKind.STREAM or request.answer_started:
        return False
    return has_ranks(world, request.service)


def find_queue(world: ServingWorld, service: str) -> ServiceQueue:
    """Returns the queue of a service; creates it if there is none."""
    return world.queues.setdefault(service, ServiceQueue())


def list_held(world: ServingWorld, queue: ServiceQueue) -> list[ServedRequest]:
    """Lists the requests that wait for room in a queue."""
    waiting = world.requests.waiting
    return [waiting[handle] for handle in queue.held if handle in waiting]


def make_waiter(world: ServingWorld, request: ServedRequest, now: float) -> Waiter:
    """Describes a request to its queue."""
    opening_s = estimate_opening_s(world, request)
    run_s = estimate_run_s(world, request)
    return Waiter(
        key=request.handle,
        rank=request.priority,
        workspace=request.workspace,
        tokens=max(1, request.prompt_tokens),
        on_time_until=request.arrived_at + request.route.goal_s - opening_s,
        start_by=request.deadline_at - run_s,
    )


def list_reports(world: ServingWorld, service: str) -> Iterable[QueueReport]:
    """Lists what the other entries have told last about their queues of a service."""
    for peer in world.other_entries.by_name.values():
        if peer.notice is not None:
            for report in peer.notice.queues:
                if report.service == service:
                    yield report


def count_ahead(
    world: ServingWorld, queue: ServiceQueue, request: ServedRequest
) -> tuple[float, float]:
    """Estimates how many more urgent and equal streams go before an arrival.

    They wait at all entries.
    """
    held = list_held(world, queue)
    reports = list(list_reports(world, request.service))
    urgent = sum(item.priority < request.priority for item in held)
    urgent += sum(item.waiting for item in reports if item.rank < request.priority)
    equal = [item.workspace for item in held if item.priority == request.priority]
    reports = [item for item in reports if item.rank == request.priority]
    waiting = len(equal) + sum(item.waiting for item in reports)
    shares = len({*equal, request.workspace})
    shares += sum(item.workspaces for item in reports)
    own = equal.count(request.workspace)
    return urgent, estimate_equal_ahead(own, waiting, shares)


def find_arrivals_per_s(
    world: ServingWorld, request: ServedRequest, now: float
) -> tuple[float, float]:
    """Finds how many more urgent and equal streams arrive a second at all entries."""
    queue = find_queue(world, request.service)
    rates = [(rank, queue.find_arrivals_per_s(rank, now)) for rank in queue.arrivals]
    reports = list_reports(world, request.service)
    rates += [(report.rank, report.per_s) for report in reports]
    urgent_per_s = sum(per_s for rank, per_s in rates if rank < request.priority)
    equal_per_s = sum(per_s for rank, per_s in rates if rank == request.priority)
    return urgent_per_s, equal_per_s


def list_usable(world: ServingWorld, service: str, now: float) -> list[Upstream]:
    """Lists the upstreams of a service that a request may be sent to."""
    return filter_by_health(list_available(world, service, now))


def find_served_per_s(world: ServingWorld, request: ServedRequest, now: float) -> float:
    """Finds how many streams end a second once all places are taken."""
    streams = 0
    for upstream in list_usable(world, request.service, now):
        load = count_total_load(world, upstream)
        streams += load.reading + load.writing
        streams += count_places(world, request, upstream, now)
    run_s = estimate_run_s(world, request)
    return streams / run_s if run_s > 0 else 0.0


def expect_flow(
    world: ServingWorld,
    request: ServedRequest,
    ahead: tuple[float, float],
    now: float,
) -> ExpectedFlow:
    """Describes what a request meets that waits behind urgent and equal streams."""
    urgent_per_s, equal_per_s = find_arrivals_per_s(world, request, now)
    served_per_s = find_served_per_s(world, request, now)
    return ExpectedFlow(*ahead, served_per_s, urgent_per_s, equal_per_s)
