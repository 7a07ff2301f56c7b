"""Watches a sidecar's upstream by probes and by the silence of its streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import ProbeUpstream
from magnoliahold.core.events import UpstreamProbed
from magnoliahold.core.systems.deaths import report_death
from magnoliahold.core.systems.streams import fail_stream

if TYPE_CHECKING:
    from magnoliahold.core.events import ProbedState
    from magnoliahold.core.worlds import SidecarWorld

PROBE_FAILURES_TO_DOWN = 2


def probe_upstream(world: SidecarWorld, now: float) -> None:
    """Probes the upstream at intervals."""
    policy = world.policy.streams
    upstream = world.upstream
    due = now - upstream.probe_sent_at >= policy.probe_interval_s
    if due and not upstream.probe_pending:
        upstream.probe_pending = True
        upstream.probe_sent_at = now
        world.emit(ProbeUpstream(policy.probe_timeout_s))


def note_probes(world: SidecarWorld, now: float) -> None:
    """Notes the upstream's state; a new incarnation or silence ends its streams."""
    for event in world.inbox.read_events(UpstreamProbed):
        world.upstream.probe_pending = False
        if event.state is None:
            _note_failure(world, now)
        else:
            _note_state(world, event.state, now)


def _note_failure(world: SidecarWorld, now: float) -> None:
    upstream = world.upstream
    upstream.probe_failures += 1
    if upstream.probe_failures >= PROBE_FAILURES_TO_DOWN and upstream.ready:
        upstream.ready = False
        lose_engine(world, "engine_silent", now)


def _note_state(world: SidecarWorld, state: ProbedState, now: float) -> None:
    upstream = world.upstream
    upstream.probe_failures = 0
    upstream.answered_at = now
    if upstream.incarnation not in ("", state.incarnation):
        lose_engine(world, "engine_died", now)
    world.runs.broken.clear()
    upstream.incarnation = state.incarnation
    upstream.versions = state.versions
    upstream.adapters = state.adapters
    upstream.role = state.role or upstream.role
    upstream.reported_running = state.running
    upstream.capacity = state.capacity
    upstream.ready = True


def lose_engine(world: SidecarWorld, reason: str, now: float) -> None:
    """Fails every stream of an engine that is dead or frozen."""
    world.log_decision(
        "upstream", "Engine lost.", upstream=world.upstream.name, reason=reason
    )
    if reason == "engine_died" or world.runs.broken:
        report_death(world, now)
    for stream in list(world.streams.by_handle.values()):
        if not stream.end:
            fail_stream(world, stream, reason)
