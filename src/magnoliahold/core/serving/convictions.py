"""Finds which suspects explain the crashes of upstreams.

A request that crashes upstreams does so whatever else runs there, and never begins. So
each crash names the requests that had not begun at that upstream, and what all crashes
have in common is to blame. Upstreams that crash within the same moment may have been
lost together for another reason, and count once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from magnoliahold.core.serving.suspicions import CrashReport

CrashId: TypeAlias = tuple[str, int]
MAX_GROUP = 8


@define(eq=False)
class CrashEvidence:
    """One crash: when it happened, and the suspects of each request under suspicion."""

    at: float
    requests: list[frozenset[str]]


def gather_crashes(
    reports: Iterable[CrashReport], begun_at: Mapping[str, float]
) -> list[CrashEvidence]:
    """Gathers reports by crash, without suspects of which one has begun since."""
    crashes: dict[CrashId, CrashEvidence] = {}
    for report in reports:
        suspects = frozenset(
            item for item in report.suspects if begun_at.get(item, -1.0) < report.at
        )
        if not suspects:
            continue
        crash = crashes.setdefault(report.crash, CrashEvidence(report.at, []))
        crash.at = min(crash.at, report.at)
        crash.requests.append(suspects)
    return list(crashes.values())


def count_moments(crashes: Iterable[CrashEvidence], moment_s: float) -> int:
    """Counts crashes; those within `moment_s` of the first of them count once."""
    moments = 0
    begun_at: float | None = None
    for at in sorted(crash.at for crash in crashes):
        if begun_at is None or at - begun_at > moment_s:
            moments += 1
            begun_at = at
    return moments


def count_by_suspect(
    crashes: Iterable[CrashEvidence], moment_s: float
) -> dict[str, int]:
    """Counts the moments in which an upstream crashed under each suspect."""
    by_suspect: dict[str, list[CrashEvidence]] = {}
    for crash in crashes:
        for suspect in frozenset().union(*crash.requests):
            by_suspect.setdefault(suspect, []).append(crash)
    return {
        suspect: count_moments(items, moment_s) for suspect, items in by_suspect.items()
    }


def find_convictions(
    crashes: list[CrashEvidence],
    begun_at: Mapping[str, float],
    crashes_to_convict: int,
    moment_s: float,
) -> list[frozenset[str]]:
    """Finds groups of suspects that explain at least `crashes_to_convict` crashes.

    Suspects that were always together can't be told apart, and are one group: only
    requests with all of them are to blame. What one group explains is no evidence
    against others. A suspect of which no request was ever seen to begin comes first.
    """
    convictions: list[frozenset[str]] = []
    remaining = list(crashes)
    while True:
        counts = count_by_suspect(remaining, moment_s)
        enough = [item for item in counts if counts[item] >= crashes_to_convict]
        if not enough:
            return convictions
        groups = {item: _find_group(item, remaining) for item in enough}
        best = max(
            enough,
            key=lambda item: (
                item not in begun_at,
                counts[item],
                len(groups[item]),
                item,
            ),
        )
        convictions.append(groups[best])
        remaining = [
            crash
            for crash in remaining
            if not any(groups[best] <= request for request in crash.requests)
        ]


def _find_group(suspect: str, crashes: list[CrashEvidence]) -> frozenset[str]:
    """Finds the suspects that all requests with one of them have in common."""
    requests = [
        request for crash in crashes for request in crash.requests if suspect in request
    ]
    group = frozenset.intersection(*requests)
    return frozenset(sorted(group - {suspect})[: MAX_GROUP - 1]) | {suspect}
