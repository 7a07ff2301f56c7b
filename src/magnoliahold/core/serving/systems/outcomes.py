"""Judges what comes of attempts and delivers what callers may have."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric, RecordMetric
from magnoliahold.core.serving.effects import DeliverPieces, OpenAnswer
from magnoliahold.core.serving.events import (
    AnswerReceived,
    AttemptBroke,
    AttemptSent,
    AttemptUnsent,
    PiecesReceived,
    StreamEnded,
    StreamOpened,
)
from magnoliahold.core.serving.requests import AttemptState, MemoryCopy
from magnoliahold.core.serving.systems.endings import (
    deliver_answer,
    drop_attempt,
    finish_stream,
    refuse,
)
from magnoliahold.core.serving.systems.sharing import note_place
from magnoliahold.core.serving.systems.trust import distrust, doubt, note_alive
from magnoliahold.core.serving.upstreams import Trust

if TYPE_CHECKING:
    from magnoliahold.core.serving.events import AnswerHead
    from magnoliahold.core.serving.requests import Attempt, ServedRequest
    from magnoliahold.core.serving.world import ServingWorld

MEAN_WEIGHT = 0.2
LOWEST_FAILURE = 500
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


def take_sends(world: ServingWorld, now: float) -> None:
    """Notes which attempts were handed to a connection, and which could not be."""
    for sent in world.inbox.read_events(AttemptSent):
        attempt = world.requests.attempts.get(sent.attempt)
        if attempt is not None and attempt.state is AttemptState.CONNECTING:
            attempt.state = AttemptState.SENT
            attempt.sent_at = now
            attempt.heard_at = now
    for unsent in world.inbox.read_events(AttemptUnsent):
        attempt = world.requests.attempts.get(unsent.attempt)
        if attempt is None:
            continue
        distrust(world, attempt.upstream, unsent.reason, now)
        attempt.request.handed -= 1
        attempt.state = AttemptState.CONNECTING
        try_again(world, attempt, unsent.reason, now)


def take_answers(world: ServingWorld, now: float) -> None:
    """Delivers whole answers, or tries again where that is allowed."""
    for received in world.inbox.read_events(AnswerReceived):
        attempt = world.requests.attempts.get(received.attempt)
        if attempt is not None:
            _judge_answer(world, attempt, received.head, now)


def _judge_answer(
    world: ServingWorld, attempt: Attempt, head: AnswerHead, now: float
) -> None:
    request = attempt.request
    if _is_of_another(head, attempt):
        _break_off(world, attempt, "the answer is of another request", now)
        return
    note_alive(world, attempt.upstream, now)
    if head.not_run:
        _take_rejection(world, attempt, head, now)
        return
    failed = head.status >= LOWEST_FAILURE
    _count_outcome(world, attempt, failed, now)
    if not head.signed or head.status in PROMISES_NOT_RUN:
        _break_off(world, attempt, f"unusable answer, status {head.status}", now)
        return
    if (failed and may_try_again(world, request, now)) or request.opened:
        _break_off(world, attempt, f"the upstream failed, {head.status}", now)
        return
    if not failed:
        _note_duration(attempt, now)
    world.requests.end_attempt(attempt)
    deliver_answer(world, request, attempt.number, head.status, now)


def _is_of_another(head: AnswerHead, attempt: Attempt) -> bool:
    if not head.request_id:
        return not head.not_run
    return head.request_id != attempt.request.id


def _take_rejection(
    world: ServingWorld, attempt: Attempt, head: AnswerHead, now: float
) -> None:
    """Tries another upstream: this one says that it has not run the request."""
    upstream = attempt.upstream
    if attempt.continued is None:
        upstream.full_until = now + world.serving.attempts.full_s
    if head.misdirected:
        distrust(world, upstream, "another upstream has its address", now)
    attempt.state = AttemptState.CONNECTING
    attempt.sent_at = None
    try_again(world, attempt, f"rejected, status {head.status}", now)


def _count_outcome(
    world: ServingWorld, attempt: Attempt, failed: bool, now: float
) -> None:
    upstream = attempt.upstream
    upstream.fade_outcomes(now, world.serving.watch.outcome_half_life_s)
    if failed:
        upstream.failures += 1
    else:
        upstream.answers += 1


def _note_duration(attempt: Attempt, now: float) -> None:
    if attempt.sent_at is not None:
        upstream = attempt.upstream
        upstream.opening_s = mix_mean(upstream.opening_s, now - attempt.sent_at)


def mix_mean(mean: float | None, value: float) -> float:
    """Moves a mean a step towards a new value."""
    return value if mean is None else mean + MEAN_WEIGHT * (value - mean)


def open_streams(world: ServingWorld, now: float) -> None:
    """Starts the caller's answer when the first upstream starts its own."""
    for opened in world.inbox.read_events(StreamOpened):
        attempt = world.requests.attempts.get(opened.attempt)
        if attempt is None:
            continue
        if _is_of_another(opened.head, attempt) or not opened.head.signed:
            _break_off(world, attempt, "the stream is of another request", now)
            continue
        note_alive(world, attempt.upstream, now)
        attempt.heard_at = now
        attempt.state = AttemptState.STREAMING
        request = attempt.request
        if not request.opened:
            request.opened = True
            world.emit(OpenAnswer(request.handle, attempt.number))


