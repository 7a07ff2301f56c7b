"""Finds the upstreams that have read the prompts of streams that come back.

An entry learns where prompts were read from its own streams and from the notices of the
others. After a restart, or when all entries were lost, it asks the upstreams: a stream
that goes on where its prompt is kept needs no second reading.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.serving.effects import ListPrompts
from magnoliahold.core.serving.events import PromptListFailed, PromptsListed
from magnoliahold.core.serving.lookups import PromptLookup
from magnoliahold.core.serving.systems.completion import find_deadline_rejection, refuse
from magnoliahold.core.serving.systems.peer_notices import record_prefix_location
from magnoliahold.core.serving.systems.selection import find_prefix_location
from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.world import ServingWorld


def needs_prefix_lookup(
    world: ServingWorld, request: ServedRequest, now: float
) -> bool:
    """Tells whether a stream comes back whose prompt was read at an unknown place.

    One with too little time for a first piece has been elsewhere before.
    """
    configuration = world.configuration
    service = configuration and configuration.services_by_name.get(request.service)
    if not service or not service.keeps_prompts or not request.caller.prompt:
        return False
    if request.last_piece is None and not find_deadline_rejection(world, request, now):
        return False
    return find_prefix_location(world, request) not in world.upstreams.by_id


def start_prefix_lookup(
    world: ServingWorld, request: ServedRequest, now: float
) -> None:
    """Has a request wait for what the upstreams say of its prompt."""
    service = request.service
    lookup = world.lookups.get(service)
    if (
        lookup is None
        or now - lookup.started_at > world.serving_policy.attempts.lookup_kept_s
    ):
        lookup = _query_upstreams(world, service, now)
    request.awaiting_lookup = bool(lookup.pending)


def _query_upstreams(world: ServingWorld, service: str, now: float) -> PromptLookup:
    lookup = PromptLookup(now)
    world.lookups[service] = lookup
    for upstream in world.upstreams.list_service(service):
        if upstream.health is UpstreamHealth.HEALTHY and not upstream.record.leaving:
            lookup.pending.add(upstream.id)
            timeout_s = world.serving_policy.attempts.lookup_s
            world.emit(ListPrompts(upstream.record, timeout_s))
    world.log_decision(
        "prompts", "Upstreams asked.", service=service, asked=len(lookup.pending)
    )
    return lookup


def apply_prompt_lists(world: ServingWorld, now: float) -> None:
    """Notes where prompts were read, and lets the streams go on that wait for it."""
    for listed in world.inbox.read_events(PromptsListed):
        _mark_answered(world, listed.upstream_id)
        for part in listed.parts:
            record_prefix_location(world, part, listed.upstream_id, now)
    for failed in world.inbox.read_events(PromptListFailed):
        _mark_answered(world, failed.upstream_id)
        world.log_decision(
            "prompts",
            "Upstream told nothing.",
            upstream=failed.upstream_id,
            reason=failed.reason,
        )
    for request in list(world.requests.waiting.values()):
        if request.awaiting_lookup:
            _finish_lookup(world, request, now)


def _mark_answered(world: ServingWorld, upstream_id: str) -> None:
    for lookup in world.lookups.values():
        lookup.pending.discard(upstream_id)


def _finish_lookup(world: ServingWorld, request: ServedRequest, now: float) -> None:
    """Lets a stream go on once its prompt is found, or all have answered."""
    lookup = world.lookups[request.service]
    place = find_prefix_location(world, request)
    if place is None and lookup.pending:
        return
    request.awaiting_lookup = False
    world.log_decision(
        "prompts",
        "Prompt looked up.",
        request=request.id,
        place=place,
        seconds=round(now - lookup.started_at, 3),
    )
    obstacle = "" if place else find_deadline_rejection(world, request, now)
    if obstacle:
        refuse(world, request, obstacle, now)
