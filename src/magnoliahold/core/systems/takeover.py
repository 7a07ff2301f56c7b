"""Continues streams for callers that lost their connection or their entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric, RefuseRequest, SendMessage
from magnoliahold.core.events import GenerationArrived
from magnoliahold.core.generations import Generation, GenerationState
from magnoliahold.core.systems.admission import queue_generation
from magnoliahold.core.systems.relay import deliver_pending, finish_generation
from magnoliahold.wire.messages import CancelStream, StreamTaken, TakeStream

if TYPE_CHECKING:
    from magnoliahold.core.events import EventId, Received
    from magnoliahold.core.workspaces import WorkRule
    from magnoliahold.core.worlds import EntryWorld

LOST_STREAM_RETRY_AFTER_S = 0.1


def accept_reconnects(world: EntryWorld, now: float) -> None:
    """Accepts callers that reconnect with the id of the last event they received."""
    for request in world.inbox.read_events(GenerationArrived):
        last_event = request.resume_from
        if last_event is None:
            continue
        rule = world.workspaces.find_work(request.workspace, request.work)
        if rule is None or last_event.offset == 0:
            queue_generation(world, request, now)
        elif not _reattach_caller(world, request, last_event):
            _start_takeover(world, request, last_event, rule, now)


def _reattach_caller(
    world: EntryWorld, request: GenerationArrived, last_event: EventId
) -> bool:
    """Attaches a caller to its generation if this entry still has it."""
    generation = world.generations.by_lineage.get(last_event.lineage)
    if generation is None or generation.request.fingerprint != request.fingerprint:
        return False
    if generation.request.workspace != request.workspace:
        return False
    if generation.request.max_tokens != request.max_tokens:
        return False
    if generation.state is GenerationState.TAKING_OVER:
        world.generations.change_request(generation, request)
        generation.delivered = last_event.offset
        return True
    if last_event.offset > len(generation.tokens):
        return False
    world.generations.change_request(generation, request)
    generation.delivered = last_event.offset
    generation.caller_paused = False
    deliver_pending(world, generation)
    return True


def _start_takeover(
    world: EntryWorld,
    request: GenerationArrived,
    last_event: EventId,
    rule: WorkRule,
    now: float,
) -> None:
    """Requests the stream from the sidecar that the caller's last event names."""
    lineage = last_event.lineage
    if lineage in world.generations.by_lineage:
        lineage = world.make_id("lineage")
    generation = Generation(
        request=request,
        lineage=lineage,
        arrived_at=now,
        deadline_at=now + rule.deadline_s,
        interactive=rule.interactive,
        priority=rule.priority,
        state=GenerationState.TAKING_OVER,
        sidecar=last_event.sidecar,
        version=last_event.version,
        delivered=last_event.offset,
        started_at=now,
        first_token_at=now,
        lost_at=now,
    )
    world.generations.add_generation(generation)
    if lineage != last_event.lineage or not _is_reachable(world, last_event.sidecar):
        _continue_without_stream(world, generation, now)
    else:
        _request_takeover(world, generation, now)


def _is_reachable(world: EntryWorld, sidecar: str) -> bool:
    peer = world.peers.peers.get(sidecar)
    return peer is not None and not peer.lost


def _request_takeover(world: EntryWorld, generation: Generation, now: float) -> None:
    generation.last_received_at = now
    request = generation.request
    message = TakeStream(generation.lineage, request.request_id, request.fingerprint)
    timeout_s = world.policy.streams.take_patience_s
    world.emit(SendMessage(generation.sidecar, message, timeout_s))


def take_over_streams(world: EntryWorld, now: float) -> None:
    """Continues the streams that sidecars have handed over."""
    for received in world.inbox.read_messages(StreamTaken):
        message = received.message
        generation = world.generations.by_lineage.get(message.lineage)
        waiting = generation is not None and (
            generation.state is GenerationState.TAKING_OVER
            and generation.sidecar == received.sender.name
        )
        if not waiting or generation is None:
            _release_stream(world, generation, received)
        elif _matches_caller(generation, message):
            _finish_takeover(world, generation, received, now)
        else:
            _release_stream(world, None, received)
            _continue_without_stream(world, generation, now)


