"""The settings of an entry that calls its upstreams itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve, field, frozen

from magnoliahold.core.serving.policy import ServingPolicy
from magnoliahold.endpoints import parse_endpoint
from magnoliahold.settings.checks import (
    FieldError,
    checks,
    require_name,
    require_range,
)
from magnoliahold.settings.model import LogSettings

if TYPE_CHECKING:
    from magnoliahold.core.serving.policy import LeavePolicy

MS_PER_S = 1000.0
BYTES_PER_MEGABIT = 125_000.0
# Share of an instance's link that notices between entries may use.
NOTICE_LINK_SHARE = 0.05
PROOF_MARGIN_S = 0.6
READY_AGE_SHARE = 0.72
# Leaves time for an own read before the entry would not be ready.
RELAY_AGE_SHARE = 0.72
# Share of the drain time for which changes of registrations may be gathered.
GATHER_SHARE = 0.3
ACCEPT_MARGIN_S = 5.0
# The process itself takes up to a quarter of a second to exit on a small core.
LIMIT_MARGIN_S = 0.6
# What still runs may be cut in the last sixth of the grace, not before.
LIMIT_MARGIN_SHARE = 1 / 6
# Shares of the grace that the other parts of a stop take at most.
ACCEPT_SHARE = 0.1
SWEEP_SHARE = 0.2
SETTLE_SHARE = 0.1
FAREWELL_SHARE = 0.05
FLUSH_SHARE = 0.04
MIN_LIMIT_S = 0.1


def require_endpoint(value: str | None) -> None:
    """Checks that a string has the format IP:PORT."""
    if value is None:
        return
    try:
        parse_endpoint(value)
    except ValueError as error:
        raise FieldError(str(error), "write IP:PORT") from None


@frozen
class DeploymentBounds:
    """Limits that the deployment sets for every entry.

    A revoked credential is rejected after at most `revocation_ms`, and a process must
    exit within `stop_grace_s` of the signal to stop. A bad version may get up to
    `exposure_share` of a service's requests plus `exposure_extra`. All entries together
    may retry up to `retry_ratio` of a service's requests within `retry_window_s`, plus
    `retry_extra`. An upstream gets no request later than `drain_ms` after it has
    registered that it is leaving. An instance's link carries `link_mbps`. A process may
    take `memory_mb`, 128 if that isn't given, and have `max_descriptors` open, 1600 if
    that isn't given and the system allows no fewer.
    """

    revocation_ms: float = field(
        metadata=checks(require_range(1000, 600_000)), default=5000.0
    )
    stop_grace_s: float = field(metadata=checks(require_range(1, 3600)), default=8.0)
    exposure_share: float = field(metadata=checks(require_range(0, 1)), default=0.1)
    exposure_extra: float = field(metadata=checks(require_range(0, 1e6)), default=50.0)
    retry_ratio: float = field(metadata=checks(require_range(0, 10)), default=0.8)
    retry_extra: float = field(metadata=checks(require_range(0, 1e6)), default=150.0)
    retry_window_s: float = field(metadata=checks(require_range(1, 600)), default=10.0)
    drain_ms: float = field(
        metadata=checks(require_range(100, 600_000)), default=2000.0
    )
    link_mbps: float = field(metadata=checks(require_range(0.1, 1e6)), default=1000.0)
    memory_mb: float | None = field(
        metadata=checks(require_range(64, 1e6)), default=None
    )
    max_descriptors: int | None = field(
        metadata=checks(require_range(64, 10_000_000)), default=None
    )


@frozen
class LoadSettings:
    """Decisions for hard load; without this section none of them acts.

    With `by_pace`, streams are placed by the pace of each engine.
    """

    by_pace: bool = False


@frozen
class ServingSettings:
    """The settings of one serving entry; `policy` overrides limits by name.

    `callers`, `readiness`, `peers` (over UDP) and `metrics` are the addresses on which
    it listens; `store` is the address of the platform's store.
    """

    name: str = field(metadata=checks(require_name))
    data_centre: str = field(metadata=checks(require_name))
    callers: str = field(metadata=checks(require_endpoint))
    store: str = field(metadata=checks(require_endpoint))
    readiness: str | None = field(metadata=checks(require_endpoint), default=None)
    peers: str | None = field(metadata=checks(require_endpoint), default=None)
    metrics: str | None = field(metadata=checks(require_endpoint), default=None)
    bounds: DeploymentBounds = field(factory=DeploymentBounds)
    load: LoadSettings = field(factory=LoadSettings)
    log: LogSettings = field(factory=LogSettings)
    policy: ServingPolicy = field(factory=ServingPolicy)


def make_serving_policy(settings: ServingSettings) -> ServingPolicy:
    """Derives the policy of an entry from the bounds of its deployment."""
    policy = settings.policy
    bounds = settings.bounds
    revocation_s = bounds.revocation_ms / MS_PER_S
    feeds = evolve(
        policy.feeds,
        proof_max_age_s=max(MIN_LIMIT_S, revocation_s - PROOF_MARGIN_S),
        ready_age_s=revocation_s * READY_AGE_SHARE,
        gather_max_s=min(
            policy.feeds.gather_max_s, bounds.drain_ms / MS_PER_S * GATHER_SHARE
        ),
    )
    relay = evolve(
        policy.relay,
        max_age_s=min(policy.relay.max_age_s, feeds.ready_age_s * RELAY_AGE_SHARE),
    )
    moves = evolve(
        policy.moves,
        exposure_share=bounds.exposure_share,
        exposure_extra=bounds.exposure_extra,
    )
    budget = evolve(
        policy.budget,
        ratio=bounds.retry_ratio,
        extra=bounds.retry_extra,
        window_s=bounds.retry_window_s,
    )
    peers = evolve(
        policy.peers,
        max_bytes_per_s=bounds.link_mbps * BYTES_PER_MEGABIT * NOTICE_LINK_SHARE,
    )
    return evolve(
        policy,
        feeds=feeds,
        relay=relay,
        leave=make_leave_policy(policy.leave, bounds.stop_grace_s),
        moves=moves,
        budget=budget,
        peers=peers,
        load=evolve(policy.load, by_pace=settings.load.by_pace),
    )


def make_leave_policy(leave: LeavePolicy, grace_s: float) -> LeavePolicy:
    """Derives the times of a stop from the seconds that it may take.

    Requests are cut in the last sixth of them only. What a stop does before and after
    that takes less time with a short grace.
    """
    limit_s = grace_s - min(LIMIT_MARGIN_S, grace_s * LIMIT_MARGIN_SHARE)
    accept_s = max(limit_s - ACCEPT_MARGIN_S, grace_s * ACCEPT_SHARE)
    return evolve(
        leave,
        accept_s=min(leave.accept_s, accept_s),
        sweep_s=min(leave.sweep_s, grace_s * SWEEP_SHARE),
        settle_s=min(leave.settle_s, grace_s * SETTLE_SHARE),
        limit_s=limit_s,
        farewell_s=min(leave.farewell_s, grace_s * FAREWELL_SHARE),
        flush_s=min(leave.flush_s, grace_s * FLUSH_SHARE),
    )