def deliver_pieces(world: ServingWorld, now: float) -> None:
    """Passes on the pieces of running streams, each number once."""
    for received in world.inbox.read_events(PiecesReceived):
        attempt = world.requests.attempts.get(received.attempt)
        if attempt is None or attempt.state is not AttemptState.STREAMING:
            continue
        _note_pieces(world, attempt, received.count, now)
        request = attempt.request
        if request.last_piece is not None and received.last <= request.last_piece:
            continue
        world.emit(DeliverPieces(request.handle, attempt.number, request.last_piece))
        request.last_piece = received.last


def _note_pieces(world: ServingWorld, attempt: Attempt, count: int, now: float) -> None:
    upstream = attempt.upstream
    note_alive(world, upstream, now)
    if attempt.first_piece_at is None:
        attempt.first_piece_at = now
        if attempt.request.caller.prompt:
            part = attempt.request.caller.prompt[-1].id
            note_place(world, part, upstream.id, now)
        if attempt.sent_at is not None:
            opening_s = now - attempt.sent_at
            upstream.opening_s = mix_mean(upstream.opening_s, opening_s)
            openings = world.openings
            service = attempt.request.service
            openings[service] = mix_mean(openings.get(service), opening_s)
            world.emit(RecordMetric("first_piece_seconds", opening_s))
    elif attempt.last_piece_at is not None:
        gap_s = (now - attempt.last_piece_at) / count
        upstream.gap_s = mix_mean(upstream.gap_s, gap_s)
    attempt.last_piece_at = now
    attempt.heard_at = now
    attempt.pieces += count


def end_streams(world: ServingWorld, now: float) -> None:
    """Ends the answers of streams that came to their proper end."""
    for ended in world.inbox.read_events(StreamEnded):
        attempt = world.requests.attempts.get(ended.attempt)
        if attempt is not None:
            _count_outcome(world, attempt, False, now)
            world.requests.end_attempt(attempt)
            _note_stream(world, attempt.request, now)
            finish_stream(world, attempt.request, now)


def _note_stream(world: ServingWorld, request: ServedRequest, now: float) -> None:
    service = request.service
    duration_s = now - request.arrived_at
    world.durations[service] = mix_mean(world.durations.get(service), duration_s)


def take_breaks(world: ServingWorld, now: float) -> None:
    """Goes on elsewhere with attempts whose connection ended early."""
    for broke in world.inbox.read_events(AttemptBroke):
        attempt = world.requests.attempts.get(broke.attempt)
        if attempt is None:
            continue
        _count_outcome(world, attempt, True, now)
        if broke.reset:
            doubt(world, attempt.upstream, broke.reason, now)
        _break_off(world, attempt, broke.reason, now)


def _break_off(world: ServingWorld, attempt: Attempt, reason: str, now: float) -> None:
    """Ends an attempt that was sent, and goes on where that is allowed."""
    if attempt.state is AttemptState.CONNECTING:
        attempt.state = AttemptState.SENT
    try_again(world, attempt, reason, now)


def move_request(
    world: ServingWorld, attempt: Attempt, reason: str, now: float
) -> None:
    """Takes a request off an upstream that doesn't serve it, and goes on elsewhere."""
    _count_outcome(world, attempt, True, now)
    try_again(world, attempt, reason, now)


def try_again(world: ServingWorld, attempt: Attempt, reason: str, now: float) -> None:
    """Closes an attempt and lets its request go on, or gives the request up."""
    request = attempt.request
    _remember_copy(attempt)
    request.tried.add(attempt.upstream.id)
    drop_attempt(world, attempt)
    world.emit(CountMetric("attempts_lost"))
    allowed = may_try_again(world, request, now)
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
        request.trouble = reason
        request.retry_at = now
        world.requests.wait_again(request)
    else:
        refuse(world, request, reason, now)


def _remember_copy(attempt: Attempt) -> None:
    """Keeps where a copy of the attempt's memory lies, if there is one."""
    request = attempt.request
    holder = attempt.copy_holder
    request.copy = None
    if holder is not None and attempt.sent_at is not None:
        request.copy = MemoryCopy(holder, request.id)


def may_try_again(world: ServingWorld, request: ServedRequest, now: float) -> bool:
    """Tells whether another upstream may be handed this request."""
    if not request.route.repeatable and _may_have_run(request):
        return False
    if request.handed >= request.route.max_attempts:
        return False
    if now >= request.deadline_at:
        return False
    if request.handed == 0:
        return True
    return world.find_budget(request.service).count_left(now) >= 1


def _may_have_run(request: ServedRequest) -> bool:
    attempt = request.attempt
    runs = attempt is not None and attempt.state is not AttemptState.CONNECTING
    return request.may_have_run or runs


def is_lost(attempt: Attempt) -> bool:
    """Tells whether the upstream of an attempt is taken for lost."""
    return attempt.upstream.trust is Trust.DOWN
