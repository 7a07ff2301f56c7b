"""The pace of upstreams, learned from the time between the pieces of their streams.

Answers engines of one service that work at different speeds, for good or for a while.
"""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping

# A median of that many gaps isn't moved by the prefill of one other prompt.
GAPS_PER_SAMPLE = 16
# Samples lose half of their weight in this time, so that slow ones are tried again.
HALF_LIFE_S = 10.0
# How many samples the assumption of a typical pace counts for.
PRIOR_SAMPLES = 4.0
# Paces that differ by less than this factor count as equal.
EVEN_RATIO = 1.5
# One report counts for at most that many samples.
MAX_SAMPLES = 64.0
# Upstreams whose pace must be known before any is called slow or fast.
MIN_COMPARED = 3


@frozen
class PaceSample:
    """Samples of one upstream: the typical seconds between pieces, and their number."""

    upstream_id: str
    gap_s: float
    samples: float = 1.0


@define
class GapSampler:
    """The latest gaps of one stream, in seconds."""

    gaps: list[float] = field(factory=list)

    def add(self, gap_s: float) -> float | None:
        """Adds a gap; returns the median of the gaps once enough were added."""
        self.gaps.append(gap_s)
        if len(self.gaps) < GAPS_PER_SAMPLE:
            return None
        typical_s = median(self.gaps)
        self.gaps.clear()
        return typical_s


@define
class PaceEstimate:
    """The typical seconds between pieces at an upstream, a decaying geometric mean.

    `samples` is the decayed number of samples at `updated_at`, 0 if there is none.
    """

    log_gap: float = 0.0
    samples: float = 0.0
    updated_at: float = 0.0

    @property
    def gap_s(self) -> float:
        """The typical seconds between pieces."""
        return math.exp(self.log_gap)

    def count_samples(self, now: float) -> float:
        """Returns the number of samples, decayed by their age."""
        age_s = max(0.0, now - self.updated_at)
        return float(self.samples * 0.5 ** (age_s / HALF_LIFE_S))

    def add(self, sample: PaceSample, now: float) -> None:
        """Adds samples; those that can't be computed with are left out."""
        if not (0 < sample.gap_s < math.inf and 0 < sample.samples < math.inf):
            return
        added = min(sample.samples, MAX_SAMPLES)
        self.samples = self.count_samples(now) + added
        part = added / self.samples
        self.log_gap += part * (math.log(sample.gap_s) - self.log_gap)
        self.updated_at = now


def compare_paces(paces: Mapping[str, PaceEstimate], now: float) -> dict[str, float]:
    """Returns how many times as long as usual each uneven upstream takes.

    Upstreams of usual or unknown pace are left out. Few or old samples count little.
    """
    known = {key: pace for key, pace in paces.items() if pace.samples}
    if len(known) < MIN_COMPARED:
        return {}
    usual = median(pace.log_gap for pace in known.values())
    uneven = {}
    for key, pace in known.items():
        log_ratio = pace.log_gap - usual
        if abs(log_ratio) > math.log(EVEN_RATIO):
            samples = pace.count_samples(now)
            uneven[key] = math.exp(log_ratio * samples / (samples + PRIOR_SAMPLES))
    return uneven


@frozen
class PaceComparison:
    """The uneven upstreams of a service, as found at a time on the process clock."""

    at: float
    uneven: dict[str, float]
