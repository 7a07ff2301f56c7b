"""The systems of a sidecar in the order in which a tick runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.systems import (
    deaths,
    membership,
    runs,
    spread,
    streams,
    upstreams,
)

if TYPE_CHECKING:
    from magnoliahold.core.ticks import System
    from magnoliahold.core.worlds import SidecarWorld

SIDECAR_SYSTEMS: tuple[System[SidecarWorld], ...] = (
    membership.receive_heartbeats,
    spread.note_heads,
    deaths.note_broken_streams,
    streams.collect_tokens,
    upstreams.note_probes,
    upstreams.probe_upstream,
    streams.start_streams,
    streams.cancel_streams,
    streams.apply_acks,
    runs.finish_runs,
    runs.start_runs,
    runs.fence_runs,
    runs.expire_runs,
)
