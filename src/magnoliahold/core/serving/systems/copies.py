"""Keeps a copy of each running stream's memory at a second upstream.

An upstream copies by itself to the holder that is named when a stream is sent. When
that holder is lost, copies are ordered one by one at another: each carries only what is
new, and is kept for a few seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import CopyKvCache, FreeCopy
from magnoliahold.core.serving.events import CopyFailed, KvCacheCopied
from magnoliahold.core.serving.requests import CopyOrder
from magnoliahold.core.serving.systems.selection import (
    filter_preferred,
    find_needing_probe,
    list_not_leaving,
    measure_load,
)
from magnoliahold.core.serving.systems.version_routing import matches_resume_version
from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import Attempt, ServedRequest
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld


def choose_copy_holder(
    world: ServingWorld, request: ServedRequest, upstream: Upstream, now: float
) -> Upstream | None:
    """Chooses who keeps a copy: the least loaded one of another data centre."""
    if request.route.kind is not RouteKind.STREAM or not request.route.resumable:
        return None
    configuration = world.configuration
    service = configuration and configuration.services_by_name.get(request.service)
    if not service or not service.keeps_copies:
        return None
    staying = list_not_leaving(world, request.service)
    candidates = [
        item
        for item in filter_preferred(world, request, staying, now)
        if item is not upstream and item.health is UpstreamHealth.HEALTHY
    ]
    place = upstream.record.data_centre
    far = [item for item in candidates if item.record.data_centre != place]
    candidates = far or candidates
    if not candidates:
        return None
    shaken = find_needing_probe(world, candidates, now)

    def rank(item: Upstream) -> tuple[bool, bool, float]:
        unsuited = not matches_resume_version(world, request, item)
        return (item.id in shaken, unsuited, measure_load(world, item))

    return min(candidates, key=rank)


def handle_copy_results(world: ServingWorld, now: float) -> None:
    """Notes which of the copies that were ordered are made."""
    for copied in world.inbox.read_events(KvCacheCopied):
        attempt = world.requests.attempts.get(copied.attempt)
        order = attempt.copy_order if attempt else None
        holder = attempt.copy_holder if attempt else None
        if order is None or holder is None or holder.id != copied.holder_id:
            world.emit(
                FreeCopy(copied.copy, world.serving_policy.copies.order_timeout_s)
            )
            continue
        order.in_progress = False
        order.name = copied.copy
    for failed in world.inbox.read_events(CopyFailed):
        attempt = world.requests.attempts.get(failed.attempt)
        if attempt is None or attempt.copy_order is None:
            continue
        attempt.copy_order.in_progress = False
        world.log_decision(
            "copies",
            "Copy failed.",
            request=attempt.request.id,
            attempt=attempt.number,
            holder=failed.holder_id,
            reason=failed.reason,
        )


def maintain_copies(world: ServingWorld, now: float) -> None:
    """Orders copies for the streams that lost the holder of theirs."""
    if not world.scan_due:
        return
    for attempt in world.requests.attempts.values():
        if not attempt.pieces:
            continue
        if _is_holder_lost(world, attempt.copy_holder):
            _replace_holder(world, attempt, now)
        elif attempt.copy_order is not None:
            _renew_copy(world, attempt, attempt.copy_order, now)


def _is_holder_lost(world: ServingWorld, holder: Upstream | None) -> bool:
    if holder is None or holder.health is UpstreamHealth.DOWN or holder.record.leaving:
        return True
    return world.upstreams.by_id.get(holder.id) is not holder


def _replace_holder(world: ServingWorld, attempt: Attempt, now: float) -> None:
    order = attempt.copy_order
    if (
        order is not None
        and now - order.ordered_at < world.serving_policy.copies.retry_s
    ):
        return
    request = attempt.request
    lost = attempt.copy_holder
    holder = choose_copy_holder(world, request, attempt.upstream, now)
    world.requests.set_copy_holder(attempt, holder)
    attempt.copy_order = CopyOrder(now, in_progress=holder is not None)
    if holder is None:
        return
    _order_copy(world, attempt, holder)
    world.emit(CountMetric("copies_replaced"))
    world.log_decision(
        "copies",
        "Holder replaced.",
        request=request.id,
        attempt=attempt.number,
        lost=lost.id if lost else None,
        holder=holder.id,
        data_centre=holder.record.data_centre,
        last_piece=request.last_piece,
    )


def _renew_copy(
    world: ServingWorld, attempt: Attempt, order: CopyOrder, now: float
) -> None:
    """Orders the next copy before the last one is dropped."""
    policy = world.serving_policy.copies
    holder = attempt.copy_holder
    pause_s = policy.retry_s if order.name is None else policy.renew_s
    if holder is None or order.in_progress or now - order.ordered_at < pause_s:
        return
    order.ordered_at = now
    order.in_progress = True
    _order_copy(world, attempt, holder)


def _order_copy(world: ServingWorld, attempt: Attempt, holder: Upstream) -> None:
    world.emit(
        CopyKvCache(
            attempt.number,
            attempt.request.id,
            attempt.upstream.record,
            holder.record,
            world.serving_policy.copies.order_timeout_s,
        )
    )


def free_copy(world: ServingWorld, attempt: Attempt) -> None:
    """Has the copy of a stream freed that has ended."""
    order = attempt.copy_order
    if order is not None and order.name is not None:
        world.emit(FreeCopy(order.name, world.serving_policy.copies.order_timeout_s))
