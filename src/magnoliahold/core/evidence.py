"""Counts of results by version that a sidecar keeps for moves in progress."""

from __future__ import annotations

from math import log2

from attrs import define, field, frozen

BUCKETS_PER_DOUBLING = 8
LOWEST_BUCKET_S = 0.001
BUCKET_COUNT = 128


@frozen
class EvidenceKey:
    """The key by which results are counted; see `EvidenceCount`."""

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
    """Measurements of a running stream until its result is known.

    `tokens` counts the tokens since `began_at`. They are averaged into one gap, not
    before `due_at`, since the gaps of one stream are similar. A `continued` stream
    began with a prefix, so that its first token is no sample of the latency.
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
    """Result counts by key, and open windows by engine handle.

    `counted_engine_failures` holds the engine incarnation, move and version of each
    engine failure counted so far, so that the failure of one engine does not count as
    many failures of a version. `rotation_position` selects the unchanged counts that go
    on the next heartbeat.
    """

    result_counts: dict[EvidenceKey, ResultCounts] = field(factory=dict)
    windows: dict[str, ResultWindow] = field(factory=dict)
    counted_engine_failures: set[tuple[str, str, str]] = field(factory=set)
    rotation_position: int = 0


def find_bucket(seconds: float) -> int:
    """Finds the histogram bucket of a duration."""
    if seconds <= LOWEST_BUCKET_S:
        return 0
    bucket = int(log2(seconds / LOWEST_BUCKET_S) * BUCKETS_PER_DOUBLING)
    return min(bucket, BUCKET_COUNT - 1)


def find_bucket_start_s(bucket: int) -> float:
    """Computes the lower bound of a histogram bucket in seconds."""
    return LOWEST_BUCKET_S * float(2 ** (bucket / BUCKETS_PER_DOUBLING))
