"""Retries requests whose attempt failed, where that is allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.requests import AttemptState, CopyReference, KvCacheCopy
from magnoliahold.core.serving.systems.canary_analysis import count_result
from magnoliahold.core.serving.systems.completion import close_attempt, refuse
from magnoliahold.core.serving.systems.quarantine import is_refused

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import Attempt, ServedRequest
    from magnoliahold.core.serving.world import ServingWorld


# Misdirected attempts after which a request isn't sent again.
MAX_MISDIRECTED = 10
# Rejected attempts after which it isn't sent to the same upstreams again.
MAX_REJECTED = 10


def retry_elsewhere(
    world: ServingWorld, attempt: Attempt, reason: str, now: float
) -> None:
    """Retries a request elsewhere after its upstream failed to serve it in time."""
    count_outcome(world, attempt, True, now)
    retry_or_refuse(world, attempt, reason, now)


def retry_or_refuse(
    world: ServingWorld, attempt: Attempt, reason: str, now: float
) -> None:
    """Closes an attempt, then queues its request for a retry or refuses it."""
    request = attempt.request
    _record_copy(attempt)
    request.tried_upstreams.add(attempt.upstream.id)
    close_attempt(world, attempt, now)
    world.emit(CountMetric("attempts_lost"))
    allowed = may_retry(world, request, now)
    world.log_decision(
        "attempt",
        "Attempt lost.",
        request=request.id,
        attempt=attempt.number,
        upstream=attempt.upstream.id,
        reason=reason,
        may_have_run=request.may_have_run,
        last_piece=request.last_piece,
        again=allowed,
    )
    if allowed:
        request.failure_reason = reason
        request.last_failure_at = now
        world.requests.requeue(request)
    else:
        refuse(world, request, reason, now)


def _record_copy(attempt: Attempt) -> None:
    """Records where a copy of the attempt's KV cache state is held.

    There is no copy before the first piece, since engines copy only streams that they
    are running.
    """
    request = attempt.request
    holder = attempt.copy_holder
    order = attempt.copy_order
    request.copy = None
    if holder is None or not attempt.pieces:
        return
    if order is None:
        record = holder.record
        reference = CopyReference(record.address, record.port, request.id)
        request.copy = KvCacheCopy(holder, reference)
    elif order.reference is not None:
        request.copy = KvCacheCopy(holder, order.reference)


def may_retry(world: ServingWorld, request: ServedRequest, now: float) -> bool:
    """Checks whether a request may be sent to another upstream."""
    if not request.route.repeatable and _may_have_run(request):
        return False
    if not _has_attempts_left(request):
        return False
    if is_refused(world, request.suspects, request):
        return False
    if now >= request.deadline_at:
        return False
    if request.send_count == 0:
        return True
    budget = world.find_budget(request.service)
    return budget.count_remaining(now, world.count_entries()) >= 1


def has_free_retry(world: ServingWorld, service: str, now: float) -> bool:
    """Tells whether the budget of a service has a retry that no waiting request takes.

    Only then may a request give up what it has for a retry.
    """
    waiting = world.requests.waiting.values()
    promised = sum(item.service == service and item.send_count > 0 for item in waiting)
    left = world.find_budget(service).count_remaining(now, world.count_entries())
    return left >= promised + 1


def _has_attempts_left(request: ServedRequest) -> bool:
    """Tells whether a request may be sent once more.

    Attempts that reached another upstream than the chosen one don't count, but many in
    a row end it all the same. A request that may have run can't be refused truthfully:
    where some of its upstreams rejected it, one that had it before may get it again.
    """
    if request.misdirected >= MAX_MISDIRECTED:
        return False
    if not request.has_used_attempts():
        return True
    if not request.may_have_run or request.rejected >= MAX_REJECTED:
        return False
    run_count = request.send_count - request.misdirected - request.rejected
    return run_count < request.route.max_attempts


def _may_have_run(request: ServedRequest) -> bool:
    attempt = request.attempt
    runs = attempt is not None and attempt.state is not AttemptState.CONNECTING
    return request.may_have_run or runs


def count_outcome(
    world: ServingWorld,
    attempt: Attempt,
    failed: bool,
    now: float,
    upstream_lost: bool = False,
) -> None:
    """Counts an answer or a failure of an attempt for its upstream and its version.

    `upstream_lost` means that the upstream's process or host was lost.
    """
    upstream = attempt.upstream
    count_result(world, attempt, failed, upstream_lost)
    upstream.decay_outcomes(now, world.serving_policy.watch.outcome_half_life_s)
    if failed:
        upstream.failures += 1
    else:
        upstream.answers += 1


def fail_sent_attempt(
    world: ServingWorld, attempt: Attempt, reason: str, now: float
) -> None:
    """Treats a sent attempt as failed, and retries its request where allowed."""
    if attempt.state is AttemptState.CONNECTING:
        attempt.state = AttemptState.SENT
    retry_or_refuse(world, attempt, reason, now)
