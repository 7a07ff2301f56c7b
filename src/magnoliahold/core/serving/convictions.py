"""Finds which suspects explain the crashes of upstreams.

A request that crashes upstreams does so whatever else runs there, and never begins. So
each crash names the requests that had not begun at that upstream, and what all crashes
have in common is to blame. Upstreams that crash within the same moment may have been
lost together for another reason, so it takes crashes in two moments at least.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from attrs import define

from magnoliahold.core.serving.suspicions import is_part

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from magnoliahold.core.serving.policy import SuspicionPolicy
    from magnoliahold.core.serving.suspicions import CrashReport

CrashId: TypeAlias = tuple[str, int]
MAX_GROUP = 8
MIN_MOMENTS = 2


@define(eq=False)
class CrashEvidence:
    """One crash: when it happened, and the suspects of each request under suspicion."""

    at: float
    requests: list[frozenset[str]]

    def is_explained_by(self, group: frozenset[str]) -> bool:
        """Tells whether a request with all suspects of a group was there."""
        return any(group <= request for request in self.requests)


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


def group_by_suspect(
    crashes: Iterable[CrashEvidence],
) -> dict[str, list[CrashEvidence]]:
    """Groups crashes by the suspects under which they happened."""
    by_suspect: dict[str, list[CrashEvidence]] = {}
    for crash in crashes:
        for suspect in frozenset().union(*crash.requests):
            by_suspect.setdefault(suspect, []).append(crash)
    return by_suspect


def find_convictions(
    crashes: list[CrashEvidence],
    begun_at: Mapping[str, float],
    policy: SuspicionPolicy,
) -> list[frozenset[str]]:
    """Finds groups of suspects that explain enough crashes to quarantine them.

    Suspects that were always together can't be told apart, and are one group: only
    requests with all of them are to blame. What one group explains is no evidence
    against others.
    """
    convictions: list[frozenset[str]] = []
    remaining = list(crashes)
    while True:
        enough = [
            suspect
            for suspect, items in group_by_suspect(remaining).items()
            if len(items) >= _find_limit(suspect, begun_at, policy)
            and count_moments(items, policy.settle_s) >= MIN_MOMENTS
        ]
        if not enough:
            return convictions
        groups = [_find_group(item, remaining) for item in enough]
        best = max(groups, key=lambda group: _rank(group, remaining, begun_at))
        convictions.append(best)
        remaining = [crash for crash in remaining if not crash.is_explained_by(best)]


def _find_limit(
    suspect: str, begun_at: Mapping[str, float], policy: SuspicionPolicy
) -> int:
    """Returns how many crashes convict; what has begun may be there by chance."""
    if suspect in begun_at:
        return policy.crashes_to_convict_begun
    return policy.crashes_to_convict


def _rank(
    group: frozenset[str], crashes: list[CrashEvidence], begun_at: Mapping[str, float]
) -> tuple[bool, int, int, list[str]]:
    """Ranks a group by what it explains, and then by how few requests it blames.

    One with a part that was never seen to begin goes before all others. That a
    fingerprint never began says nothing.
    """
    new_part = any(is_part(item) and item not in begun_at for item in group)
    explained = sum(crash.is_explained_by(group) for crash in crashes)
    return (new_part, explained, len(group), sorted(group))


def _find_group(suspect: str, crashes: list[CrashEvidence]) -> frozenset[str]:
    """Finds the suspects that all requests with one of them have in common."""
    requests = [
        request for crash in crashes for request in crash.requests if suspect in request
    ]
    group = frozenset.intersection(*requests)
    return frozenset(sorted(group - {suspect})[: MAX_GROUP - 1]) | {suspect}
