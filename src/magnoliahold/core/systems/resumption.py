"""Resumes generations on another upstream after their attempt was lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.effects import CountMetric, RefuseRequest, SendMessage
from magnoliahold.core.generations import GenerationState
from magnoliahold.core.systems.membership import mark_leaving
from magnoliahold.core.systems.routing import end_attempt
from magnoliahold.wire.messages import CancelStream, StreamFailed

if TYPE_CHECKING:
    from magnoliahold.core.generations import Generation
    from magnoliahold.core.worlds import EntryWorld

UPSTREAM_FAILURE_REASONS = frozenset({"engine_died"})
NON_FAILURE_REASONS = frozenset({"leaving", "unknown", "expired"})


def resume_failed_attempts(world: EntryWorld, now: float) -> None:
    """Makes generations ready again after their sidecar reported a failed attempt."""
    for received in world.inbox.read_messages(StreamFailed):
        message = received.message
        generation = world.generations.by_lineage.get(message.lineage)
        if generation is None or generation.state is not GenerationState.RUNNING:
            continue
        current = (generation.attempt, generation.sidecar)
        if current != (message.attempt, received.sender.name):
            continue
        if message.reason == "fenced":
            _end_taken_over(world, generation)
            continue
        _record_upstream_failure(world, generation, message.reason, now)
        resume_generation(world, generation, message.reason, now)


def _end_taken_over(world: EntryWorld, generation: Generation) -> None:
    """Ends a generation that another entry has taken over for its caller."""
    end_attempt(world, generation)
    world.generations.remove_generation(generation)
    refusal = RefuseRequest(
        generation.request.request_id,
        status=409,
        code="stream_taken",
        message="another connection continues this stream; read on there",
    )
    world.emit(refusal)


def _record_upstream_failure(
    world: EntryWorld, generation: Generation, reason: str, now: float
) -> None:
    """Stops routing to an upstream that has failed or is leaving.

    A failed upstream is used again after its next heartbeat.
    """
    peer = world.peers.peers.get(generation.sidecar)
    if peer is None:
        return
    if reason in UPSTREAM_FAILURE_REASONS and peer.report is not None:
        peer.report = evolve(peer.report, ready=False)
    if reason == "leaving":
        mark_leaving(peer, now)


def resume_lost_attempts(world: EntryWorld, now: float) -> None:
    """Makes generations ready again when their sidecar is lost or has restarted."""
    table = world.peers
    if not table.has_losses and now < table.next_loss_scan_at:
        return
    table.has_losses = False
    table.next_loss_scan_at = now + world.policy.tick_s
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
    cancel = CancelStream(
        generation.lineage, generation.attempt, generation.owner_epoch
    )
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
    if reason not in NON_FAILURE_REASONS:
        generation.excluded_sidecars.add(generation.sidecar)
        generation.failures += 1
    end_attempt(world, generation)
    if generation.lost_at is None:
        generation.lost_at = generation.last_token_at or now
    generation.state = GenerationState.READY
    if not world.policy.streams.resume_by_prefix:
        restart_generation(world, generation)


def restart_generation(world: EntryWorld, generation: Generation) -> None:
    """Starts a generation again from offset 0 as a new lineage."""
    lineage = world.make_id("lineage")
    world.generations.change_lineage(generation, lineage)
    generation.tokens.clear()
    generation.delivered = 0
    generation.attempt = 0
    generation.owner_epoch = 1
