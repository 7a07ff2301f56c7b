"""Finds the upstreams that may take a request, and the best of them."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from magnoliahold.core.serving.systems.peer_notices import count_own_load
from magnoliahold.core.serving.systems.version_routing import filter_by_version
from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.peers import UpstreamLoad
    from magnoliahold.core.serving.requests import Attempt, ServedRequest
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld

PREFILL_WEIGHT = 2.0
DECODE_WEIGHT = 1.0
COPY_WEIGHT = 0.3
PRIOR_OUTCOMES = 2.0
MIN_COMPARED_UPSTREAMS = 3


def find_candidates(
    world: ServingWorld, request: ServedRequest, now: float
) -> list[Upstream]:
    """Finds the upstreams that may take a request, best class of them only."""
    staying = list_not_leaving(world, request.service)
    return filter_preferred(
        world, request, filter_by_version(world, request, staying, now), now
    )


def list_not_leaving(world: ServingWorld, service: str) -> list[Upstream]:
    """Lists the upstreams of a service that don't leave."""
    return [
        upstream
        for upstream in world.upstreams.list_service(service)
        if not upstream.record.leaving
    ]


def filter_preferred(
    world: ServingWorld, request: ServedRequest, staying: list[Upstream], now: float
) -> list[Upstream]:
    """Finds the best class of upstreams by all that is known of them."""
    trusted = _filter_by_health(staying)
    fresh = [
        item for item in trusted if item.id not in request.tried_upstreams
    ] or trusted
    calm = _exclude_avoided(fresh, find_needing_probe(world, fresh, now), world)
    sound = _exclude_avoided(calm, find_failing(world, calm, now), world)
    fast = _exclude_avoided(sound, find_slow(world, sound), world)
    accepting = [item for item in fast if item.full_until <= now] or fast
    return [
        item for item in accepting if fits_kv_cache(world, request, item)
    ] or accepting


def _filter_by_health(upstreams: list[Upstream]) -> list[Upstream]:
    """Finds the upstreams of the best trust there is, so that a service never empties.

    One whose registration is missing may have lapsed, and counts as doubted.
    """
    known = [
        item
        for item in upstreams
        if item.health is UpstreamHealth.HEALTHY and item.missing_since is None
    ]
    return (
        known
        or [i for i in upstreams if i.health is not UpstreamHealth.DOWN]
        or upstreams
    )


def _exclude_avoided(
    candidates: list[Upstream], avoided: set[str], world: ServingWorld
) -> list[Upstream]:
    """Leaves out upstreams on soft evidence, but never most of them."""
    if len(avoided) > len(candidates) * world.serving_policy.watch.avoided_share:
        return candidates
    return [item for item in candidates if item.id not in avoided]


def fits_kv_cache(
    world: ServingWorld, request: ServedRequest, upstream: Upstream
) -> bool:
    """Tells whether a request's prompt fits into an upstream's memory beside others.

    Without room the upstream would break off another stream and read it anew.
    """
    configuration = world.configuration
    service = configuration and configuration.services_by_name.get(request.service)
    if not service or not service.memory_tokens:
        return True
    others = world.other_entries.loads.get(upstream.id)
    held = count_own_load(upstream).tokens + (others.tokens if others else 0)
    limit = service.memory_tokens * world.serving_policy.attempts.memory_part
    return held + request.prompt_tokens <= limit


def find_needing_probe(
    world: ServingWorld, candidates: list[Upstream], now: float
) -> set[str]:
    """Finds upstreams that may have gone together with a neighbour."""
    kept_s = world.serving_policy.watch.shaken_s
    table = world.upstreams
    return {item.id for item in candidates if table.needs_probe(item, now, kept_s)}


def find_failing(
    world: ServingWorld, candidates: list[Upstream], now: float
) -> set[str]:
    """Finds upstreams that lately failed a large part of their requests."""
    policy = world.serving_policy.watch
    failing = set()
    for upstream in candidates:
        upstream.decay_outcomes(now, policy.outcome_half_life_s)
        total = upstream.failures + upstream.answers + PRIOR_OUTCOMES
        if upstream.failures / total >= policy.failing_share:
            failing.add(upstream.id)
    return failing


def find_slow(world: ServingWorld, candidates: list[Upstream]) -> set[str]:
    """Finds upstreams whose pieces or answers come far more slowly than others'."""
    times = world.serving_policy.watch.slow_times
    slow: set[str] = set()
    for means in (
        {item.id: item.gap_s for item in candidates},
        {item.id: item.opening_s for item in candidates},
    ):
        known = {key: mean for key, mean in means.items() if mean is not None}
        if len(known) < MIN_COMPARED_UPSTREAMS:
            continue
        limit = median(known.values()) * times
        slow |= {key for key, mean in known.items() if mean > limit}
    return slow


def choose_upstream(
    world: ServingWorld,
    request: ServedRequest,
    candidates: list[Upstream],
) -> Upstream:
    """Chooses the upstream that has read the prompt, or the least loaded one.

    Chance decides among equals: requests about the same thing come at the same time at
    several entries, and would all wait for one upstream to read their prompt.
    """
    known = _choose_by_prefix_cache(world, request, candidates)
    if known is not None:
        return known

    def rank(upstream: Upstream) -> tuple[float, float]:
        return (measure_load(world, upstream), world.random.random())

    return min(candidates, key=rank)


def has_less_loaded_alternative(
    world: ServingWorld, attempt: Attempt, now: float
) -> bool:
    """Tells whether another upstream has far less work than that of an attempt.

    Where all are busy, a prompt that is read anew only makes them busier.
    """
    others = [
        item
        for item in find_candidates(world, attempt.request, now)
        if item is not attempt.upstream
    ]
    if not others:
        return False
    lowest = min(measure_load(world, item) for item in others)
    share = world.serving_policy.attempts.idle_share
    return lowest <= share * measure_load(world, attempt.upstream)


def _choose_by_prefix_cache(
    world: ServingWorld, request: ServedRequest, candidates: list[Upstream]
) -> Upstream | None:
    """Finds the upstream that has read the prompt, unless it has far more load."""
    place = find_prefix_location(world, request)
    known = [item for item in candidates if item.id == place]
    if not known:
        return None
    lowest = min(measure_load(world, item) for item in candidates)
    extra = measure_load(world, known[0]) - lowest
    if extra > world.serving_policy.attempts.place_extra_load:
        return None
    return known[0]


def find_prefix_location(world: ServingWorld, request: ServedRequest) -> str | None:
    """Finds the id of the upstream that has read a request's prompt."""
    prompt = request.caller.prompt
    place = world.other_entries.places.get(prompt[-1].id) if prompt else None
    return place[0] if place is not None else None


def measure_load(world: ServingWorld, upstream: Upstream) -> float:
    """Measures the work of all entries at an upstream.

    A stream whose prompt is being read counts double, since it slows all others down.
    """
    load = count_own_load(upstream)
    others = world.other_entries.loads.get(upstream.id)
    if others is None:
        return _compute_weighted_load(load)
    return _compute_weighted_load(load) + _compute_weighted_load(others)


def _compute_weighted_load(load: UpstreamLoad) -> float:
    return (
        PREFILL_WEIGHT * load.reading
        + DECODE_WEIGHT * load.writing
        + COPY_WEIGHT * load.copies
    )
