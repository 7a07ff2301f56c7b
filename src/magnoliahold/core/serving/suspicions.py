"""Suspects of crashing the upstreams that run requests with them, and the evidence.

A suspect is something that requests can have in common: the fingerprint of a request
and its repeats, or a part of a prompt. The last part of a prompt belongs to one request
or session, and is none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from attrs import define, field, frozen
from xxhash import xxh3_64_hexdigest

from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import CallerRequest
    from magnoliahold.core.serving.upstreams import Upstream

MAX_PARTS = 64
NAME_SEPARATOR = "+"
# Tells parts of prompts from fingerprints, which are hexadecimal.
PART_TAG = "p"

ReportKey: TypeAlias = tuple[str, int, str]


def find_suspects(caller: CallerRequest) -> frozenset[str]:
    """Finds what a request may have in common with others that crash upstreams."""
    parts = caller.prompt[:-1][:MAX_PARTS]
    suspects = {PART_TAG + xxh3_64_hexdigest(part.id.encode()) for part in parts}
    if caller.fingerprint:
        suspects.add(caller.fingerprint)
    return frozenset(suspects)


def is_part(suspect: str) -> bool:
    """Tells whether a suspect is a part of a prompt."""
    return suspect.startswith(PART_TAG)


@frozen
class CrashReport:
    """A request that had not begun at an upstream when that upstream crashed.

    `at` is the time of the crash on the store's clock, in seconds, and `sent_at` when
    the request was sent there, None if the entry that reports it doesn't tell.
    """

    upstream_id: str
    born_ms: int
    request_id: str
    suspects: tuple[str, ...]
    at: float
    sent_at: float | None = None

    @property
    def key(self) -> ReportKey:
        """Identifies the report among those of all entries."""
        return (self.upstream_id, self.born_ms, self.request_id)

    @property
    def crash(self) -> tuple[str, int]:
        """Identifies the start of the upstream that crashed."""
        return (self.upstream_id, self.born_ms)


@frozen
class Clearance:
    """A request with a suspect has begun at an upstream, which lived on.

    `at` is when it began, on the store's clock, in seconds.
    """

    suspect: str
    at: float


@frozen
class QuarantineRecord:
    """Suspects that crash upstreams together, as the store and notices keep them.

    `fingerprint` is the name of the quarantine: its suspects, joined. It is in force
    for `term_s` from `convicted_at`, which is on the store's clock, in seconds. Rows of
    former releases have no term.
    """

    fingerprint: str
    convicted_at: float
    term_s: float = 600.0


@frozen
class UnsettledReport:
    """A report of a connection reset, until it is known whether the upstream crashed.

    `at` is on the process clock. `failures_needed` is how many probes and connection
    attempts in a row have to fail before it counts as a crash.
    """

    report: CrashReport
    upstream: Upstream
    at: float
    failures_needed: int = 1

    @property
    def is_open(self) -> bool:
        """Whether the upstream may prove to have crashed."""
        healthy = self.upstream.health is UpstreamHealth.HEALTHY
        return not (healthy or self.upstream.silent)


@define
class Quarantine:
    """Requests with all of the `suspects` are refused for `term_s`.

    After that they are on trial: each entry sends one at a time, until one has begun
    or crashed its upstream. `convicted_at` is on the store's clock, in seconds, and
    `unlisted_since` on the process clock; that is set while the store lacks it, after a
    restore or since it was narrowed.
    """

    suspects: frozenset[str]
    convicted_at: float
    term_s: float
    unlisted_since: float | None = None

    @property
    def name(self) -> str:
        """The name of the row that keeps it."""
        return name_suspects(self.suspects)

    @property
    def over_at(self) -> float:
        """When its term is over, on the store's clock, in seconds."""
        return self.convicted_at + self.term_s

    @property
    def record(self) -> QuarantineRecord:
        """The quarantine as the store and notices keep it."""
        return QuarantineRecord(self.name, self.convicted_at, self.term_s)


def name_suspects(suspects: frozenset[str]) -> str:
    """Joins suspects to a name that is the same at all entries."""
    return NAME_SEPARATOR.join(sorted(suspects))


@define
class SuspicionTable:
    """Evidence about suspects, and the quarantines that follow from it.

    `reports` are those of all entries. `own_reports` has the keys of this entry's, and
    when they were settled, on the store's clock.
    `departures` are requests that left an upstream before they began there.
    `begun_at` holds when a request with a suspect last began, on the store's clock, the
    latest last, and `reported_clearances` what other entries are told of that. The
    `watched` suspects lack one crash to be quarantined, and were never seen to begin.
    `withdrawn` holds when quarantines that were taken back had been convicted.
    `evaluation_at` is set while new evidence is not evaluated, on the process clock,
    and `unevaluated` are the reports among it.
    """

    reports: dict[ReportKey, CrashReport] = field(factory=dict)
    own_reports: dict[ReportKey, float] = field(factory=dict)
    unsettled_resets: list[UnsettledReport] = field(factory=list)
    departures: list[UnsettledReport] = field(factory=list)
    begun_at: dict[str, float] = field(factory=dict)
    reported_clearances: dict[str, float] = field(factory=dict)
    watched: frozenset[str] = frozenset()
    quarantines: dict[str, Quarantine] = field(factory=dict)
    withdrawn: dict[str, float] = field(factory=dict)
    evaluation_at: float | None = None
    unevaluated: list[CrashReport] = field(factory=list)

    def is_unsettled(self, suspects: frozenset[str]) -> bool:
        """Tells whether it is still open if a request with all suspects has crashed."""
        open_reports = [item.report for item in self.unsettled_resets if item.is_open]
        open_reports += self.unevaluated
        return any(suspects.issubset(report.suspects) for report in open_reports)

    def find_cleared(self, quarantine: Quarantine) -> frozenset[str]:
        """Finds the suspects of a quarantine that have begun since it was imposed."""
        return frozenset(
            item
            for item in quarantine.suspects
            if self.begun_at.get(item, 0.0) > quarantine.convicted_at
        )

    def is_suspected(self, suspect: str) -> bool:
        """Tells whether there is a report or a quarantine of a suspect."""
        return any(
            suspect in report.suspects for report in self.reports.values()
        ) or any(suspect in item.suspects for item in self.quarantines.values())
