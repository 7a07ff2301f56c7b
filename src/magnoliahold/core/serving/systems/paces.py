"""Learns the pace of upstreams from own streams and from those of other entries."""

from __future__ import annotations

from statistics import fmean
from typing import TYPE_CHECKING

from magnoliahold.core.load.pace import PaceComparison, PaceSample, compare_paces

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import Attempt
    from magnoliahold.core.serving.world import ServingWorld


def record_gap(world: ServingWorld, attempt: Attempt, gap_s: float, now: float) -> None:
    """Records the time between two pieces of a stream, for its upstream's pace."""
    if not world.serving_policy.load.by_pace:
        return
    typical_s = attempt.gap_sampler.add(gap_s)
    if typical_s is None:
        return
    upstream = attempt.upstream
    sample = PaceSample(upstream.id, typical_s)
    upstream.pace.add(sample, now)
    world.other_entries.pace_samples.append(sample)


def list_paces(world: ServingWorld, now: float) -> tuple[PaceSample, ...]:
    """Lists the samples to report, one row an upstream; none until they are due."""
    table = world.other_entries
    if now - table.paces_sent_at < world.serving_policy.load.pace_interval_s:
        return ()
    gaps: dict[str, list[float]] = {}
    for sample in table.pace_samples:
        gaps.setdefault(sample.upstream_id, []).append(sample.gap_s)
    return tuple(
        PaceSample(key, fmean(items), len(items)) for key, items in gaps.items()
    )


def record_sent_paces(world: ServingWorld, now: float) -> None:
    """Begins to gather samples anew after they were reported."""
    world.other_entries.pace_samples.clear()
    world.other_entries.paces_sent_at = now


def apply_paces(
    world: ServingWorld, samples: tuple[PaceSample, ...], now: float
) -> None:
    """Adds the samples of another entry."""
    for sample in samples:
        upstream = world.upstreams.by_id.get(sample.upstream_id)
        if upstream is not None:
            upstream.pace.add(sample, now)


def find_uneven(world: ServingWorld, service: str, now: float) -> dict[str, float]:
    """Returns how many times as long as usual uneven upstreams take, by id.

    It is found anew every `compare_s`, since it takes a look at all of them.
    """
    policy = world.serving_policy.load
    if not policy.by_pace:
        return {}
    compared = world.pace_comparisons.get(service)
    if compared is None or now - compared.at >= policy.compare_s:
        upstreams = world.upstreams.list_service(service)
        paces = {item.id: item.pace for item in upstreams}
        compared = PaceComparison(now, compare_paces(paces, now))
        world.pace_comparisons[service] = compared
    return compared.uneven
