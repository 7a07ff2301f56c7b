"""Sends callers their final answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric, RecordMetric
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    CloseAttempt,
    DeliverAnswer,
    FinishAnswer,
    RefuseCaller,
)
from magnoliahold.core.serving.requests import AttemptState
from magnoliahold.core.serving.systems.copies import free_copy
from magnoliahold.core.serving.systems.crashes import record_departure

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import Attempt, ServedRequest
    from magnoliahold.core.serving.world import ServingWorld

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# Over which share of a wait the returns of callers are spread after it.
RETURN_SPREAD = 0.25
CALLER_LEFT = "caller left"
HALF_CLOSED = "the caller closed its writing side"
SUCCESSFUL_OUTCOMES = frozenset(("answered", "completed"))


def deliver_answer(
    world: ServingWorld, request: ServedRequest, attempt: int, status: int, now: float
) -> None:
    """Sends a caller the complete answer of an upstream."""
    closing = world.leaving_since is not None
    world.emit(DeliverAnswer(request.handle, attempt, closing))
    _end_request(world, request, "answered", now, status=status)


def finish_stream(world: ServingWorld, request: ServedRequest, now: float) -> None:
    """Ends a caller's stream after its last piece."""
    world.emit(FinishAnswer(request.handle, world.leaving_since is not None))
    _end_request(world, request, "completed", now, status=200)


def refuse(
    world: ServingWorld,
    request: ServedRequest,
    reason: str,
    now: float,
    retry_after_s: float | None = None,
) -> None:
    """Refuses a request, or aborts its answer if that has already begun.

    The refusal says "not run" only if no upstream can have run the request. Only then
    the caller is told to retry, after `retry_after_s` if that is given.
    """
    _break_off(world, request, now)
    if request.answer_started:
        world.emit(AbortAnswer(request.handle))
        _end_request(world, request, "cut", now, reason=reason)
        return
    status = _emit_refusal(world, request, reason, now, retry_after_s)
    _end_request(world, request, "refused", now, status=status, reason=reason)


def _break_off(world: ServingWorld, request: ServedRequest, now: float) -> None:
    """Closes the attempt of a request, if one is running."""
    if request.attempt is not None:
        free_copy(world, request.attempt, now)
        close_attempt(world, request.attempt, now)


def _emit_refusal(
    world: ServingWorld,
    request: ServedRequest,
    reason: str,
    now: float,
    retry_after_s: float | None = None,
) -> int:
    """Emits the refusal of a request that has no attempt; returns its status."""
    if request.may_have_run:
        late = now >= request.deadline_at
        status = GATEWAY_TIMEOUT if late else BAD_GATEWAY
        retry_after_s = None
    else:
        status = UNAVAILABLE
        retry_after_s = retry_after_s or choose_retry_after(world)
    effect = RefuseCaller(
        request.handle,
        status,
        reason,
        not request.may_have_run,
        retry_after_s,
        world.leaving_since is not None,
    )
    world.emit(effect)
    return status


def find_deadline_rejection(
    world: ServingWorld, request: ServedRequest, now: float
) -> str:
    """Returns why a stream can't begin before its deadline, or an empty string.

    This doesn't consider prefix caches: where its prompt is cached, a stream begins
    almost at once.
    """
    if request.route.kind is not RouteKind.STREAM:
        return ""
    opening_s = world.estimate_opening_s(request, 0.0)
    if (
        request.deadline_at - now
        < opening_s * world.serving_policy.attempts.opening_part
    ):
        return "the time left is too short for a first piece"
    return ""


def choose_retry_after(world: ServingWorld, earliest_s: float = 0.0) -> float:
    """Chooses when a caller should retry, with 40 % jitter around the mean.

    It is not before `earliest_s`, and spread in proportion to that, so that the callers
    of a longer wait don't all return at its end.
    """
    mean = world.serving_policy.attempts.retry_after_s
    spread_s = earliest_s * RETURN_SPREAD * world.random.random()
    return round(earliest_s + spread_s + mean * world.random.uniform(0.6, 1.4), 3)


def close_attempt(world: ServingWorld, attempt: Attempt, now: float) -> None:
    """Closes an attempt's connection; a request that was sent may have run."""
    record_departure(world, attempt, now)
    if attempt.state is not AttemptState.CONNECTING:
        attempt.request.may_have_run = True
    world.requests.end_attempt(attempt)
    world.emit(CloseAttempt(attempt.number))


def cancel_request(world: ServingWorld, request: ServedRequest, now: float) -> None:
    """Cancels the request of a caller that has disconnected."""
    _break_off(world, request, now)
    _end_request(world, request, CALLER_LEFT, now)


def end_half_closed(world: ServingWorld, request: ServedRequest, now: float) -> None:
    """Ends a request whose caller has closed its writing side, with a final answer.

    An answer that has begun is aborted: it must not look complete.
    """
    _break_off(world, request, now)
    status = None
    if request.answer_started:
        world.emit(AbortAnswer(request.handle))
    else:
        status = _emit_refusal(world, request, HALF_CLOSED, now)
    _end_request(world, request, CALLER_LEFT, now, status=status, reason=HALF_CLOSED)


def _end_request(
    world: ServingWorld,
    request: ServedRequest,
    outcome: str,
    now: float,
    status: int | None = None,
    reason: str = "",
) -> None:
    world.requests.end(request)
    duration_s = now - request.arrived_at
    world.log_decision(
        "request",
        "Request ended.",
        request=request.id,
        outcome=outcome,
        status=status,
        reason=reason,
        handed=request.send_count,
        may_have_run=request.may_have_run,
        last_piece=request.last_piece,
        seconds=round(duration_s, 3),
        plain=request.send_count == 1 and outcome in SUCCESSFUL_OUTCOMES,
    )
    labels = {"kind": request.route.kind.value, "outcome": outcome}
    world.emit(CountMetric("requests_ended", 1, labels))
    world.emit(RecordMetric("request_seconds", duration_s, labels))
