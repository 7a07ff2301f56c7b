"""The other entries of a deployment, and the latest notices from and to them."""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen

# The codec resolves the types of notices while the process runs.
from magnoliahold.core.load.pace import PaceSample  # noqa: TC001
from magnoliahold.core.serving.limits import LimitReport  # noqa: TC001
from magnoliahold.core.serving.loads import UpstreamLoad
from magnoliahold.core.serving.moves import Exposure, Suspension  # noqa: TC001
from magnoliahold.core.serving.queues import QueueReport  # noqa: TC001
from magnoliahold.core.serving.suspicions import (  # noqa: TC001
    Clearance,
    CrashReport,
    QuarantineRecord,
)
from magnoliahold.core.serving.upstreams import UpstreamStart  # noqa: TC001
from magnoliahold.wire.messages import EvidenceCount  # noqa: TC001


@frozen
class PeerRecord:
    """The registration of an entry in the store.

    The entry receives notices at `address` and `port`, over UDP.
    """

    name: str
    incarnation: str
    address: str
    port: int


@frozen
class PrefixCacheLocation:
    """The upstream that has a prompt in its prefix cache.

    `part` is the id of the prompt's last part.
    """

    part: str
    upstream_id: str


@frozen
class LoadNotice:
    """The state that an entry sends to the others; each notice replaces the one before.

    `serial` increases within an incarnation. `down` lists the upstreams that the sender
    has marked as down, and `places` the upstreams that have read the prompts of its
    open streams. `evidence`, `exposures` and `suspensions` concern moves between
    versions; `crash_reports`, `quarantines` and `clearances` concern requests that
    crash upstreams, and `trials` names the suspects of which the sender has an open
    request. `leaving` lists the upstreams that have said that they are leaving, and
    `limits` what upstreams have said last about limits. `paces` are samples since the
    notice that last had some, and `queues` tells what waits for room. `settled_epoch`
    is the store's epoch if the sender has proved its configuration in it.
    """

    sender: str
    incarnation: str
    serial: int
    loads: tuple[UpstreamLoad, ...] = ()
    down: tuple[str, ...] = ()
    places: tuple[PrefixCacheLocation, ...] = ()
    evidence: tuple[EvidenceCount, ...] = ()
    exposures: tuple[Exposure, ...] = ()
    suspensions: tuple[Suspension, ...] = ()
    crash_reports: tuple[CrashReport, ...] = ()
    quarantines: tuple[QuarantineRecord, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    leaving: tuple[UpstreamStart, ...] = ()
    trials: tuple[str, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    paces: tuple[PaceSample, ...] = ()
    queues: tuple[QueueReport, ...] = ()
    settled_epoch: int | None = None


@define(eq=False)
class Peer:
    """Another entry.

    `last_received_at` is when its last notice was received, on the process clock.
    `row_version` is None if the row was not read in this epoch of the store, and
    `unlisted_since` is set while a restored store doesn't list it.
    """

    record: PeerRecord
    row_version: int | None
    known_since: float
    last_received_at: float | None = None
    notice: LoadNotice | None = None
    unlisted_since: float | None = None


@define
class NoticeBudget:
    """The bytes that notices may use, which accrue with time.

    `notice_bytes` is the size of the last notice. `updated_at` is on the process clock.
    """

    available_bytes: float = 0.0
    notice_bytes: int = 0
    updated_at: float = 0.0

    def try_spend(
        self, peers: int, urgent: bool, max_bytes_per_s: float, now: float
    ) -> bool:
        """Spends the bytes of a notice to all peers, if that is allowed now.

        Only urgent ones may use the last half of what accrues in a second.
        """
        cost = float(peers * self.notice_bytes)
        limit = max(max_bytes_per_s, 2 * cost)
        accrued = (now - self.updated_at) * max_bytes_per_s
        self.available_bytes = min(limit, self.available_bytes + accrued)
        self.updated_at = now
        reserve = 0.0 if urgent else limit / 2
        if self.available_bytes < cost + reserve:
            return False
        self.available_bytes -= cost
        return True


# Samples that wait for a report; older ones are dropped.
MAX_PACE_SAMPLES = 256


def _make_sample_queue() -> deque[PaceSample]:
    return deque(maxlen=MAX_PACE_SAMPLES)


@define
class PeerTable:
    """The other entries by name, and the last notice that was sent to them.

    `loaded` is set once a full list was read. `loads` sums the loads in the others'
    notices by upstream. `prefix_locations` maps the id of a prompt's last part to the
    upstream that has cached the prompt, and to the time of the last report. `send_now`
    is set if the next notice must not wait for the minimum interval.
    `pace_samples` are those not yet reported.
    """

    by_name: dict[str, Peer] = field(factory=dict)
    loaded: bool = False
    loads: dict[str, UpstreamLoad] = field(factory=dict)
    prefix_locations: dict[str, tuple[str, float]] = field(factory=dict)
    last_sent_notice: LoadNotice | None = None
    last_sent_at: float = 0.0
    send_now: bool = False
    pace_samples: deque[PaceSample] = field(factory=_make_sample_queue)
    paces_sent_at: float = 0.0
    serial: int = 0
    budget: NoticeBudget = field(factory=NoticeBudget)
    registering: bool = False
    registered: bool = False
    next_registration_at: float = 0.0
    next_removal_at: float = 0.0

    def set_notice(self, peer: Peer, notice: LoadNotice | None) -> None:
        """Replaces the last notice of an entry, and adjusts the sums by the change."""
        old = peer.notice.loads if peer.notice is not None else ()
        new = notice.loads if notice is not None else ()
        peer.notice = notice
        if old != new:
            self._add_loads(old, -1)
            self._add_loads(new, 1)

    def _add_loads(self, loads: tuple[UpstreamLoad, ...], sign: int) -> None:
        for load in loads:
            known = self.loads.get(load.upstream_id, UpstreamLoad(load.upstream_id))
            total = known.add(load, sign)
            if total == UpstreamLoad(load.upstream_id):
                self.loads.pop(load.upstream_id, None)
            else:
                self.loads[load.upstream_id] = total
