"""Sends waiting requests to upstreams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import SendAttempt
from magnoliahold.core.serving.requests import Attempt
from magnoliahold.core.serving.systems.completion import choose_retry_after, refuse
from magnoliahold.core.serving.systems.copies import choose_copy_holder
from magnoliahold.core.serving.systems.deadlines import find_wait_limit_s
from magnoliahold.core.serving.systems.loads import measure_load
from magnoliahold.core.serving.systems.paces import find_uneven
from magnoliahold.core.serving.systems.quarantine import is_refused
from magnoliahold.core.serving.systems.quarantine_stops import refuse_quarantined
from magnoliahold.core.serving.systems.queue_flows import find_queue
from magnoliahold.core.serving.systems.queues import (
    filter_by_room,
    hold_request,
    order_waiting,
    record_start,
)
from magnoliahold.core.serving.systems.selection import (
    are_all_down,
    choose_upstream,
    find_available_at,
    find_candidates,
    find_healthy_candidates,
    find_prefix_location,
    list_silent,
)
from magnoliahold.core.serving.systems.trials import (
    announce_trial,
    must_wait_for_trial,
)
from magnoliahold.core.serving.systems.upstream_health import probe
from magnoliahold.core.serving.systems.version_routing import (
    choose_version,
    count_exposure,
    is_version_suspended,
)
from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import KvCacheCopy, ServedRequest
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld

FIRST_PRIORITY = 3
LAST_PRIORITY = 9
RESUMED_PRIORITY = 1


def route_waiting(world: ServingWorld, now: float) -> None:
    """Sends each waiting request for which an upstream is usable."""
    for request in order_waiting(world, now):
        if is_refused(world, request.suspects, request):
            refuse_quarantined(world, request, now)
        elif not request.awaiting_lookup and not must_wait_for_trial(world, request):
            _route_request(world, request, now)


def _route_request(world: ServingWorld, request: ServedRequest, now: float) -> None:
    choose_version(world, request)
    copy = _find_usable_copy(world, request, now)
    if copy is not None:
        if _is_worth_awaiting(world, copy.holder, now):
            return
        if copy.holder.is_available(now):
            _start_attempt(world, request, copy.holder, copy, now)
            return
    candidates = find_candidates(world, request, now)
    if not candidates:
        _refuse_without_upstream(world, request, now)
        return
    roomy = filter_by_room(world, request, candidates, now)
    if not roomy and (avoided := _list_avoided(world, request, now)):
        roomy = filter_by_room(world, request, avoided, now)
    if roomy:
        upstream = choose_upstream(world, request, roomy, now)
        _start_attempt(world, request, upstream, None, now)
    else:
        hold_request(world, request, now)


def _list_avoided(
    world: ServingWorld, request: ServedRequest, now: float
) -> list[Upstream]:
    """Lists healthy upstreams that a request takes rather than wait on for room.

    One that was sent before takes any. Others take an idle one once some of them have
    waited for long: nothing else would show that it is slow or fails no longer.
    """
    if request.tried_upstreams:
        return find_healthy_candidates(world, request, now)
    held_since = find_queue(world, request.service).held.values()
    if now - min(held_since, default=now) < find_wait_limit_s(world, request):
        return []
    healthy = find_healthy_candidates(world, request, now)
    return [item for item in healthy if not measure_load(world, item)]


def _is_worth_awaiting(world: ServingWorld, holder: Upstream, now: float) -> bool:
    """Tells whether a backoff or limit lets it through sooner than a new prefill."""
    left_s = holder.find_free_at() - now
    return 0 < left_s <= world.serving_policy.copies.backoff_wait_s


def _refuse_without_upstream(
    world: ServingWorld, request: ServedRequest, now: float
) -> None:
    """Refuses a request at once if no upstream takes it for longer than it may wait.

    The caller is told to return after the first of them does. Where only other entries
    may send, it returns as after any refusal, and likely reaches one of these.
    """
    available_at = find_available_at(world, request.service, now)
    if available_at is None or request.answer_started:
        return
    waiting_since = request.last_failure_at or request.arrived_at
    if available_at <= waiting_since + find_wait_limit_s(world, request):
        return
    wait_s = available_at - now if math.isfinite(available_at) else 0.0
    reason = "all upstreams back off or are at their limits"
    refuse(world, request, reason, now, choose_retry_after(world, wait_s))


def _find_usable_copy(
    world: ServingWorld, request: ServedRequest, now: float
) -> KvCacheCopy | None:
    copy = request.copy
    if copy is None or not _may_hold(world, request, copy.holder, now):
        return None
    if copy.holder.id not in world.upstreams.by_id or copy.holder.leaving:
        return None
    if not request.may_reach(copy.holder):
        return None
    return None if is_version_suspended(world, copy.holder) else copy


def _may_hold(
    world: ServingWorld, request: ServedRequest, holder: Upstream, now: float
) -> bool:
    """Tells whether a holder may still have its copy.

    A silent one will do where the stream is sent to a silent one in any case.
    """
    if holder.health is UpstreamHealth.HEALTHY:
        return True
    if not request.left_lost_upstream or not list_silent(request, [holder]):
        return False
    return are_all_down(find_candidates(world, request, now))


def _start_attempt(
    world: ServingWorld,
    request: ServedRequest,
    upstream: Upstream,
    copy: KvCacheCopy | None,
    now: float,
) -> None:
    budget = world.find_budget(request.service)
    if request.send_count and not budget.try_take_retry(now, world.count_entries()):
        return
    table = world.requests
    attempt = Attempt(
        number=table.next_attempt,
        request=request,
        upstream=upstream,
        started_at=now,
        last_received_at=now,
        copy_holder=choose_copy_holder(world, request, upstream, now),
        resumed_from=copy,
    )
    table.next_attempt += 1
    request.send_count += 1
    request.copy = None
    record_start(world, request, now)
    table.start_attempt(attempt)
    upstream.record_send(now)
    count_exposure(world, attempt)
    announce_trial(world, request)
    if request.route.kind is RouteKind.STREAM:
        world.other_entries.send_now = True
    world.emit(_make_send(world, attempt, now))
    _probe_copy_holder(world, attempt, now)
    world.emit(CountMetric("attempts_started"))
    _log_choice(world, attempt, now)


def _probe_copy_holder(world: ServingWorld, attempt: Attempt, now: float) -> None:
    """Probes a copy holder that was silent: nothing else would reveal its failure."""
    holder = attempt.copy_holder
    unheard_s = world.serving_policy.copies.unheard_s
    if holder is not None and now - holder.last_received_at > unheard_s:
        probe(world, holder, "chosen to hold a copy", now)


def _make_send(world: ServingWorld, attempt: Attempt, now: float) -> SendAttempt:
    request = attempt.request
    holder = attempt.copy_holder
    copy_to = (holder.record.address, holder.record.port) if holder else None
    return SendAttempt(
        attempt=attempt.number,
        handle=request.handle,
        request_id=request.id,
        upstream=attempt.upstream.record,
        workspace=request.workspace,
        deadline_s=request.deadline_at - now,
        connect_timeout_s=world.serving_policy.attempts.connect_timeout_s,
        priority=_choose_priority(request),
        takes_stream=request.route.kind is RouteKind.STREAM,
        fresh_connection=not request.route.repeatable,
        new_connection=attempt.upstream.id in request.tried_upstreams,
        resume_after=request.last_piece,
        copy_to=copy_to,
        copy_source=attempt.resumed_from.reference if attempt.resumed_from else None,
    )


def _choose_priority(request: ServedRequest) -> int:
    """Chooses the priority; streams that have already begun come first."""
    if request.answer_started:
        return RESUMED_PRIORITY
    return min(LAST_PRIORITY, FIRST_PRIORITY + request.priority)


def _log_choice(world: ServingWorld, attempt: Attempt, now: float) -> None:
    request = attempt.request
    holder = attempt.copy_holder
    uneven = find_uneven(world, request.service, now)
    world.log_decision(
        "routing",
        "Upstream chosen.",
        request=request.id,
        attempt=attempt.number,
        upstream=attempt.upstream.id,
        data_centre=attempt.upstream.record.data_centre,
        version=attempt.upstream.record.version,
        load=round(measure_load(world, attempt.upstream), 2),
        slowness=round(uneven.get(attempt.upstream.id, 1.0), 2),
        resume_after=request.last_piece,
        from_copy=attempt.resumed_from is not None,
        prompt_place=find_prefix_location(world, request),
        copy_holder=holder.id if holder else None,
        plain=request.send_count == 1 and request.last_piece is None,
    )
