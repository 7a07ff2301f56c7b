"""Selects the upstreams that may serve a request and the best one of them."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from magnoliahold.core.serving.systems.loads import (
    count_own_load,
    estimate_completions,
    measure_load,
)
from magnoliahold.core.serving.systems.version_routing import filter_by_version
from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import Attempt, ServedRequest
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld

PRIOR_OUTCOMES = 2.0
MIN_COMPARED_UPSTREAMS = 3


def find_candidates(
    world: ServingWorld, request: ServedRequest, now: float
) -> list[Upstream]:
    """Finds the preferred upstreams for a request."""
    return filter_preferred(world, request, _list_open(world, request, now), now)


def find_healthy_candidates(
    world: ServingWorld, request: ServedRequest, now: float
) -> list[Upstream]:
    """Finds all healthy upstreams that a request may go to, preferred or not."""
    return filter_by_health(_list_open(world, request, now))


def _list_open(
    world: ServingWorld, request: ServedRequest, now: float
) -> list[Upstream]:
    """Lists the upstreams of its version that may get a request now.

    None of them has just refused a connection and is still down.
    """
    allowed = _list_allowed(world, request, now)
    of_version = filter_by_version(world, request, allowed, now)
    refused_since = now - world.serving_policy.attempts.reconnect_s
    open_to_try = [
        item
        for item in of_version
        if not (item.refuses and item.refused_at > refused_since)
    ]
    if request.left_lost_upstream:
        return _filter_hopeful(request, open_to_try)
    return open_to_try


def _filter_hopeful(
    request: ServedRequest, upstreams: list[Upstream]
) -> list[Upstream]:
    """Keeps the upstreams that are not down, or else those that may only be silent."""
    up = [item for item in upstreams if item.health is not UpstreamHealth.DOWN]
    return up or list_silent(request, upstreams)


def list_silent(request: ServedRequest, upstreams: list[Upstream]) -> list[Upstream]:
    """Lists the upstreams that are down but may live, and have not had a request."""
    return [
        item
        for item in upstreams
        if item.health is UpstreamHealth.DOWN
        and not item.refuses
        and item.id not in request.tried_upstreams
    ]


def _list_allowed(
    world: ServingWorld, request: ServedRequest, now: float
) -> list[Upstream]:
    """Lists the upstreams that may get a request now.

    One that has used its attempts doesn't return at once to where it was rejected or
    the connection was refused.
    """
    available = list_available(world, request.service, now)
    reachable = [item for item in available if request.may_reach(item)]
    if not request.has_used_attempts():
        return reachable
    return [item for item in reachable if item.full_until <= now and not item.refuses]


def list_available(world: ServingWorld, service: str, now: float) -> list[Upstream]:
    """Lists the upstreams of a service that may get requests now."""
    return [
        upstream
        for upstream in world.upstreams.list_service(service)
        if upstream.is_available(now)
    ]


def find_available_at(world: ServingWorld, service: str, now: float) -> float | None:
    """Returns when an upstream of a service may first get a request of this entry.

    Infinite if that is left to other entries. None if one may get a request already, or
    all are leaving.
    """
    staying = [i for i in world.upstreams.list_service(service) if not i.leaving]
    if not staying or any(item.is_available(now) for item in staying):
        return None
    return min(item.find_free_at() for item in staying)


def filter_preferred(
    world: ServingWorld, request: ServedRequest, upstreams: list[Upstream], now: float
) -> list[Upstream]:
    """Keeps the upstreams preferred by health, recent results, latency and capacity.

    A criterion that would exclude all, or most on weak evidence, is skipped.
    """
    healthy = filter_by_health(upstreams)
    untried = [
        item for item in healthy if item.id not in request.tried_upstreams
    ] or healthy
    reachable = _prefer_answering(request, untried)
    unaffected = _exclude_avoided(
        reachable, find_needing_probe(world, reachable, now), world
    )
    staying = [
        item for item in unaffected if not item.signals.leaving_reported
    ] or unaffected
    reliable = _exclude_avoided(staying, find_failing(world, staying, now), world)
    fast = _exclude_avoided(reliable, find_slow(world, reliable), world)
    not_full = [item for item in fast if item.full_until <= now] or fast
    return [
        item for item in not_full if fits_kv_cache(world, request, item)
    ] or not_full


def filter_by_health(upstreams: list[Upstream]) -> list[Upstream]:
    """Keeps the healthiest upstreams, so that a service never runs out of upstreams.

    One whose registration is missing may be gone, and counts as suspected.
    """
    return (
        [item for item in upstreams if _is_healthy(item)]
        or [i for i in upstreams if i.health is not UpstreamHealth.DOWN]
        or upstreams
    )


def _is_healthy(upstream: Upstream) -> bool:
    """Tells whether nothing speaks against an upstream's health and registration."""
    return upstream.health is UpstreamHealth.HEALTHY and upstream.missing_since is None


def _prefer_answering(
    request: ServedRequest, upstreams: list[Upstream]
) -> list[Upstream]:
    """Keeps upstreams that have answered, for a request that lost time at a silent one.

    Of the others only the registrations are known, which may be wrong alike.
    """
    if not request.met_silence:
        return upstreams
    return [item for item in upstreams if item.has_answered] or upstreams


