"""Keeps a copy of each running stream's KV cache state at a second upstream.

An upstream copies by itself to the holder that is named when a stream is sent. If that
holder is lost, copies to another holder are ordered one by one: each transfers only
what is new, and the holder keeps it for a few seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import CopyKvCache, FreeCopy
from magnoliahold.core.serving.events import CopyFailed, KvCacheCopied
from magnoliahold.core.serving.requests import CopyOrder
from magnoliahold.core.serving.systems.loads import (
    count_places,
    estimate_completions,
    has_ranks,
)
from magnoliahold.core.serving.systems.selection import (
    filter_preferred,
    find_needing_probe,
    list_available,
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
    """Chooses the upstream that holds the copy of a stream.

    Prefers another data centre, then an upstream that needs no probe, then the version
    at which the stream should be resumed, then the one that would complete it first.
    Where streams compete for room, a copy gets only what they leave.
    """
    if request.route.kind is not RouteKind.STREAM or not request.route.resumable:
        return None
    configuration = world.configuration
    service = configuration and configuration.services_by_name.get(request.service)
    if not service or not service.keeps_copies:
        return None
    remaining = list_available(world, request.service, now)
    candidates = [
        item
        for item in filter_preferred(world, request, remaining, now)
        if item is not upstream and item.health is UpstreamHealth.HEALTHY
    ]
    data_centre = upstream.record.data_centre
    elsewhere = [item for item in candidates if item.record.data_centre != data_centre]
    candidates = elsewhere or candidates
    if not candidates:
        return None
    needing_probe = find_needing_probe(world, candidates, now)
    completions = estimate_completions(world, request, candidates, now)

    def rank(item: Upstream) -> tuple[bool, bool, float]:
        mismatched = not matches_resume_version(world, request, item)
        return (item.id in needing_probe, mismatched, completions[item.id])

    best = min(candidates, key=rank)
    if not has_ranks(world, request.service) or count_places(world, request, best, now):
        return best
    roomy = [item for item in candidates if count_places(world, request, item, now)]
    return min(roomy, key=rank, default=None)


def handle_copy_results(world: ServingWorld, now: float) -> None:
    """Records which ordered copies were made and which failed."""
    for copied in world.inbox.read_events(KvCacheCopied):
        order = _find_order(world, copied.attempt, copied.holder_id)
        if order is None:
            world.emit(
                FreeCopy(copied.copy, world.serving_policy.copies.order_timeout_s)
            )
            continue
        order.in_progress = False
        order.reference = copied.copy
    for failed in world.inbox.read_events(CopyFailed):
        attempt = world.requests.attempts.get(failed.attempt)
        if attempt is None or attempt.copy_order is None:
            continue
        order = _find_order(world, failed.attempt, failed.holder_id)
        if order is not None:
            order.in_progress = False
        world.log_decision(
            "copies",
            "Copy failed.",
            request=attempt.request.id,
            attempt=attempt.number,
            holder=failed.holder_id,
            reason=failed.reason,
        )


def _find_order(world: ServingWorld, number: int, holder_id: str) -> CopyOrder | None:
    """Finds an attempt's order, unless its holder has been replaced since."""
    attempt = world.requests.attempts.get(number)
    holder = attempt.copy_holder if attempt else None
    if attempt is None or holder is None or holder.id != holder_id:
        return None
    return attempt.copy_order


def maintain_copies(world: ServingWorld, now: float) -> None:
    """Orders copies for streams that lost their copy holder, and renews such copies.

    An upstream that isn't healthy makes none: what its stream's holder has is the last.
    """
    if not world.scan_due:
        return
    for attempt in world.requests.attempts.values():
        if not attempt.pieces or attempt.upstream.backs_off(now):
            continue
        if attempt.upstream.health is not UpstreamHealth.HEALTHY:
            continue
        if _is_holder_lost(world, attempt.copy_holder):
            _replace_holder(world, attempt, now)
        elif attempt.copy_order is not None:
            _renew_copy(world, attempt, attempt.copy_order, now)


def _is_holder_lost(world: ServingWorld, holder: Upstream | None) -> bool:
    if holder is None or holder.health is UpstreamHealth.DOWN or holder.leaving:
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
    old_holder = attempt.copy_holder
    holder = choose_copy_holder(world, request, attempt.upstream, now)
    world.requests.set_copy_holder(attempt, holder)
    attempt.copy_order = CopyOrder(now, in_progress=holder is not None)
    if holder is None:
        return
    _order_copy(world, attempt, holder)
    world.emit(CountMetric("copies_replaced"))
    world.log_decision(
        "copies",
        "Copy holder replaced.",
        request=request.id,
        attempt=attempt.number,
        lost=old_holder.id if old_holder else None,
        holder=holder.id,
        data_centre=holder.record.data_centre,
        last_piece=request.last_piece,
    )


def _renew_copy(
    world: ServingWorld, attempt: Attempt, order: CopyOrder, now: float
) -> None:
    """Orders the next copy before the holder discards the last one."""
    policy = world.serving_policy.copies
    holder = attempt.copy_holder
    interval_s = policy.retry_s if order.reference is None else policy.renew_s
    if holder is None or order.in_progress or now - order.ordered_at < interval_s:
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


def free_copy(world: ServingWorld, attempt: Attempt, now: float) -> None:
    """Frees the ordered copy of a stream that has ended.

    Where the upstream that made it backs off, the holder discards the copy after a
    while by itself.
    """
    order = attempt.copy_order
    if order is None or attempt.upstream.backs_off(now):
        return
    if order.reference is not None:
        world.emit(
            FreeCopy(order.reference, world.serving_policy.copies.order_timeout_s)
        )
