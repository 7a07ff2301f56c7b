"""Measures the load of upstreams, and estimates when they would complete a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.load.placement import StreamWork, estimate_completion_s
from magnoliahold.core.load.rooms import EngineRoom
from magnoliahold.core.serving.loads import UpstreamLoad
from magnoliahold.core.serving.systems.paces import find_uneven

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld

PREFILL_WEIGHT = 2.0
DECODE_WEIGHT = 1.0
COPY_WEIGHT = 0.3
# Assumed time to the first piece as a share of the route's goal, used until a stream
# of the service has begun at this entry.
DEFAULT_OPENING_SHARE = 0.25


def count_own_load(upstream: Upstream) -> UpstreamLoad:
    """Counts this entry's load at an upstream."""
    if not upstream.attempts and not upstream.copies:
        return upstream.no_load
    writing = sum(attempt.pieces > 0 for attempt in upstream.attempts.values())
    reading = len(upstream.attempts) - writing
    tokens = sum(item.request.prompt_tokens for item in upstream.attempts.values())
    tokens += upstream.copied_tokens
    return UpstreamLoad(upstream.id, reading, writing, upstream.copies, tokens)


def count_total_load(world: ServingWorld, upstream: Upstream) -> UpstreamLoad:
    """Counts the load of all entries at an upstream."""
    load = count_own_load(upstream)
    peer_load = world.other_entries.loads.get(upstream.id)
    return load if peer_load is None else load.add(peer_load)


def measure_load(world: ServingWorld, upstream: Upstream) -> float:
    """Measures the load of all entries at an upstream.

    A stream in prefill counts double, since it slows down all other streams there.
    """
    load = count_total_load(world, upstream)
    return (
        PREFILL_WEIGHT * load.reading
        + DECODE_WEIGHT * load.writing
        + COPY_WEIGHT * load.copies
    )


def estimate_opening_s(world: ServingWorld, request: ServedRequest) -> float:
    """Estimates the seconds to a request's first piece, also before any was seen."""
    unknown_s = request.route.goal_s * DEFAULT_OPENING_SHARE
    return world.estimate_opening_s(request, unknown_s)


def estimate_completions(
    world: ServingWorld,
    request: ServedRequest,
    upstreams: list[Upstream],
    now: float,
) -> dict[str, float]:
    """Estimates the seconds to complete a request at each upstream, by id.

    Where all upstreams have the usual pace, these are in the order of their loads.
    """
    uneven = find_uneven(world, request.service, now)
    work = _estimate_work(world, request)
    return {
        item.id: estimate_completion_s(
            work, measure_load(world, item), uneven.get(item.id, 1.0)
        )
        for item in upstreams
    }


def estimate_run_s(world: ServingWorld, request: ServedRequest) -> float:
    """Estimates the seconds from the start of a request to its end."""
    opening_s = estimate_opening_s(world, request)
    run_s = world.mean_run_by_service.get(request.service)
    if run_s is None:
        run_s = opening_s * world.serving_policy.load.stream_prefills
    return max(opening_s, run_s)


def has_ranks(world: ServingWorld, service: str) -> bool:
    """Tells whether streams of a service differ in rank, by its routes."""
    configuration = world.configuration
    return configuration is not None and service in configuration.ranked_services


def count_places(
    world: ServingWorld, request: ServedRequest, upstream: Upstream, now: float
) -> int:
    """Counts how many more streams like a request's an upstream can take.

    One that has just rejected a request as full has no room, whatever is known of it.
    """
    if now < upstream.full_until:
        return 0
    return find_room(world, upstream).count_places(request.prompt_tokens)


def has_places(
    world: ServingWorld,
    request: ServedRequest,
    upstreams: list[Upstream],
    wanted: float,
    now: float,
) -> bool:
    """Tells whether upstreams have more than the wanted places for a request."""
    found = 0
    for upstream in upstreams:
        found += count_places(world, request, upstream, now)
        if found > wanted:
            return True
    return False


def find_room(world: ServingWorld, upstream: Upstream) -> EngineRoom:
    """Finds the room at an upstream from the loads of all entries there.

    A copy takes a place like a stream.
    """
    load = count_total_load(world, upstream)
    name = upstream.record.service
    configuration = world.configuration
    service = configuration.services_by_name.get(name) if configuration else None
    if service is None:
        return EngineRoom()
    memory_part = world.serving_policy.attempts.memory_part
    return EngineRoom(
        max_streams=service.slots,
        max_tokens=service.memory_tokens * memory_part,
        streams=load.reading + load.writing + load.copies,
        tokens=load.tokens,
    )


def _estimate_work(world: ServingWorld, request: ServedRequest) -> StreamWork:
    prefill_s = estimate_opening_s(world, request)
    return StreamWork(prefill_s, estimate_run_s(world, request))
