"""The systems of a sidecar in the order in which a tick runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.systems import (
    drain,
    engine_failures,
    evidence,
    heartbeats,
    orders,
    ownership,
    propagation,
    runs,
    silent_streams,
    streams,
    upstreams,
)

if TYPE_CHECKING:
    from magnoliahold.core.ticks import System
    from magnoliahold.core.worlds import SidecarWorld

SIDECAR_SYSTEMS: tuple[System[SidecarWorld], ...] = (
    heartbeats.receive_heartbeats,
    drain.start_leaving,
    propagation.record_heads,
    engine_failures.detect_engine_failure,
    evidence.count_results,
    ownership.watch_owners,
    streams.collect_tokens,
    runs.finish_runs,
    upstreams.handle_probes,
    runs.report_lost_runs,
    evidence.count_lost_streams,
    silent_streams.continue_silent_streams,
    upstreams.probe_upstream,
    ownership.hand_over_streams,
    streams.start_streams,
    streams.cancel_streams,
    streams.apply_acks,
    evidence.update_result_windows,
    orders.apply_placements,
    orders.finish_orders,
    orders.send_next_order,
    runs.start_runs,
    runs.fence_runs,
    runs.expire_runs,
    heartbeats.push_reports,
    drain.hand_back_streams,
    drain.stop_when_idle,
)
