"""Admits generations, or refuses them early with a time to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import RefuseRequest
from magnoliahold.core.events import GenerationArrived
from magnoliahold.core.generations import Generation, GenerationState
from magnoliahold.core.systems.suspects import refuse_quarantined

if TYPE_CHECKING:
    from magnoliahold.core.worlds import EntryWorld


def queue_generations(world: EntryWorld, now: float) -> None:
    """Puts arrived generations in the queue of their workspace."""
    for request in world.inbox.read_events(GenerationArrived):
        if request.resume_from is None:
            queue_generation(world, request, now)


def queue_generation(world: EntryWorld, request: GenerationArrived, now: float) -> None:
    """Queues one generation that starts from offset 0, or refuses it."""
    rule = world.workspaces.find_work(request.workspace, request.work)
    if rule is None:
        refusal = RefuseRequest(
            request.request_id,
            status=404,
            code="unknown_work",
            message=f"the workspace has no work {request.work!r}",
        )
        world.emit(refusal)
        return
    if refuse_quarantined(world, request.request_id, request.fingerprint, now):
        return
    generation = Generation(
        request=request,
        lineage=world.make_id("lineage"),
        arrived_at=now,
        deadline_at=now + rule.deadline_s,
        interactive=rule.interactive,
        priority=rule.priority,
    )
    world.generations.add_generation(generation)


def admit_generations(world: EntryWorld, now: float) -> None:
    """Makes queued generations ready for an upstream."""
    for generation in world.generations.list_in_state(GenerationState.QUEUED):
        generation.state = GenerationState.READY
