"""Monitors a sidecar's upstream by probes and by the silence of its streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import ProbeUpstream, SendMessage
from magnoliahold.core.events import UpstreamProbed
from magnoliahold.core.systems.engine_failures import report_engine_failure
from magnoliahold.core.systems.heartbeats import make_heartbeat
from magnoliahold.core.systems.silent_streams import are_all_streams_silent
from magnoliahold.core.systems.streams import fail_stream

if TYPE_CHECKING:
    from magnoliahold.core.events import ProbedState
    from magnoliahold.core.worlds import SidecarWorld

PROBE_FAILURES_TO_DOWN = 2
RECENT_RESET_S = 1.0


def probe_upstream(world: SidecarWorld, now: float) -> None:
    """Probes the upstream at intervals, and at once when a failure is suspected."""
    policy = world.policy.streams
    upstream = world.upstream
    due = now - upstream.probe_sent_at >= policy.probe_interval_s
    if (due or upstream.probe_requested) and not upstream.probe_pending:
        upstream.probe_pending = True
        upstream.probe_requested = False
        upstream.probe_sent_at = now
        world.emit(ProbeUpstream(policy.probe_timeout_s))


def handle_probes(world: SidecarWorld, now: float) -> None:
    """Applies probe results; a new incarnation or lost engine ends its streams."""
    for event in world.inbox.read_events(UpstreamProbed):
        was_ready = world.upstream.ready
        world.upstream.probe_pending = False
        if event.state is None:
            _handle_probe_failure(world, now)
        else:
            _apply_state(world, event.state, now)
        if world.upstream.ready is not was_ready:
            broadcast_heartbeat(world, now)


def broadcast_heartbeat(world: SidecarWorld, now: float) -> None:
    """Sends a heartbeat to every entry without waiting for a request."""
    heartbeat = make_heartbeat(world, now, answer=True)
    for owner in world.owners.owners:
        world.emit(SendMessage(owner, heartbeat))


def _handle_probe_failure(world: SidecarWorld, now: float) -> None:
    """Marks the engine down after two failures, or the first if it is suspected."""
    upstream = world.upstream
    upstream.probe_failures += 1
    was_reset = now - upstream.reset_at < RECENT_RESET_S
    is_suspected = was_reset or are_all_streams_silent(world, upstream.probe_sent_at)
    enough = is_suspected or upstream.probe_failures >= PROBE_FAILURES_TO_DOWN
    if enough and upstream.ready:
        upstream.ready = False
        handle_engine_loss(world, "engine_died" if was_reset else "engine_silent", now)


def _apply_state(world: SidecarWorld, state: ProbedState, now: float) -> None:
    upstream = world.upstream
    upstream.probe_failures = 0
    upstream.answered_at = now
    if upstream.incarnation not in ("", state.incarnation):
        handle_engine_loss(world, "engine_died", now)
    upstream.incarnation = state.incarnation
    upstream.versions = state.versions
    upstream.adapters = state.adapters
    upstream.role = state.role or upstream.role
    upstream.reported_running = state.running
    upstream.capacity = state.capacity
    upstream.ready = True


def handle_engine_loss(world: SidecarWorld, reason: str, now: float) -> None:
    """Fails every stream of an engine that has crashed or is frozen."""
    world.log_decision(
        "upstream", "Engine lost.", upstream=world.upstream.name, reason=reason
    )
    if reason == "engine_died" or world.runs.unreported_lost:
        report_engine_failure(world, now)
    for stream in list(world.streams.by_handle.values()):
        if not stream.end:
            fail_stream(world, stream, reason)
