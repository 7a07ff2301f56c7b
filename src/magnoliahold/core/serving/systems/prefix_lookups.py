"""Finds the upstreams that have cached the prompts of resumed streams.

An entry records where prompts are cached from its own streams and from the notices of
other entries. After a restart, or after the loss of all entries, it asks the upstreams:
a stream that resumes where its prompt is cached needs no second prefill.
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
    """Checks whether a stream may have been prefilled before at an unknown upstream.

    That holds if it resumes, or if it has too little time left for a first piece: it
    was probably sent to another entry before.
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
    """Makes a request wait until the upstreams have listed the prompts they cache."""
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
        if upstream.health is UpstreamHealth.HEALTHY and upstream.is_available(now):
            lookup.pending.add(upstream.id)
            timeout_s = world.serving_policy.attempts.lookup_s
            world.emit(ListPrompts(upstream.record, timeout_s))
    world.log_decision(
        "prompts", "Prompt lists requested.", service=service, asked=len(lookup.pending)
    )
    return lookup


def apply_prompt_lists(world: ServingWorld, now: float) -> None:
    """Records where prompts are cached, and releases the streams that wait for it."""
    for listed in world.inbox.read_events(PromptsListed):
        _mark_answered(world, listed.upstream_id)
        for part in listed.parts:
            record_prefix_location(world, part, listed.upstream_id, now)
    for failed in world.inbox.read_events(PromptListFailed):
        _mark_answered(world, failed.upstream_id)
        world.log_decision(
            "prompts",
            "Prompt list request failed.",
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
    """Releases a stream once its prompt is located or all upstreams have answered."""
    lookup = world.lookups[request.service]
    upstream_id = find_prefix_location(world, request)
    if upstream_id is None and lookup.pending:
        return
    request.awaiting_lookup = False
    world.log_decision(
        "prompts",
        "Prompt lookup finished.",
        request=request.id,
        place=upstream_id,
        seconds=round(now - lookup.started_at, 3),
    )
    rejection_reason = (
        "" if upstream_id else find_deadline_rejection(world, request, now)
    )
    if rejection_reason:
        refuse(world, request, rejection_reason, now)
