"""Upstreams that a serving entry may call, and their state as it observes it."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from magnoliahold.core.load.pace import PaceEstimate
from magnoliahold.core.serving.loads import UpstreamLoad

if TYPE_CHECKING:
    from magnoliahold.core.serving.limits import LimitReport, RateLimit
    from magnoliahold.core.serving.requests import Attempt


@frozen
class UpstreamRecord:
    """The registration of an upstream.

    `born_ms` distinguishes two starts under one id, in Unix milliseconds; 0 if unknown.
    `version` is the version of its software.
    """

    id: str
    service: str
    address: str
    port: int
    data_centre: str
    leaving: bool = False
    born_ms: int = 0
    version: str = ""


MOVING_AVERAGE_WEIGHT = 0.2


class UpstreamHealth(Enum):
    """The health of an upstream's process, as an entry observes it.

    A SUSPECTED one showed a sign of failure and is being probed. A DOWN one failed a
    probe or a connection attempt, or another upstream has its address.
    """

    HEALTHY = "healthy"
    SUSPECTED = "suspected"
    DOWN = "down"


@frozen
class UpstreamStart:
    """One start of an upstream: its id, and when it started, in Unix milliseconds."""

    id: str
    born_ms: int


@define
class UpstreamSignals:
    """What one start of an upstream has said about itself; it holds until its end.

    `leaving` is set once it has said that it is leaving, in its registration or in an
    answer, and `leaving_reported` once another entry has said so. `backoff_until` is
    the end of the longest backoff that it asked of this entry. `limit` is this entry's
    part of the limit that it names, None if it names none, and `limit_report` what it
    said last about that. `removed` is set while its registration is gone for good.
    """

    leaving: bool = False
    leaving_reported: bool = False
    backoff_until: float = 0.0
    limit: RateLimit | None = None
    limit_report: LimitReport | None = None
    removed: bool = False
    changed_at: float = 0.0


@define(eq=False)
class Upstream:
    """One upstream, and the attempts that this entry runs there.

    Times are on the process clock. `last_received_at` is when any byte was last
    received from it, and `has_answered` whether anything was. `failures` and `answers`
    decay with time; `gap_s` and `opening_s` are moving averages of the time between
    pieces and of the time to the first piece. `missing_since` is set while its
    registration is missing after an outage of the store. While `awaits_sign` is set it
    gets no request, since it may have ended long ago. `silent` is set while it is down
    and doesn't answer at all; `refused_at` is when it last refused a connection.
    `copies` counts the streams whose KV cache it keeps a copy of, and `copied_tokens`
    the tokens of their prompts. `pace` is learned from the streams of all entries.
    `no_load` is the load of an entry that runs nothing there.
    """

    record: UpstreamRecord
    signals: UpstreamSignals = field(factory=UpstreamSignals)
    health: UpstreamHealth = UpstreamHealth.HEALTHY
    last_received_at: float = 0.0
    has_answered: bool = False
    probe_sent_at: float | None = None
    next_probe_at: float = 0.0
    failed_probes: int = 0
    missing_since: float | None = None
    awaits_sign: bool = False
    silent: bool = False
    attempts: dict[int, Attempt] = field(factory=dict)
    copies: int = 0
    copied_tokens: int = 0
    refused_at: float = -math.inf
    answers: float = 0.0
    failures: float = 0.0
    decayed_at: float = 0.0
    gap_s: float | None = None
    opening_s: float | None = None
    full_until: float = 0.0
    pace: PaceEstimate = field(factory=PaceEstimate)
    no_load: UpstreamLoad = field(init=False)

    @no_load.default
    def _make_no_load(self) -> UpstreamLoad:
        return UpstreamLoad(self.record.id)

    @property
    def id(self) -> str:
        """The id of the registration."""
        return self.record.id

    @property
    def start(self) -> UpstreamStart:
        """The start that this is."""
        return UpstreamStart(self.record.id, self.record.born_ms)

    @property
    def leaving(self) -> bool:
        """Whether it is leaving; that ends only with its next start."""
        return self.signals.leaving

    @property
    def refuses(self) -> bool:
        """Whether it is down and answered that it is, so that trying again is vain."""
        return self.health is UpstreamHealth.DOWN and not self.silent

    def is_available(self, now: float) -> bool:
        """Tells whether it may get requests: it takes some and is not leaving."""
        if self.signals.leaving or self.awaits_sign:
            return False
        return now >= self.find_free_at()

    def find_free_at(self) -> float:
        """Returns when its backoff and its limit allow a request of this entry."""
        limit = self.signals.limit
        if limit is None:
            return self.signals.backoff_until
        return max(self.signals.backoff_until, limit.find_free_at())

    def count_sendable(self, now: float) -> float:
        """Counts the requests that it may get now; infinite if it names no limit."""
        if not self.is_available(now):
            return 0
        limit = self.signals.limit
        return math.inf if limit is None else limit.count_sendable(now)

    def record_send(self, now: float) -> None:
        """Records a request to it, which counts for its limit."""
        if self.signals.limit is not None:
            self.signals.limit.record_send(now)

    def backs_off(self, now: float) -> bool:
        """Tells whether it has asked this entry for no requests at present."""
        return now < self.signals.backoff_until

    def adjust_copies(self, count: int, tokens: int) -> None:
        """Adds to the copies that it keeps for this entry; negative values subtract."""
        self.copies += count
        self.copied_tokens += tokens

    def decay_outcomes(self, now: float, half_life_s: float) -> None:
        """Reduces the weight of older outcomes."""
        factor = 0.5 ** (max(0.0, now - self.decayed_at) / half_life_s)
        self.answers *= factor
        self.failures *= factor
        self.decayed_at = now


@define
class UpstreamTable:
    """Upstreams by id and by service; `loaded` is set once a full list was read.

    `last_incident_at` holds when an upstream was last suspected or marked as down, by
    service and data centre. `versions_first_seen_at` is by service and version.
    `signals` outlives registrations, which may be gone for a while and come back;
    `any_leaving` is unset if none of them says that an upstream is leaving.
    """

    by_id: dict[str, Upstream] = field(factory=dict)
    by_service: dict[str, dict[str, Upstream]] = field(factory=dict)
    loaded: bool = False
    last_incident_at: dict[tuple[str, str], float] = field(factory=dict)
    versions_first_seen_at: dict[tuple[str, str], float] = field(factory=dict)
    signals: dict[UpstreamStart, UpstreamSignals] = field(factory=dict)
    any_leaving: bool = False
    next_forgetting_at: float = 0.0

    def put_record(self, record: UpstreamRecord, now: float) -> Upstream:
        """Adds or updates an upstream; one that was restarted is a new upstream."""
        self._record_version(record, now)
        upstream = self.by_id.get(record.id)
        if upstream is not None and _is_same_start(upstream.record, record):
            upstream.record = record
            upstream.missing_since = None
            self._record_leaving(upstream, now)
            return upstream
        if upstream is not None:
            self.remove(record.id)
        signals = self.find_signals(UpstreamStart(record.id, record.born_ms), now)
        upstream = Upstream(record, signals, last_received_at=now, decayed_at=now)
        self._record_leaving(upstream, now)
        self.by_id[record.id] = upstream
        self.by_service.setdefault(record.service, {})[record.id] = upstream
        return upstream

    def remove(self, upstream_id: str) -> Upstream | None:
        """Removes an upstream from the table; its running attempts continue."""
        upstream = self.by_id.pop(upstream_id, None)
        if upstream is not None:
            self.by_service.get(upstream.record.service, {}).pop(upstream_id, None)
        return upstream

    def is_registered(self, upstream: Upstream) -> bool:
        """Tells whether the registration of an upstream is there, of the same start."""
        return self.by_id.get(upstream.id) is upstream

    def find_signals(self, start: UpstreamStart, now: float) -> UpstreamSignals:
        """Returns the signals of a start; creates them if there are none."""
        return self.signals.setdefault(start, UpstreamSignals(changed_at=now))

    def _record_leaving(self, upstream: Upstream, now: float) -> None:
        if upstream.record.leaving and not upstream.signals.leaving:
            self.mark_leaving(upstream.signals, now)

    def mark_leaving(self, signals: UpstreamSignals, now: float) -> None:
        """Marks a start as leaving until its end."""
        signals.leaving = True
        signals.changed_at = now
        self.any_leaving = True

    def _record_version(self, record: UpstreamRecord, now: float) -> None:
        """Records when a version was first seen; those in the first list aren't new."""
        first = now if self.loaded else -math.inf
        self.versions_first_seen_at.setdefault((record.service, record.version), first)

    def record_incident(self, record: UpstreamRecord, now: float) -> None:
        """Records that an upstream was suspected or marked as down."""
        self.last_incident_at[record.service, record.data_centre] = now

    def needs_probe(self, upstream: Upstream, now: float, window_s: float) -> bool:
        """Tells whether nothing was received since a neighbour's recent incident.

        Neighbours are upstreams of the same service and data centre.
        """
        record = upstream.record
        at = self.last_incident_at.get((record.service, record.data_centre))
        return at is not None and now - at < window_s and upstream.last_received_at < at

    def is_any_up(self, service: str) -> bool:
        """Tells whether any upstream of a service is not known to be down."""
        upstreams = self.by_service.get(service, {}).values()
        return any(item.health is not UpstreamHealth.DOWN for item in upstreams)

    def list_service(self, service: str) -> list[Upstream]:
        """Lists the upstreams of one service."""
        return list(self.by_service.get(service, {}).values())


def _is_same_start(old: UpstreamRecord, new: UpstreamRecord) -> bool:
    same_endpoint = (old.address, old.port, old.service) == (
        new.address,
        new.port,
        new.service,
    )
    return same_endpoint and old.born_ms == new.born_ms


def update_moving_average(average: float | None, value: float) -> float:
    """Moves an average one step towards a new value."""
    return (
        value
        if average is None
        else average + MOVING_AVERAGE_WEIGHT * (value - average)
    )
