"""Health of the upstreams, as this entry observes it.

An upstream is suspected after a sign of failure. It is down once a probe of it or a
connection to it has failed, or another upstream has its address. Any response makes it
healthy again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.serving.effects import ProbeServingUpstream
from magnoliahold.core.serving.events import (
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld


def probe(
    world: ServingWorld,
    upstream: Upstream,
    reason: str,
    now: float,
    in_backoff: bool = False,
) -> None:
    """Probes an upstream unless it backs off, or a probe is in progress or recent.

    Only `in_backoff` it is probed even so.
    """
    if upstream.probe_sent_at is not None or now < upstream.next_probe_at:
        return
    if upstream.backs_off(now) and not in_backoff:
        return
    policy = world.serving_policy.watch
    upstream.probe_sent_at = now
    upstream.record_send(now)
    upstream.next_probe_at = now + policy.probe_interval_s
    world.emit(ProbeServingUpstream(upstream.record, policy.probe_timeout_s))
    world.log_decision(
        "trust",
        "Upstream probed.",
        upstream=upstream.id,
        reason=reason,
        unheard_s=round(now - upstream.last_received_at, 3),
    )


def mark_suspected(
    world: ServingWorld,
    upstream: Upstream,
    reason: str,
    now: float,
    reset: bool = False,
) -> None:
    """Marks an upstream as suspected, so that it gets no new work, and probes it.

    After a reset, the process that asked for a backoff may be gone.
    """
    if upstream.health is UpstreamHealth.HEALTHY:
        upstream.health = UpstreamHealth.SUSPECTED
        world.upstreams.record_incident(upstream.record, now)
        world.log_decision(
            "trust", "Upstream suspected.", upstream=upstream.id, reason=reason
        )
        _probe_neighbours(world, upstream, now)
    probe(world, upstream, reason, now, in_backoff=reset)


def mark_down(
    world: ServingWorld,
    upstream: Upstream,
    reason: str,
    now: float,
    silent: bool = False,
) -> None:
    """Marks an upstream as down until it responds; delays its next probe.

    `silent` means that it didn't answer at all.
    """
    policy = world.serving_policy.watch
    if upstream.health is not UpstreamHealth.DOWN:
        world.log_decision(
            "trust", "Upstream down.", upstream=upstream.id, reason=reason
        )
        upstream.failed_probes = 0
        world.upstreams.record_incident(upstream.record, now)
        _probe_neighbours(world, upstream, now)
    upstream.health = UpstreamHealth.DOWN
    upstream.silent = silent
    delay_s = policy.down_probe_s * 2**upstream.failed_probes
    upstream.failed_probes = min(upstream.failed_probes + 1, 8)
    upstream.next_probe_at = now + min(delay_s, policy.down_probe_max_s)


def is_lost(world: ServingWorld, upstream: Upstream) -> bool:
    """Tells whether an upstream that is down has ended, and isn't only silent.

    Then its registration is gone or that of another start, or it refuses connections.
    One that is leaving may refuse them while it ends what it has.
    """
    if upstream.health is not UpstreamHealth.DOWN:
        return False
    if not world.upstreams.is_registered(upstream):
        return True
    return upstream.refuses and not upstream.leaving


def await_sign_of_life(
    world: ServingWorld, upstream: Upstream, reason: str, now: float
) -> None:
    """Gives an upstream no request until it has answered a probe."""
    upstream.awaits_sign = True
    upstream.health = UpstreamHealth.SUSPECTED
    world.log_decision(
        "trust", "Upstream awaits a probe.", upstream=upstream.id, reason=reason
    )
    probe(world, upstream, reason, now)


def _probe_neighbours(world: ServingWorld, upstream: Upstream, now: float) -> None:
    """Probes busy upstreams of the same data centre that may have failed with it."""
    record = upstream.record
    for other in world.upstreams.list_service(record.service):
        if other is upstream or not other.attempts:
            continue
        same_data_centre = other.record.data_centre == record.data_centre
        silent_s = now - other.last_received_at
        if same_data_centre and silent_s > world.serving_policy.watch.neighbour_quiet_s:
            probe(
                world,
                other,
                "another upstream in its data centre is suspected or down",
                now,
            )


def handle_probe_results(world: ServingWorld, now: float) -> None:
    """Marks upstreams that answered a probe as healthy and the others as down."""
    for answered in world.inbox.read_events(UpstreamAnsweredProbe):
        upstream = _find_probed(world, answered.upstream_id, answered.born_ms)
        if upstream is not None:
            upstream.probe_sent_at = None
            mark_healthy(world, upstream, now)
    for failed in world.inbox.read_events(UpstreamFailedProbe):
        upstream = _find_probed(world, failed.upstream_id, failed.born_ms)
        if upstream is not None:
            upstream.probe_sent_at = None
            mark_down(world, upstream, failed.reason, now, failed.silent)


def _find_probed(
    world: ServingWorld, upstream_id: str, born_ms: int
) -> Upstream | None:
    upstream = world.upstreams.by_id.get(upstream_id)
    if upstream is not None and upstream.record.born_ms == born_ms:
        return upstream
    for attempt in world.requests.attempts.values():
        record = attempt.upstream.record
        if (record.id, record.born_ms) == (upstream_id, born_ms):
            return attempt.upstream
    return None


def mark_healthy(world: ServingWorld, upstream: Upstream, now: float) -> None:
    """Records a response of an upstream's process, which makes it healthy."""
    upstream.last_received_at = now
    upstream.has_answered = True
    upstream.awaits_sign = False
    if upstream.health is UpstreamHealth.HEALTHY:
        return
    upstream.health = UpstreamHealth.HEALTHY
    upstream.failed_probes = 0
    world.log_decision("trust", "Upstream healthy again.", upstream=upstream.id)


def probe_unhealthy(world: ServingWorld, now: float) -> None:
    """Probes upstreams that are not healthy, so that they can be used again."""
    if not world.scan_due:
        return
    for upstream in world.upstreams.by_id.values():
        if upstream.health is not UpstreamHealth.HEALTHY and not upstream.leaving:
            probe(world, upstream, "not healthy", now)
