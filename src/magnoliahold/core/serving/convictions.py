"""Finds which suspects explain the crashes of upstreams.

A request that crashes upstreams does so whatever else runs there, and never begins. So
each crash names the requests that had not begun at that upstream, and what all crashes
have in common is to blame. Upstreams that crash within the same moment may have been
lost together for another reason, so it takes crashes in two moments at least. A crash
under a request that was sent after another crash is in a moment of its own.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeAlias

from attrs import define, field

from magnoliahold.core.serving.suspicions import is_part

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from magnoliahold.core.serving.policy import SuspicionPolicy
    from magnoliahold.core.serving.suspicions import CrashReport

CrashId: TypeAlias = tuple[str, int]
MAX_GROUP = 8
MIN_MOMENTS = 2
# Bounds the time of an evaluation.
MAX_CONVICTIONS = 32


@define(eq=False)
class CrashEvidence:
    """One crash: when it happened, and the suspects of each request under suspicion.

    `sent_at` has when the first request with a suspect was sent there, if known.
    """

    at: float
    requests: list[frozenset[str]] = field(factory=list)
    sent_at: dict[str, float] = field(factory=dict)

    def add_request(self, suspects: frozenset[str], sent_at: float) -> None:
        """Adds a request under suspicion."""
        self.requests.append(suspects)
        for suspect in suspects:
            first = self.sent_at.get(suspect, sent_at)
            self.sent_at[suspect] = min(first, sent_at)

    def is_explained_by(self, group: frozenset[str]) -> bool:
        """Tells whether a request with all suspects of a group was there."""
        return any(group <= request for request in self.requests)


def gather_crashes(
    reports: Iterable[CrashReport],
    begun_at: Mapping[str, float],
    policy: SuspicionPolicy,
) -> list[CrashEvidence]:
    """Gathers reports by crash, without suspects of which one has begun since.

    An upstream that doesn't tell its starts apart may crash again. Another one crashes
    once, whenever an entry that was paused or cut off notices.
    """
    same_crash_s = policy.settle_max_s
    crashes: list[CrashEvidence] = []
    last_crashes: dict[CrashId, CrashEvidence] = {}
    for report in sorted(reports, key=lambda item: (item.at, item.key)):
        suspects = frozenset(
            item for item in report.suspects if begun_at.get(item, -1.0) < report.at
        )
        if not suspects:
            continue
        crash = last_crashes.get(report.crash)
        again = not report.born_ms and crash and report.at - crash.at > same_crash_s
        if crash is None or again:
            crash = last_crashes[report.crash] = CrashEvidence(report.at)
            crashes.append(crash)
        sent_at = -math.inf if report.sent_at is None else report.sent_at
        crash.add_request(suspects, sent_at)
    return crashes


def count_moments(
    suspects: Iterable[str], crashes: Iterable[CrashEvidence], moment_s: float
) -> int:
    """Counts crashes under suspects; those that may have a common cause count once.

    They may if they are within `moment_s` of the first of them, unless the request was
    sent after that: an upstream that was lost with another one accepts nothing more.
    """
    names = tuple(suspects)
    moments = 0
    last_at = -math.inf
    for crash in sorted(crashes, key=lambda item: item.at):
        sent_at = min(crash.sent_at.get(name, -math.inf) for name in names)
        if crash.at - last_at > moment_s or sent_at > last_at:
            moments += 1
            last_at = crash.at
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
    against others, unless a later one explains all of that and more.
    """
    convictions: list[frozenset[str]] = []
    remaining = list(crashes)
    while len(convictions) < MAX_CONVICTIONS:
        enough = [
            suspect
            for suspect, items in group_by_suspect(remaining).items()
            if _is_enough(suspect, items, begun_at, policy)
        ]
        if not enough:
            break
        explained = _number_explained(_find_groups(enough, remaining), remaining)
        groups = _drop_bystanders(explained, remaining)
        best = max(
            groups, key=lambda group: _rank(group, len(explained[group]), begun_at)
        )
        convictions.append(best)
        remaining = [crash for crash in remaining if not crash.is_explained_by(best)]
    return _drop_covered(convictions, crashes)


