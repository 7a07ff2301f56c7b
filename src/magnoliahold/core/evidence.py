"""Counts of results by version that a sidecar keeps for moves under way."""

from __future__ import annotations

from math import log2

from attrs import define, field, frozen

BUCKETS_PER_DOUBLING = 8
LOWEST_BUCKET_S = 0.001
BUCKET_COUNT = 128


@frozen
class EvidenceKey:
    """What results are counted by; see `EvidenceCount`."""

    move: str
    version: str
    route: str
    busy: bool


@define
class ResultCounts:
    """Cumulative results of one key; histograms map buckets to counts."""

    answered: int = 0
    failed: int = 0
    latencies: dict[int, int] = field(factory=dict)
    gaps: dict[int, int] = field(factory=dict)
    changed_at: float = 0.0


@define
class ResultWindow:
    """A running stream whose result is awaited.

    Counts `tokens` since `began_at`, which are averaged into one gap, not before
    `due_at`, since the gaps of one stream are alike. A `continued` stream began with a
    prefix, so that its first token tells no latency.
    """

    key: EvidenceKey
    began_at: float
    incarnation: str
    continued: bool
    tokens: int = 0
    due_at: float = 0.0
    latency_recorded: bool = False


@define
class EvidenceTable:
    """Tallies by key, open windows by engine handle, and engine deaths counted.

    `deaths` keeps one engine's death from counting as many failures of a version.
    """

    result_counts: dict[EvidenceKey, ResultCounts] = field(factory=dict)
    windows: dict[str, ResultWindow] = field(factory=dict)
    deaths: set[tuple[str, str, str]] = field(factory=set)
    rotation_position: int = 0


def find_bucket(seconds: float) -> int:
    """Finds the histogram bucket of a duration."""
    if seconds <= LOWEST_BUCKET_S:
        return 0
    bucket = int(log2(seconds / LOWEST_BUCKET_S) * BUCKETS_PER_DOUBLING)
    return min(bucket, BUCKET_COUNT - 1)


def find_bucket_start_s(bucket: int) -> float:
    """Finds the lowest duration in a histogram bucket."""
    return LOWEST_BUCKET_S * float(2 ** (bucket / BUCKETS_PER_DOUBLING))
