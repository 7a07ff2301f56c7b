"""Requests that are suspected of crashing the upstreams that run them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from magnoliahold.core.serving.upstreams import Upstream


@frozen
class Crash:
    """The loss of an upstream while it ran a request.

    `fingerprint` is the same for all requests with one path, caller and body.
    """

    fingerprint: str
    upstream_id: str
    born_ms: int


@frozen
class QuarantineRecord:
    """A request that is no longer sent to upstreams, as the store keeps it.

    `convicted_at` is when it was quarantined, on the store's clock, in seconds.
    """

    fingerprint: str
    convicted_at: float


@frozen
class ConnectionReset:
    """A connection reset during a request, possibly by a crash of the upstream."""

    fingerprint: str
    upstream: Upstream
    at: float


@frozen
class UpstreamLoss:
    """An upstream that was marked as down."""

    upstream_id: str
    service: str
    at: float


@define
class Suspicion:
    """The crashes counted against one fingerprint, with when each became known.

    `quarantined_until` is None unless the fingerprint is quarantined. `unlisted_since`
    is set while a restored store lacks the quarantine. Times are on the process clock,
    but `convicted_at` is on the store's.
    """

    crashes: dict[Crash, float] = field(factory=dict)
    quarantined_until: float | None = None
    convicted_at: float | None = None
    unlisted_since: float | None = None


@define
class SuspicionTable:
    """Suspicions by fingerprint, and the connection resets that are still undecided.

    `observed_crashes` holds the crashes that this entry observed itself, and
    `cleared_fingerprints` the fingerprints of requests that an upstream has answered.
    `recent_losses` holds the upstreams that were lost recently: if several were lost
    together, no request is suspected.
    """

    by_fingerprint: dict[str, Suspicion] = field(factory=dict)
    unsettled_resets: list[ConnectionReset] = field(factory=list)
    observed_crashes: dict[Crash, float] = field(factory=dict)
    cleared_fingerprints: dict[str, float] = field(factory=dict)
    recent_losses: deque[UpstreamLoss] = field(factory=deque)

    def get_or_create(self, fingerprint: str) -> Suspicion:
        """Returns the suspicion of a fingerprint; creates it if there is none."""
        return self.by_fingerprint.setdefault(fingerprint, Suspicion())

    def count_crashes(self, fingerprint: str) -> int:
        """Counts the crashes recorded against a fingerprint."""
        suspicion = self.by_fingerprint.get(fingerprint)
        return len(suspicion.crashes) if suspicion else 0

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Tells whether requests with a fingerprint are refused."""
        suspicion = self.by_fingerprint.get(fingerprint)
        until = suspicion.quarantined_until if suspicion else None
        return until is not None and now < until
