"""Handles the results of attempts and delivers complete answers to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.events import (
    AnswerReceived,
    AttemptInterrupted,
    AttemptNotSent,
    AttemptSent,
)
from magnoliahold.core.serving.requests import AttemptState, RequestState
from magnoliahold.core.serving.systems.canary_analysis import count_latency
from magnoliahold.core.serving.systems.completion import deliver_answer, refuse
from magnoliahold.core.serving.systems.crashes import record_begin, record_reset
from magnoliahold.core.serving.systems.deadlines import find_wait_limit_s
from magnoliahold.core.serving.systems.loads import (
    count_total_load,
    estimate_run_s,
    has_ranks,
)
from magnoliahold.core.serving.systems.retries import (
    count_outcome,
    fail_sent_attempt,
    has_free_retry,
    may_retry,
    retry_or_refuse,
)
from magnoliahold.core.serving.systems.upstream_health import (
    mark_down,
    mark_healthy,
    mark_suspected,
)
from magnoliahold.core.serving.upstreams import update_moving_average

if TYPE_CHECKING:
    from magnoliahold.core.serving.events import AnswerHead
    from magnoliahold.core.serving.requests import Attempt, ServedRequest
    from magnoliahold.core.serving.world import ServingWorld

MIN_ERROR_STATUS = 400
MIN_FAILURE_STATUS = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def handle_sends(world: ServingWorld, now: float) -> None:
    """Records which attempts were sent, and retries those that could not be."""
    for sent in world.inbox.read_events(AttemptSent):
        attempt = world.requests.attempts.get(sent.attempt)
        if attempt is not None and attempt.state is AttemptState.CONNECTING:
            attempt.state = AttemptState.SENT
            attempt.sent_at = now
            attempt.last_received_at = now
    for unsent in world.inbox.read_events(AttemptNotSent):
        attempt = world.requests.attempts.get(unsent.attempt)
        if attempt is None:
            continue
        mark_down(world, attempt.upstream, unsent.reason, now, unsent.silent)
        if unsent.silent:
            attempt.request.met_silence = True
        else:
            attempt.upstream.refused_at = now
        attempt.request.send_count -= 1
        if attempt.request.send_count:
            world.find_budget(attempt.request.service).return_retry()
        attempt.state = AttemptState.CONNECTING
        _retry_unsent(world, attempt, unsent.reason, now)


def _retry_unsent(
    world: ServingWorld, attempt: Attempt, reason: str, now: float
) -> None:
    """Retries an attempt that could not be sent.

    While all upstreams are down the request counts as waiting, however often it is
    tried, and is refused once it has waited for as long as it may.
    """
    request = attempt.request
    last_failure_at = request.last_failure_at
    retry_or_refuse(world, attempt, reason, now)
    is_waiting = request.state is RequestState.WAITING and not request.answer_started
    if not is_waiting or world.upstreams.is_any_up(request.service):
        return
    request.last_failure_at = last_failure_at
    waited_s = now - (last_failure_at or request.arrived_at)
    if waited_s >= find_wait_limit_s(world, request):
        refuse(world, request, "all upstreams are down", now)


def handle_answers(world: ServingWorld, now: float) -> None:
    """Delivers complete answers, or retries failed requests where that is allowed."""
    for received in world.inbox.read_events(AnswerReceived):
        attempt = world.requests.attempts.get(received.attempt)
        if attempt is not None:
            _process_answer(world, attempt, received.head, now)


def _process_answer(
    world: ServingWorld, attempt: Attempt, head: AnswerHead, now: float
) -> None:
    request = attempt.request
    if answers_other_request(head, attempt):
        fail_sent_attempt(world, attempt, "the answer is of another request", now)
        return
    mark_healthy(world, attempt.upstream, now)
    if head.not_run:
        _handle_rejection(world, attempt, head, now)
        return
    failed = head.status >= MIN_FAILURE_STATUS
    count_outcome(world, attempt, failed, now)
    if not head.signed or head.status in NOT_RUN_STATUSES:
        fail_sent_attempt(world, attempt, f"unusable answer, status {head.status}", now)
        return
    if request.answer_started or (failed and _can_retry_failure(world, request, now)):
        fail_sent_attempt(world, attempt, f"the upstream failed, {head.status}", now)
        return
    if not failed:
        _record_durations(world, attempt, now)
    if _shows_begin(attempt, head):
        record_begin(world, attempt, now)
    world.requests.end_attempt(attempt)
    deliver_answer(world, request, attempt.number, head.status, now)


def _can_retry_failure(world: ServingWorld, request: ServedRequest, now: float) -> bool:
    """Tells whether a failed request is retried; otherwise its answer is used."""
    if not may_retry(world, request, now):
        return False
    return has_free_retry(world, request.service, now)


def _shows_begin(attempt: Attempt, head: AnswerHead) -> bool:
    """Tells whether an answer shows that its upstream lives on after the request.

    An upstream may fail a request that it didn't begin; one that it refuses, such as
    with 404, is a call that was answered, but no stream that has begun.
    """
    is_stream = attempt.request.route.kind is RouteKind.STREAM
    return head.status < (MIN_ERROR_STATUS if is_stream else MIN_FAILURE_STATUS)


def answers_other_request(head: AnswerHead, attempt: Attempt) -> bool:
    """Checks whether an answer belongs to a request other than the attempt's.

    Upstreams repeat the id in each answer, also in rejections. One without an id
    answers a probe: it says nothing about whether the attempt has run.
    """
    return head.request_id != attempt.request.id


def _handle_rejection(
    world: ServingWorld, attempt: Attempt, head: AnswerHead, now: float
) -> None:
    """Retries a request that its upstream rejected without running it.

    The state is reset to CONNECTING so that the request isn't marked as possibly run.
    """
    upstream = attempt.upstream
    if attempt.resumed_from is None:
        upstream.full_until = now + _estimate_full_s(world, attempt)
    if head.misdirected:
        mark_down(world, upstream, "another upstream has its address", now)
        attempt.request.misdirected += 1
    else:
        attempt.request.rejected += 1
    attempt.state = AttemptState.CONNECTING
    retry_or_refuse(world, attempt, f"rejected, status {head.status}", now)


def _estimate_full_s(world: ServingWorld, attempt: Attempt) -> float:
    """Estimates for how long an upstream that rejected a stream has no room.

    Where streams wait for room, that is until the next one there is expected to end,
    since more of them may run there than this entry knows.
    """
    request = attempt.request
    full_s = world.serving_policy.attempts.full_s
    if not has_ranks(world, request.service):
        return full_s
    load = count_total_load(world, attempt.upstream)
    streams = max(1, load.reading + load.writing)
    return max(full_s, estimate_run_s(world, request) / streams)


def _record_durations(world: ServingWorld, attempt: Attempt, now: float) -> None:
    if attempt.sent_at is not None:
        upstream = attempt.upstream
        count_latency(world, attempt, now - attempt.sent_at)
        upstream.opening_s = update_moving_average(
            upstream.opening_s, now - attempt.sent_at
        )
    request = attempt.request
    duration_s = now - request.arrived_at
    world.durations.add(request.service, request.route.kind, duration_s)


def handle_broken_attempts(world: ServingWorld, now: float) -> None:
    """Retries requests whose answer was cut short or can't be used."""
    for interrupted in world.inbox.read_events(AttemptInterrupted):
        attempt = world.requests.attempts.get(interrupted.attempt)
        if attempt is None:
            continue
        count_outcome(world, attempt, True, now, upstream_lost=interrupted.reset)
        if interrupted.reset:
            record_reset(world, attempt, now)
            mark_suspected(world, attempt.upstream, interrupted.reason, now, reset=True)
        fail_sent_attempt(world, attempt, interrupted.reason, now)
