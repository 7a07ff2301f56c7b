"""Results of versions as histograms, and as trials that are good or bad."""

from __future__ import annotations

from math import exp, log
from typing import TYPE_CHECKING, TypeVar

from attrs import define, field, frozen

from magnoliahold.core.evidence import (
    BUCKET_COUNT,
    BUCKETS_PER_DOUBLING,
    find_bucket,
    find_bucket_start_s,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliahold.wire.messages import EvidenceCount

MIN_SLOWDOWN_S = 0.01
Count = TypeVar("Count", int, float)


@frozen
class Trials:
    """Good and bad results of one kind."""

    good: float
    bad: float


@define
class Reference:
    """Results of the old version, with exponential decay of the earlier ones."""

    answered: float = 0.0
    failed: float = 0.0
    latencies: dict[int, float] = field(factory=dict)
    gaps: dict[int, float] = field(factory=dict)
    decayed_at: float = 0.0

    @property
    def count(self) -> float:
        """Number of answers and failures."""
        return self.answered + self.failed

    def add(self, delta: Delta, now: float, decay_s: float) -> None:
        """Adds results after decaying the earlier ones."""
        factor = exp(-max(0.0, now - self.decayed_at) / decay_s)
        self.decayed_at = now
        self.answered = self.answered * factor + delta.answered
        self.failed = self.failed * factor + delta.failed
        _add_histogram(self.latencies, delta.latencies, factor)
        _add_histogram(self.gaps, delta.gaps, factor)


def _add_histogram(
    histogram: dict[int, float], added: Mapping[int, int], factor: float
) -> None:
    for bucket in histogram:
        histogram[bucket] *= factor
    for bucket, count in added.items():
        histogram[bucket] = histogram.get(bucket, 0.0) + count


@frozen
class Delta:
    """Results of one cell since its last report."""

    answered: int
    failed: int
    latencies: Mapping[int, int]
    gaps: Mapping[int, int]


def find_delta(before: EvidenceCount | None, after: EvidenceCount) -> Delta:
    """Computes the results that were added between `before` and `after`."""
    return Delta(
        answered=after.answered - (before.answered if before else 0),
        failed=after.failed - (before.failed if before else 0),
        latencies=_subtract(after.latencies, before.latencies if before else ()),
        gaps=_subtract(after.gaps, before.gaps if before else ()),
    )


def _subtract(
    after: tuple[tuple[int, int], ...], before: tuple[tuple[int, int], ...]
) -> dict[int, int]:
    known = dict(before)
    return {
        bucket: count - known.get(bucket, 0)
        for bucket, count in after
        if count > known.get(bucket, 0)
    }


def find_slow_share(histogram: Mapping[int, float], limit: int) -> float:
    """Computes the share of a histogram at or above a bucket."""
    trials = split_trials(histogram, limit)
    return trials.bad / (trials.good + trials.bad)


def find_quantile(histogram: Mapping[int, float], quantile: float) -> int:
    """Finds the bucket of a quantile."""
    left = sum(histogram.values()) * quantile
    for bucket in sorted(histogram):
        left -= histogram[bucket]
        if left <= 0:
            return bucket
    return 0


def shift_histogram(histogram: Mapping[int, Count], buckets: int) -> dict[int, Count]:
    """Moves all results of a histogram by a number of buckets."""
    return {bucket + buckets: count for bucket, count in histogram.items()}


def find_slow_limit(
    histogram: Mapping[int, float], quantile: float, increase: float
) -> int:
    """Finds the first bucket that counts as slow.

    It is above a quantile by the relative `increase` that the guard allows, and at
    least by MIN_SLOWDOWN_S.
    """
    found = find_quantile(histogram, quantile)
    steps = log(1 + increase, 2) * BUCKETS_PER_DOUBLING
    noticeable = find_bucket(find_bucket_start_s(found) + MIN_SLOWDOWN_S)
    return min(BUCKET_COUNT - 1, max(found + round(steps), noticeable, found + 1))


def split_trials(histogram: Mapping[int, float], limit: int) -> Trials:
    """Splits a histogram at the first slow bucket."""
    bad = sum(count for bucket, count in histogram.items() if bucket >= limit)
    return Trials(sum(histogram.values()) - bad, bad)