def _matches_caller(generation: Generation, message: StreamTaken) -> bool:
    """Returns whether a stream contains all that the caller has already received."""
    if not message.found or len(message.tokens) < generation.delivered:
        return False
    if len(message.tokens) > generation.request.max_tokens:
        return False
    prefix = generation.request.prefix
    return not prefix or message.tokens[: len(prefix)] == prefix


def _release_stream(
    world: EntryWorld,
    generation: Generation | None,
    received: Received[StreamTaken],
) -> None:
    """Cancels a stream that was handed over too late or does not fit the caller."""
    message = received.message
    if message.found and generation is None:
        cancel = CancelStream(message.lineage, message.attempt, message.owner_epoch)
        world.emit(SendMessage(received.sender.name, cancel))


def _finish_takeover(
    world: EntryWorld,
    generation: Generation,
    received: Received[StreamTaken],
    now: float,
) -> None:
    message = received.message
    generation.tokens = list(message.tokens)
    generation.first_token = message.tokens[0]
    generation.attempt = message.attempt
    generation.owner_epoch = message.owner_epoch
    generation.version = message.version
    generation.sidecar_incarnation = received.sender.incarnation
    generation.state = GenerationState.RUNNING
    generation.acked = len(generation.tokens)
    generation.attempt_offset = generation.acked
    generation.lost_at = None
    generation.last_received_at = now
    peer = world.peers.peers.get(generation.sidecar)
    if peer is not None:
        peer.assigned += 1
    world.log_decision(
        "takeover",
        "Stream taken over.",
        request=generation.request.request_id,
        sidecar=generation.sidecar,
        offset=generation.delivered,
        owner_epoch=generation.owner_epoch,
    )
    deliver_pending(world, generation)
    if message.end:
        finish_generation(world, generation, message.end)


def watch_takeovers(world: EntryWorld, now: float) -> None:
    """Repeats takeover requests, and stops waiting for sidecars that do not answer."""
    policy = world.policy.streams
    for generation in world.generations.list_in_state(GenerationState.TAKING_OVER):
        waited_s = now - generation.started_at
        reachable = _is_reachable(world, generation.sidecar)
        if not reachable or waited_s >= policy.take_patience_s:
            _continue_without_stream(world, generation, now)
        elif now - generation.last_received_at >= policy.take_retry_s:
            _request_takeover(world, generation, now)


def _continue_without_stream(
    world: EntryWorld, generation: Generation, now: float
) -> None:
    """Continues from the tokens that the caller sent back, or refuses the request."""
    request = generation.request
    has_prefix = bool(generation.version)
    has_prefix = has_prefix and len(request.prefix) == generation.delivered
    world.emit(CountMetric("takeovers_failed"))
    world.log_decision(
        "takeover",
        "Stream can't be taken over.",
        request=request.request_id,
        sidecar=generation.sidecar,
        offset=generation.delivered,
        prefix=has_prefix,
    )
    if not has_prefix:
        _refuse_lost_stream(world, generation)
        return
    lineage = world.make_id("lineage")
    world.generations.change_lineage(generation, lineage)
    generation.tokens = list(request.prefix)
    generation.first_token = request.prefix[0]
    generation.sidecar = ""
    generation.state = GenerationState.READY


def _refuse_lost_stream(world: EntryWorld, generation: Generation) -> None:
    world.generations.remove_generation(generation)
    refusal = RefuseRequest(
        generation.request.request_id,
        status=410,
        code="stream_lost",
        message="the stream was lost; send the request again without Last-Event-ID",
        ran="may_have_run",
        retry_after_s=LOST_STREAM_RETRY_AFTER_S,
    )
    world.emit(refusal)