def _is_enough(
    suspect: str,
    crashes: list[CrashEvidence],
    begun_at: Mapping[str, float],
    policy: SuspicionPolicy,
) -> bool:
    """Tells whether the crashes under a suspect are enough to quarantine it.

    A part that has begun before may be there by chance, and takes more crashes.
    """
    if count_moments((suspect,), crashes, policy.settle_s) < MIN_MOMENTS:
        return False
    return len(crashes) >= count_needed(suspect, begun_at, policy)


def count_needed(
    suspect: str, begun_at: Mapping[str, float], policy: SuspicionPolicy
) -> int:
    """Counts the crashes that it takes to quarantine a suspect.

    A whole request is no bystander of its own repeats, as a popular part is of others.
    """
    if suspect in begun_at and is_part(suspect):
        return policy.crashes_to_convict_begun
    return policy.crashes_to_convict


def _find_groups(
    suspects: list[str], crashes: list[CrashEvidence]
) -> set[frozenset[str]]:
    """Finds for each suspect what all requests with it have in common."""
    requests_by_suspect: dict[str, list[frozenset[str]]] = {}
    for crash in crashes:
        for request in crash.requests:
            for suspect in request:
                requests_by_suspect.setdefault(suspect, []).append(request)
    groups: dict[tuple[int, ...], frozenset[str]] = {}
    for suspect in sorted(suspects):
        requests = requests_by_suspect[suspect]
        # Suspects of the same requests have the same group.
        key = tuple(map(id, requests))
        if key not in groups:
            group = frozenset.intersection(*requests)
            others = sorted(group - {suspect})[: MAX_GROUP - 1]
            groups[key] = frozenset((suspect, *others))
    return set(groups.values())


def _drop_bystanders(
    explained: dict[frozenset[str], set[int]], crashes: list[CrashEvidence]
) -> list[frozenset[str]]:
    """Drops groups that were only beside the requests of one that explains more.

    Where a request holds both, it is open which of them is to blame.
    """
    return [
        group
        for group, numbers in explained.items()
        if not any(
            numbers < others and not _are_held_together(group | other, crashes)
            for other, others in explained.items()
        )
    ]


def _are_held_together(suspects: frozenset[str], crashes: list[CrashEvidence]) -> bool:
    """Tells whether a request under suspicion holds all of the suspects."""
    return any(crash.is_explained_by(suspects) for crash in crashes)


def _number_explained(
    groups: Iterable[frozenset[str]], crashes: list[CrashEvidence]
) -> dict[frozenset[str], set[int]]:
    """Numbers the crashes that each group explains."""
    return {
        group: {n for n, crash in enumerate(crashes) if crash.is_explained_by(group)}
        for group in groups
    }


def _rank(
    group: frozenset[str], explained: int, begun_at: Mapping[str, float]
) -> tuple[bool, int, int, list[str]]:
    """Ranks a group by what it explains, and then by how few requests it blames.

    One with a part that was never seen to begin goes before all others. That a
    fingerprint never began says nothing.
    """
    new_part = any(is_part(item) and item not in begun_at for item in group)
    return (new_part, explained, len(group), sorted(group))


def is_part_of_cause(
    suspects: frozenset[str], group: frozenset[str], crashes: list[CrashEvidence]
) -> bool:
    """Tells whether another entry may have blamed a smaller group for good reason.

    It may have seen a request of the rest begin. But what is also in requests without
    the rest, beside others, is not the cause.
    """
    apart = any(
        suspects <= request and not group <= request
        for crash in crashes
        for request in crash.requests
    )
    return suspects <= group and not apart


def is_nearly_enough(
    group: frozenset[str],
    crashes: list[CrashEvidence],
    begun_at: Mapping[str, float],
    policy: SuspicionPolicy,
) -> bool:
    """Tells whether a group lacks one crash at most to be quarantined."""
    if count_moments(group, crashes, policy.settle_s) < MIN_MOMENTS:
        return False
    needed = min(count_needed(item, begun_at, policy) for item in group)
    return len(crashes) >= needed - 1


def _drop_covered(
    groups: list[frozenset[str]], crashes: list[CrashEvidence]
) -> list[frozenset[str]]:
    """Drops groups that were merely there when another one crashed upstreams."""
    explained = _number_explained(groups, crashes)
    return [
        group
        for group in groups
        if not any(explained[group] < explained[other] for other in groups)
    ]
