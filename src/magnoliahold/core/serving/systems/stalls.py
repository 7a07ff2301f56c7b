"""Detects attempts whose upstream has stopped responding."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.requests import AttemptState
from magnoliahold.core.serving.systems.loads import estimate_opening_s
from magnoliahold.core.serving.systems.promises import (
    can_send_beside_waiting,
    can_start_beside_waiting,
)
from magnoliahold.core.serving.systems.retries import (
    has_free_retry,
    may_retry,
    retry_elsewhere,
)
from magnoliahold.core.serving.systems.selection import (
    has_less_loaded_alternative,
    list_alternatives,
    list_healthy_alternatives,
    list_silent,
)
from magnoliahold.core.serving.systems.upstream_health import (
    is_lost,
    mark_suspected,
    probe,
)
from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import Attempt, ServedRequest
    from magnoliahold.core.serving.world import ServingWorld


def watch_attempts(world: ServingWorld, now: float) -> None:
    """Retries attempts of silent upstreams elsewhere and probes suspicious ones."""
    if not world.scan_due:
        return
    for attempt in _order_by_urgency(world):
        if attempt.state is AttemptState.CONNECTING:
            continue
        if not may_retry(world, attempt.request, now):
            continue
        if attempt.upstream.health is UpstreamHealth.DOWN:
            _retry_if_free(world, attempt, "the upstream is down", now)
        elif attempt.pieces:
            _watch_gap(world, attempt, now)
        elif attempt.request.route.kind is RouteKind.STREAM:
            _watch_opening(world, attempt, now)
        else:
            _watch_call(world, attempt, now)


def _order_by_urgency(world: ServingWorld) -> list[Attempt]:
    """Orders attempts as routing serves their requests, so that none is overtaken."""
    return sorted(
        world.requests.attempts.values(),
        key=lambda item: (not item.request.answer_started, item.request.priority),
    )


def _retry_if_free(
    world: ServingWorld, attempt: Attempt, reason: str, now: float
) -> bool:
    """Retries an attempt elsewhere if a retry is left that no waiting request takes.

    Without one, or without an upstream to take it, it goes on: its own upstream may
    only be silent, and still at work on it.
    """
    if not has_free_retry(world, attempt.request.service, now):
        return False
    if not _can_move(world, attempt, now):
        if not _can_leave_lost(world, attempt, now):
            return False
        attempt.request.left_lost_upstream = True
    retry_elsewhere(world, attempt, reason, now)
    return True


def _can_move(world: ServingWorld, attempt: Attempt, now: float) -> bool:
    """Tells whether another upstream can take an attempt's request.

    Where it would have to queue for room, it first waits for as long as an upstream
    may be silent.
    """
    others = list_healthy_alternatives(world, attempt, now)
    if not others or not can_send_beside_waiting(world, attempt.request, others, now):
        return False
    heard_at = max(attempt.upstream.last_received_at, attempt.last_received_at)
    if (
        world.find_read_until(now) - heard_at
        >= world.serving_policy.watch.gap_without_copy_s
    ):
        return True
    if _has_copy(attempt) and attempt.copy_holder in others:
        return True
    return can_start_beside_waiting(world, attempt.request, others, now)


def _has_copy(attempt: Attempt) -> bool:
    """Tells whether a healthy upstream holds a copy, which has a place there."""
    holder = attempt.copy_holder
    if holder is None or not attempt.pieces:
        return False
    return holder.health is UpstreamHealth.HEALTHY


def _can_leave_lost(world: ServingWorld, attempt: Attempt, now: float) -> bool:
    """Tells whether an attempt's upstream is lost, and another may only be silent.

    A suspected one isn't left for: its probe tells soon whether it is healthy.
    """
    if not is_lost(world, attempt.upstream):
        return False
    others = list_alternatives(world, attempt, now)
    silent = list_silent(attempt.request, others)
    return can_start_beside_waiting(world, attempt.request, silent, now)


def _watch_gap(world: ServingWorld, attempt: Attempt, now: float) -> None:
    if attempt.paused_at is not None:
        return
    policy = world.serving_policy.watch
    silent_s = world.find_read_until(now) - attempt.last_received_at
    if silent_s < _find_gap_limit_s(world, attempt):
        return
    if _has_copy(attempt) or silent_s >= policy.gap_without_copy_s:
        mark_suspected(world, attempt.upstream, "a stream is silent", now)
        _retry_if_free(world, attempt, f"no piece for {silent_s:.2f} s", now)
    elif not attempt.upstream_suspected:
        attempt.upstream_suspected = True
        mark_suspected(world, attempt.upstream, "a stream is silent", now)


def _find_gap_limit_s(world: ServingWorld, attempt: Attempt) -> float:
    """Returns the longest gap between pieces that is still normal, in seconds.

    Derived from the route's gap goal and the mean gap at the upstream.
    """
    policy = world.serving_policy.watch
    goal_limit_s = attempt.request.route.gap_goal_s * policy.gap_share or policy.gap_s
    typical_limit_s = (attempt.upstream.gap_s or 0.0) * policy.gap_times
    return max(goal_limit_s, typical_limit_s)


def _watch_opening(world: ServingWorld, attempt: Attempt, now: float) -> None:
    """Watches a stream in prefill, which can take long without any output."""
    policy = world.serving_policy.watch
    request = attempt.request
    waited_s = now - (attempt.sent_at or attempt.started_at)
    if (
        now - max(attempt.upstream.last_received_at, attempt.last_received_at)
        >= policy.probe_after_s
    ):
        probe(world, attempt.upstream, "a stream has not begun", now)
    if request.first_piece_late:
        return
    if not _is_last_chance_to_switch(world, request, waited_s, now):
        return
    if has_less_loaded_alternative(world, attempt, now):
        reason = f"no first piece for {waited_s:.2f} s"
        request.first_piece_late = _retry_if_free(world, attempt, reason, now)


def _is_last_chance_to_switch(
    world: ServingWorld, request: ServedRequest, waited_s: float, now: float
) -> bool:
    """Checks whether another upstream can still, but only just, begin in time.

    A stream that has not waited for as long as its prompt takes anywhere isn't late.
    """
    goal_s = request.route.goal_s
    left_s = request.arrived_at + goal_s - now
    opening_s = estimate_opening_s(world, request)
    if waited_s < opening_s:
        return False
    margin = world.serving_policy.attempts.opening_margin
    return opening_s <= left_s <= opening_s * margin


def _watch_call(world: ServingWorld, attempt: Attempt, now: float) -> None:
    sent_at = attempt.sent_at or attempt.started_at
    waited_s = world.find_read_until(now) - sent_at
    if waited_s < world.serving_policy.attempts.repeat_after_s:
        return
    reason = f"no answer for {waited_s:.2f} s"
    moved = _retry_if_free(world, attempt, reason, now)
    if not moved and not world.upstreams.is_registered(attempt.upstream):
        probe(world, attempt.upstream, "its registration is gone", now)
