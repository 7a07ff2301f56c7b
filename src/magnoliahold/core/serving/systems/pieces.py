"""Forwards the pieces of streams to callers, each piece number once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import RecordMetric
from magnoliahold.core.serving.effects import (
    CloseAttempt,
    DeliverPieces,
    DeliverRest,
    OpenAnswer,
)
from magnoliahold.core.serving.events import (
    PiecesReceived,
    StreamEnded,
    StreamOpened,
)
from magnoliahold.core.serving.openings import OpeningModel
from magnoliahold.core.serving.requests import AttemptState
from magnoliahold.core.serving.systems.canary_analysis import count_latency
from magnoliahold.core.serving.systems.completion import finish_stream
from magnoliahold.core.serving.systems.copies import free_copy
from magnoliahold.core.serving.systems.crashes import has_begun, record_begin
from magnoliahold.core.serving.systems.outcomes import answers_other_request
from magnoliahold.core.serving.systems.paces import record_gap
from magnoliahold.core.serving.systems.peer_notices import record_prefix_location
from magnoliahold.core.serving.systems.retries import count_outcome, fail_sent_attempt
from magnoliahold.core.serving.systems.upstream_health import mark_healthy
from magnoliahold.core.serving.upstreams import update_moving_average

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import Attempt
    from magnoliahold.core.serving.world import ServingWorld


def open_streams(world: ServingWorld, now: float) -> None:
    """Starts the caller's answer when an upstream first starts its own."""
    for opened in world.inbox.read_events(StreamOpened):
        attempt = world.requests.attempts.get(opened.attempt)
        if attempt is None:
            continue
        if answers_other_request(opened.head, attempt) or not opened.head.signed:
            fail_sent_attempt(world, attempt, "the stream is of another request", now)
            continue
        mark_healthy(world, attempt.upstream, now)
        attempt.last_received_at = now
        attempt.state = AttemptState.STREAMING
        request = attempt.request
        if not request.answer_started:
            request.answer_started = True
            world.emit(OpenAnswer(request.handle, attempt.number))


def deliver_pieces(world: ServingWorld, now: float) -> None:
    """Forwards the pieces of running streams, each piece number once."""
    for received in world.inbox.read_events(PiecesReceived):
        attempt = world.requests.attempts.get(received.attempt)
        if attempt is None or attempt.state is not AttemptState.STREAMING:
            continue
        _record_pieces(world, attempt, received.count, now)
        request = attempt.request
        if request.last_piece is not None and received.last <= request.last_piece:
            continue
        world.emit(DeliverPieces(request.handle, attempt.number, request.last_piece))
        request.last_piece = received.last


def _record_pieces(
    world: ServingWorld, attempt: Attempt, count: int, now: float
) -> None:
    upstream = attempt.upstream
    mark_healthy(world, upstream, now)
    if attempt.first_piece_at is None:
        attempt.first_piece_at = now
        if attempt.request.caller.prompt:
            part = attempt.request.caller.prompt[-1].id
            record_prefix_location(world, part, upstream.id, now)
        if attempt.sent_at is not None:
            opening_s = now - attempt.sent_at
            upstream.opening_s = update_moving_average(upstream.opening_s, opening_s)
            count_latency(world, attempt, opening_s)
            model = world.openings.setdefault(
                attempt.request.service, OpeningModel(opening_s)
            )
            model.add(attempt.request.prompt_tokens, opening_s)
            world.emit(RecordMetric("first_piece_seconds", opening_s))
    elif attempt.last_piece_at is not None:
        gap_s = (now - attempt.last_piece_at) / count
        upstream.gap_s = update_moving_average(upstream.gap_s, gap_s)
        if attempt.paused_at is None:
            record_gap(world, attempt, gap_s, now)
    _record_begin_once(world, attempt, now)
    attempt.last_piece_at = now
    attempt.last_received_at = now
    attempt.pieces += count


def _record_begin_once(world: ServingWorld, attempt: Attempt, now: float) -> None:
    """Records that a stream has begun, once its upstream has lived on for a while."""
    if not attempt.begun and has_begun(world, attempt, now):
        attempt.begun = True
        record_begin(world, attempt, now)


def end_streams(world: ServingWorld, now: float) -> None:
    """Finishes the answers of streams that were completed."""
    for ended in world.inbox.read_events(StreamEnded):
        attempt = world.requests.attempts.get(ended.attempt)
        if attempt is not None:
            count_outcome(world, attempt, False, now)
            record_begin(world, attempt, now)
            world.requests.end_attempt(attempt)
            if ended.has_rest:
                world.emit(DeliverRest(attempt.request.handle, attempt.number))
            world.emit(CloseAttempt(attempt.number))
            free_copy(world, attempt, now)
            _record_stream_duration(world, attempt, now)
            finish_stream(world, attempt.request, now)


def _record_stream_duration(world: ServingWorld, attempt: Attempt, now: float) -> None:
    service = attempt.request.service
    duration_s = now - attempt.request.arrived_at - attempt.paused_s
    world.durations.add(service, attempt.request.route.kind, duration_s)
    if attempt.request.send_count == 1:
        run_s = now - attempt.started_at - attempt.paused_s
        world.mean_run_by_service[service] = update_moving_average(
            world.mean_run_by_service.get(service), run_s
        )
