"""Relays the tokens of running generations to their callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import (
    CountMetric,
    DeliverTokens,
    FinishGeneration,
    RecordMetric,
    SendMessage,
)
from magnoliahold.core.events import CallerDisconnected, CallerPaused, CallerResumed
from magnoliahold.core.generations import GenerationState
from magnoliahold.core.systems.routing import end_attempt
from magnoliahold.core.systems.slow_upstreams import record_first_token_latency
from magnoliahold.wire.messages import AckTokens, CancelStream, StreamTokens

if TYPE_CHECKING:
    from magnoliahold.core.events import Received
    from magnoliahold.core.generations import Generation
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.worlds import EntryWorld

RESEND_INTERVAL_S = 0.1
MAX_BACKOFF_DOUBLINGS = 8
LENGTH_REACHED = "length"


def relay_tokens(world: EntryWorld, now: float) -> None:
    """Accepts tokens of current attempts in order and delivers them."""
    for received in world.inbox.read_messages(StreamTokens):
        generation = find_current_generation(world, received)
        if generation is None:
            _cancel_outdated(world, received)
        else:
            _accept_tokens(world, generation, received.message, now)


def find_current_generation(
    world: EntryWorld, received: Received[StreamTokens]
) -> Generation | None:
    """Finds the generation whose current attempt a message belongs to."""
    message = received.message
    generation = world.generations.by_lineage.get(message.lineage)
    if generation is None or generation.state is not GenerationState.RUNNING:
        return None
    same_attempt = generation.attempt == message.attempt
    same_sidecar = generation.sidecar == received.sender.name
    same_incarnation = generation.sidecar_incarnation == received.sender.incarnation
    return generation if same_attempt and same_sidecar and same_incarnation else None


def _cancel_outdated(world: EntryWorld, received: Received[StreamTokens]) -> None:
    """Cancels an attempt that is no longer current, such as one of a lost engine.

    A stream that is being taken over is current, but its new tokens are ignored until
    those produced so far have been handed over.
    """
    message = received.message
    known = world.generations.by_lineage.get(message.lineage)
    if known is not None and known.state is GenerationState.TAKING_OVER:
        return
    if known is None or known.attempt != message.attempt or not known.sidecar:
        epoch = known.owner_epoch if known else 0
        cancel = CancelStream(message.lineage, message.attempt, epoch)
        world.emit(SendMessage(received.sender.name, cancel))
        labels = {"reason": "outdated"}
        world.emit(CountMetric("tokens_dropped", len(message.tokens), labels))


def _accept_tokens(
    world: EntryWorld, generation: Generation, message: StreamTokens, now: float
) -> None:
    generation.last_received_at = now
    generation.resyncs = 0
    expected = len(generation.tokens)
    if message.offset > expected:
        _request_resend(world, generation, now)
        return
    offered = message.tokens[expected - message.offset :]
    fresh = offered[: generation.request.max_tokens - expected]
    if fresh:
        _record_first_token(world, generation, now)
        _record_resumption(world, generation, now)
        generation.tokens.extend(fresh)
        generation.last_token_at = now
        deliver_pending(world, generation)
        _acknowledge(world, generation)
    ends_here = message.offset + len(message.tokens) == len(generation.tokens)
    if len(fresh) < len(offered):
        _end_at_token_limit(world, generation)
    elif message.end and ends_here:
        finish_generation(world, generation, message.end)


def _end_at_token_limit(world: EntryWorld, generation: Generation) -> None:
    """Ends a generation whose stream was started with a higher token limit.

    A caller may reconnect to a stream with a lower limit than it began with.
    """
    cancel = CancelStream(
        generation.lineage, generation.attempt, generation.owner_epoch
    )
    world.emit(SendMessage(generation.sidecar, cancel))
    finish_generation(world, generation, LENGTH_REACHED)


def _record_first_token(world: EntryWorld, generation: Generation, now: float) -> None:
    if generation.first_token_at is not None:
        return
    generation.first_token_at = now
    record_first_token_latency(world, generation, now)
    wait_s = now - generation.arrived_at
    labels = {"work": generation.request.work}
    world.emit(RecordMetric("first_token_seconds", wait_s, labels))


def _record_resumption(world: EntryWorld, generation: Generation, now: float) -> None:
    if generation.lost_at is None:
        return
    world.emit(RecordMetric("resume_seconds", now - generation.lost_at))
    generation.lost_at = None


def deliver_pending(world: EntryWorld, generation: Generation) -> None:
    """Delivers accepted tokens that the caller does not have yet."""
    pending = tuple(generation.tokens[generation.delivered :])
    if not pending:
        return
    if generation.delivered == 0:
        generation.first_token = pending[0]
    effect = DeliverTokens(
        request_id=generation.request.request_id,
        offset=generation.delivered,
        tokens=pending,
        lineage=generation.lineage,
        sidecar=generation.sidecar,
        version=generation.version,
    )
    generation.delivered += len(pending)
    world.emit(effect)


def _request_resend(world: EntryWorld, generation: Generation, now: float) -> None:
    if now - generation.resend_requested_at < RESEND_INTERVAL_S:
        return
    generation.resend_requested_at = now
    send_ack(world, generation, resend=True)


def resync_silent_streams(world: EntryWorld, now: float) -> None:
    """Requests resends for silent streams, in case a message or a link was lost.

    The sidecar then resends what was not acknowledged, or reports that the attempt is
    unknown to it. After a link was replaced, the request is sent at once.
    """
    table = world.generations
    if now < table.next_watch_at:
        return
    table.next_watch_at = now + world.policy.tick_s
    for generation in table.list_in_state(GenerationState.RUNNING):
        if not generation.caller_paused and _is_resync_due(world, generation, now):
            generation.resyncs += 1
            generation.resend_requested_at = now
            send_ack(world, generation, resend=True)


def _is_resync_due(world: EntryWorld, generation: Generation, now: float) -> bool:
    policy = world.policy.streams
    last_activity_at = max(generation.last_received_at, generation.resend_requested_at)
    peer = world.peers.peers.get(generation.sidecar)
    if peer is not None and _was_link_replaced(peer, generation.resend_requested_at):
        return True
    backoff = 1 << min(generation.resyncs, MAX_BACKOFF_DOUBLINGS)
    return now - last_activity_at >= min(
        policy.ask_again_s * backoff, policy.ask_again_max_s
    )


def _was_link_replaced(peer: Peer, since: float) -> bool:
    """Returns whether a peer has sent data on a link that was opened after a time."""
    if peer.last_received_at is None or peer.lost:
        return False
    return peer.last_received_at > peer.link_opened_at > since


def _acknowledge(world: EntryWorld, generation: Generation) -> None:
    interval = world.policy.streams.ack_interval_tokens
    if generation.caller_paused:
        return
    if len(generation.tokens) - generation.acked >= interval:
        send_ack(world, generation)


def send_ack(
    world: EntryWorld, generation: Generation, *, resend: bool = False
) -> None:
    """Acknowledges the accepted tokens of a generation to its sidecar."""
    offset = len(generation.tokens)
    generation.acked = offset
    ack = AckTokens(generation.lineage, generation.attempt, offset, resend)
    world.emit(SendMessage(generation.sidecar, ack))


def finish_generation(world: EntryWorld, generation: Generation, reason: str) -> None:
    """Closes a generation after its last token and frees the sidecar's buffer."""
    send_ack(world, generation)
    end_attempt(world, generation)
    world.generations.remove_generation(generation)
    request = generation.request
    count = len(generation.tokens)
    if generation.delivered != count:
        world.reported_violations.append(
            f"{request.request_id}: closed before its last token"
        )
    world.emit(FinishGeneration(request.request_id, reason, count))
    labels = {"work": request.work, "reason": reason}
    world.emit(CountMetric("generations_finished", 1, labels))


def handle_caller_events(world: EntryWorld, now: float) -> None:
    """Holds back streams of slow callers and cancels those of disconnected callers."""
    by_request = world.generations.by_request
    for paused in world.inbox.read_events(CallerPaused):
        generation = by_request.get(paused.request_id)
        if generation is not None:
            generation.caller_paused = True
    for resumed in world.inbox.read_events(CallerResumed):
        generation = by_request.get(resumed.request_id)
        if generation is not None:
            generation.caller_paused = False
            if generation.state is GenerationState.RUNNING:
                send_ack(world, generation)
    for gone in world.inbox.read_events(CallerDisconnected):
        generation = by_request.get(gone.request_id)
        if generation is not None:
            cancel_generation(world, generation)


def cancel_generation(world: EntryWorld, generation: Generation) -> None:
    """Removes a generation; the sidecar keeps its stream for a reconnect."""
    if generation.state is GenerationState.RUNNING:
        keep_s = world.policy.streams.caller_grace_s
        cancel = CancelStream(
            generation.lineage, generation.attempt, generation.owner_epoch, keep_s
        )
        world.emit(SendMessage(generation.sidecar, cancel))
        end_attempt(world, generation)
    world.generations.remove_generation(generation)
