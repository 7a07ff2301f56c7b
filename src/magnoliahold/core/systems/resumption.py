"""Continues generations whose attempt was lost on another upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric, SendMessage
from magnoliahold.core.generations import GenerationState
from magnoliahold.core.systems.routing import end_attempt
from magnoliahold.wire.messages import CancelStream, StreamFailed

if TYPE_CHECKING:
    from magnoliahold.core.generations import Generation
    from magnoliahold.core.worlds import EntryWorld


def resume_failed(world: EntryWorld, now: float) -> None:
    """Makes generations ready again whose sidecar reports a failed attempt."""
    for received in world.inbox.read_messages(StreamFailed):
        message = received.message
        generation = world.generations.by_lineage.get(message.lineage)
        if generation is None or generation.state is not GenerationState.RUNNING:
            continue
        if generation.attempt == message.attempt:
            resume_generation(world, generation, message.reason, now)


def resume_lost(world: EntryWorld, now: float) -> None:
    """Makes generations ready again whose sidecar is lost or has restarted."""
    for generation in world.generations.list_in_state(GenerationState.RUNNING):
        peer = world.peers.peers.get(generation.sidecar)
        if peer is None or peer.lost:
            resume_generation(world, generation, "sidecar_lost", now)
        elif peer.incarnation != generation.sidecar_incarnation:
            resume_generation(world, generation, "sidecar_restarted", now)


def resume_generation(
    world: EntryWorld, generation: Generation, reason: str, now: float
) -> None:
    """Ends the current attempt and makes the generation ready for the next."""
    cancel = CancelStream(generation.lineage, generation.attempt)
    world.emit(SendMessage(generation.sidecar, cancel))
    world.log_decision(
        "resumption",
        "Attempt lost, resuming.",
        request=generation.request.request_id,
        sidecar=generation.sidecar,
        attempt=generation.attempt,
        offset=len(generation.tokens),
        reason=reason,
    )
    world.emit(CountMetric("attempts_lost", 1, {"reason": reason}))
    generation.excluded.add(generation.sidecar)
    end_attempt(world, generation)
    generation.failures += 1
    if generation.lost_at is None:
        generation.lost_at = generation.last_token_at or now
    generation.state = GenerationState.READY
