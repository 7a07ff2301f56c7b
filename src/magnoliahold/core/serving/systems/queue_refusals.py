"""Refuses streams that wait for room, or would, and can't be served in time."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.load.waits import can_be_served
from magnoliahold.core.serving.systems.completion import refuse
from magnoliahold.core.serving.systems.loads import has_places
from magnoliahold.core.serving.systems.queue_flows import (
    count_ahead,
    expect_flow,
    find_queue,
    is_queued,
    list_held,
    list_reports,
    list_usable,
    make_waiter,
)

if TYPE_CHECKING:
    from magnoliahold.core.serving.queues import ServiceQueue
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.world import ServingWorld

# An arrival is refused if it would be late with that many times its expected wait: one
# that waits in vain loses the time to go elsewhere.
ARRIVAL_MARGIN = 1.25
NO_ROOM = "no room at the engines before it could be served"


def find_queue_refusal(
    world: ServingWorld, request: ServedRequest, now: float
) -> float | None:
    """Returns in how many seconds a caller should return instead of waiting here.

    None if its request starts at once, or is expected to be served after a wait.
    """
    if not is_queued(world, request):
        return None
    queue = find_queue(world, request.service)
    queue.record_arrival(request.priority, now)
    ahead = count_ahead(world, queue, request)
    return _find_refusal(world, queue, request, ahead, now, ARRIVAL_MARGIN)


def _find_refusal(
    world: ServingWorld,
    queue: ServiceQueue,
    request: ServedRequest,
    ahead: tuple[float, float],
    now: float,
    margin: float = 1.0,
) -> float | None:
    usable = list_usable(world, request.service, now)
    if has_places(world, request, usable, sum(ahead), now):
        return None
    flow = expect_flow(world, request, ahead, now)
    if not flow.served_per_s:
        return None
    waiter = make_waiter(world, request, now)
    read_until = world.find_read_until(now)
    if can_be_served(flow, read_until, waiter.on_time_until, waiter.start_by, margin):
        return None
    per_s = flow.served_per_s / world.count_entries()
    return queue.returns.choose_retry_after_s(now, flow.wait_s, per_s)


def review_queues(world: ServingWorld, now: float) -> None:
    """Forgets requests that wait no more, and refuses those that can't be served.

    One that may have run waits on while it could still end in time: it can't be refused
    as one that has not run, and its own engine may be heard again. After a late tick,
    room may have come free that is not known yet.
    """
    if not world.scan_due:
        return
    for service, queue in world.queues.items():
        held = list_held(world, queue)
        queue.held = {item.handle: queue.held[item.handle] for item in held}
        if held:
            _review_held(world, service, queue, held, now)


def _review_held(
    world: ServingWorld,
    service: str,
    queue: ServiceQueue,
    held: list[ServedRequest],
    now: float,
) -> None:
    reports = list(list_reports(world, service))
    by_handle = {item.handle: item for item in held}
    waiters = [make_waiter(world, item, now) for item in held]
    before: Counter[int] = Counter()
    for waiter in queue.fair.order(waiters, now):
        rank = waiter.rank
        urgent = sum(item.waiting for item in reports if item.rank < rank)
        urgent += sum(count for other, count in before.items() if other < rank)
        equal = sum(item.waiting for item in reports if item.rank == rank)
        equal_here = sum(item.priority == rank for item in held)
        ahead = (urgent, before[rank] * (1 + equal / equal_here))
        before[rank] += 1
        request = by_handle[waiter.key]
        if request.may_have_run and world.find_read_until(now) <= waiter.start_by:
            continue
        retry_after_s = _find_refusal(world, queue, request, ahead, now)
        if retry_after_s is not None:
            del queue.held[request.handle]
            labels = {"rank": str(rank)}
            world.emit(CountMetric("streams_given_up", 1, labels))
            refuse(world, request, NO_ROOM, now, retry_after_s)
