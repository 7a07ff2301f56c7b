"""Runs all capacity measurements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from magnoliahold.measure.capacity import heartbeats, memory, rows, ticks
from magnoliahold.measure.capacity.fits import fit_slope

if TYPE_CHECKING:
    from magnoliahold.measure.capacity.fits import Slope
    from magnoliahold.measure.options import MeasureOptions

UPSTREAM_COUNTS = (10, 40, 160, 640)
WORKSPACE_COUNTS = (100, 1_000, 5_000, 29_000)
ROW_COUNTS = (100, 200, 400, 800)
STREAM_COUNTS = (10, 100, 400, 1_600)


@frozen
class CapacityReport:
    """Slopes of costs against sizes, and sizes of messages.

    Times are processor seconds of one core, the shortest of several repeats. Memory is
    what the interpreter allocates.
    """

    relayed_token_s: Slope
    routing_decision_s: Slope
    tick_by_upstreams_s: Slope
    tick_by_streams_s: Slope
    tick_by_workspaces_s: Slope
    configuration_change_s: Slope
    start_s: Slope
    heartbeat_round_s: Slope
    workspace_memory: Slope
    upstream_memory: Slope
    stream_memory: Slope
    claim_memory: Slope
    entry_heartbeat_bytes: int
    sidecar_heartbeat_bytes: int
    workspace_row_bytes: int


def run_capacity(options: MeasureOptions) -> CapacityReport:
    """Measures all slopes with the real code in this process."""
    seconds = "s"
    memory_unit = "bytes"
    return CapacityReport(
        relayed_token_s=fit_slope(
            seconds, "upstream", UPSTREAM_COUNTS, ticks.time_relayed_token
        ),
        routing_decision_s=fit_slope(
            seconds, "upstream", UPSTREAM_COUNTS, ticks.time_routing
        ),
        tick_by_upstreams_s=fit_slope(
            seconds, "upstream", UPSTREAM_COUNTS, ticks.time_idle_tick
        ),
        tick_by_streams_s=fit_slope(
            seconds, "stream", STREAM_COUNTS, ticks.time_tick_with_streams
        ),
        tick_by_workspaces_s=fit_slope(
            seconds, "workspace", WORKSPACE_COUNTS, ticks.time_tick_with_workspaces
        ),
        configuration_change_s=fit_slope(
            seconds, "workspace", WORKSPACE_COUNTS, rows.time_change
        ),
        start_s=fit_slope(
            seconds, "workspace", WORKSPACE_COUNTS, rows.time_configuration_load
        ),
        heartbeat_round_s=fit_slope(
            seconds, "peer", UPSTREAM_COUNTS, heartbeats.time_heartbeat_round
        ),
        workspace_memory=fit_slope(
            memory_unit, "workspace", ROW_COUNTS, memory.measure_workspaces
        ),
        upstream_memory=fit_slope(
            memory_unit, "upstream", ROW_COUNTS, memory.measure_upstreams
        ),
        stream_memory=fit_slope(
            memory_unit, "stream", ROW_COUNTS, memory.measure_streams
        ),
        claim_memory=fit_slope(memory_unit, "claim", ROW_COUNTS, memory.measure_claims),
        entry_heartbeat_bytes=heartbeats.count_entry_heartbeat_bytes(),
        sidecar_heartbeat_bytes=heartbeats.count_sidecar_heartbeat_bytes(),
        workspace_row_bytes=rows.count_row_bytes(),
    )