def _exclude_avoided(
    candidates: list[Upstream], avoided: set[str], world: ServingWorld
) -> list[Upstream]:
    """Excludes upstreams on weak evidence, unless that would exclude most of them."""
    if len(avoided) > len(candidates) * world.serving_policy.watch.avoided_share:
        return candidates
    return [item for item in candidates if item.id not in avoided]


def fits_kv_cache(
    world: ServingWorld, request: ServedRequest, upstream: Upstream
) -> bool:
    """Checks whether a request's prompt fits into an upstream's free KV cache.

    Otherwise the upstream would preempt another stream and repeat its prefill.
    """
    configuration = world.configuration
    service = configuration and configuration.services_by_name.get(request.service)
    if not service or not service.memory_tokens:
        return True
    peer_load = world.other_entries.loads.get(upstream.id)
    used_tokens = count_own_load(upstream).tokens + (
        peer_load.tokens if peer_load else 0
    )
    limit_tokens = service.memory_tokens * world.serving_policy.attempts.memory_part
    return used_tokens + request.prompt_tokens <= limit_tokens


def find_needing_probe(
    world: ServingWorld, candidates: list[Upstream], now: float
) -> set[str]:
    """Finds upstreams that may have failed along with one in their data centre."""
    window_s = world.serving_policy.watch.shaken_s
    table = world.upstreams
    return {item.id for item in candidates if table.needs_probe(item, now, window_s)}


def find_failing(
    world: ServingWorld, candidates: list[Upstream], now: float
) -> set[str]:
    """Finds upstreams that recently failed a large share of their requests."""
    policy = world.serving_policy.watch
    failing = set()
    for upstream in candidates:
        upstream.decay_outcomes(now, policy.outcome_half_life_s)
        total = upstream.failures + upstream.answers + PRIOR_OUTCOMES
        if upstream.failures / total >= policy.failing_share:
            failing.add(upstream.id)
    return failing


def find_slow(world: ServingWorld, candidates: list[Upstream]) -> set[str]:
    """Finds upstreams that are much slower than the median of the candidates.

    Compares the mean gap between pieces and the mean time to the first piece.
    """
    factor = world.serving_policy.watch.slow_times
    slow: set[str] = set()
    for means in (
        {item.id: item.gap_s for item in candidates},
        {item.id: item.opening_s for item in candidates},
    ):
        known = {key: mean for key, mean in means.items() if mean is not None}
        if len(known) < MIN_COMPARED_UPSTREAMS:
            continue
        limit = median(known.values()) * factor
        slow |= {key for key, mean in known.items() if mean > limit}
    return slow


def choose_upstream(
    world: ServingWorld,
    request: ServedRequest,
    candidates: list[Upstream],
    now: float,
) -> Upstream:
    """Chooses the upstream that has cached the prompt, or the one that is done first.

    Of silent ones it is the one heard of last, which most likely lives.
    Ties are broken at random: requests that share a prompt often arrive at several
    entries at once, and would otherwise all queue for the prefill at one upstream.
    """
    if request.left_lost_upstream and are_all_down(candidates):
        return max(candidates, key=lambda item: item.last_received_at)
    cached = _choose_by_prefix_cache(world, request, candidates)
    if cached is not None:
        return cached
    completions = estimate_completions(world, request, candidates, now)

    def rank(upstream: Upstream) -> tuple[float, float]:
        return (completions[upstream.id], world.random.random())

    return min(candidates, key=rank)


def are_all_down(upstreams: list[Upstream]) -> bool:
    """Tells whether none of some upstreams is known to be up."""
    return all(item.health is UpstreamHealth.DOWN for item in upstreams)


def has_less_loaded_alternative(
    world: ServingWorld, attempt: Attempt, now: float
) -> bool:
    """Checks whether another upstream has far less load than the attempt's.

    If all are busy, repeating the prefill elsewhere would only add to their load.
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


def list_alternatives(
    world: ServingWorld, attempt: Attempt, now: float
) -> list[Upstream]:
    """Lists the upstreams other than the attempt's that would be chosen from."""
    request = attempt.request
    allowed = _list_allowed(world, request, now)
    others = [item for item in allowed if item is not attempt.upstream]
    chosen = filter_by_version(world, request, others, now)
    return filter_preferred(world, request, chosen, now)


def list_healthy_alternatives(
    world: ServingWorld, attempt: Attempt, now: float
) -> list[Upstream]:
    """Lists the healthy upstreams other than the attempt's that could be chosen.

    One whose registration is missing will do where all are, as for other requests.
    """
    others = list_alternatives(world, attempt, now)
    return [item for item in others if item.health is UpstreamHealth.HEALTHY]


def _choose_by_prefix_cache(
    world: ServingWorld, request: ServedRequest, candidates: list[Upstream]
) -> Upstream | None:
    """Chooses the upstream that has cached the prompt unless its load is far higher."""
    upstream_id = find_prefix_location(world, request)
    cached = [item for item in candidates if item.id == upstream_id]
    if not cached:
        return None
    lowest = min(measure_load(world, item) for item in candidates)
    extra = measure_load(world, cached[0]) - lowest
    if extra > world.serving_policy.attempts.place_extra_load:
        return None
    return cached[0]


def find_prefix_location(world: ServingWorld, request: ServedRequest) -> str | None:
    """Returns the id of the upstream that has cached a request's prompt."""
    prompt = request.caller.prompt
    location = (
        world.other_entries.prefix_locations.get(prompt[-1].id) if prompt else None
    )
    return location[0] if location is not None else None
