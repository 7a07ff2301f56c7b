"""The systems of a serving entry in the order in which a tick runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.serving import checks
from magnoliahold.core.serving.systems import (
    admission,
    back_pressure,
    canary_analysis,
    copies,
    crashes,
    deadlines,
    feeds,
    leaving,
    limits,
    moves,
    outcomes,
    pauses,
    peer_notices,
    pieces,
    prefix_lookups,
    proof_relay,
    quarantine,
    quarantine_stops,
    queue_refusals,
    registrations,
    routing,
    stalls,
    stop_refusals,
    store_epochs,
    upstream_health,
    upstream_signals,
)
from magnoliahold.core.ticks import contain_errors

if TYPE_CHECKING:
    from magnoliahold.core.serving.world import ServingWorld
    from magnoliahold.core.ticks import System

__all__ = ["SERVING_SYSTEMS", "checks"]


def _contain(system: System[ServingWorld]) -> System[ServingWorld]:
    """Contains the errors of a system that only decides what is refused."""
    return contain_errors(system, quarantine.forget_suspicions)


SERVING_SYSTEMS: tuple[System[ServingWorld], ...] = (
    pauses.detect_pause,
    store_epochs.detect_epoch_rise,
    feeds.apply_feed_results,
    registrations.remove_lapsed_upstreams,
    upstream_signals.apply_upstream_signals,
    limits.apply_limits,
    leaving.start_leaving,
    admission.admit_requests,
    admission.handle_caller_disconnects,
    outcomes.handle_sends,
    back_pressure.apply_back_pressure,
    pieces.open_streams,
    pieces.deliver_pieces,
    pieces.end_streams,
    outcomes.handle_answers,
    outcomes.handle_broken_attempts,
    upstream_health.handle_probe_results,
    peer_notices.apply_notices,
    store_epochs.accept_settled_epoch,
    proof_relay.apply_proofs,
    prefix_lookups.apply_prompt_lists,
    copies.handle_copy_results,
    _contain(crashes.gather_evidence),
    _contain(quarantine.update_quarantines),
    quarantine_stops.stop_quarantined,
    _contain(quarantine.rewrite_quarantines),
    canary_analysis.evaluate_versions,
    moves.advance_moves,
    stalls.watch_attempts,
    deadlines.refuse_overdue_requests,
    copies.maintain_copies,
    stop_refusals.refuse_before_stop,
    admission.handle_half_closed_callers,
    routing.route_waiting,
    deadlines.refuse_stranded_requests,
    queue_refusals.review_queues,
    upstream_health.probe_unhealthy,
    peer_notices.register_entry,
    peer_notices.notify_peers,
    peer_notices.remove_silent_peers,
    peer_notices.remove_lost_peers,
    leaving.finish_leaving,
    feeds.start_feed_calls,
)
