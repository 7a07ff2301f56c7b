"""The systems of an entry in the order in which a tick runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.systems import (
    admission,
    calls,
    canary_analysis,
    claim_results,
    claims,
    configuration,
    drain,
    followers,
    heartbeats,
    links,
    membership,
    moves,
    operators,
    placement,
    propagation,
    quarantine,
    relay,
    resumption,
    routing,
    takeover,
)
from magnoliahold.core.ticks import contain_errors

if TYPE_CHECKING:
    from magnoliahold.core.ticks import System
    from magnoliahold.core.worlds import EntryWorld


def _contain(system: System[EntryWorld]) -> System[EntryWorld]:
    """Contains the errors of a system that only decides what is refused."""
    return contain_errors(system, quarantine.forget_suspicions)


ENTRY_SYSTEMS: tuple[System[EntryWorld], ...] = (
    heartbeats.receive_heartbeats,
    membership.list_instances,
    links.check_links,
    propagation.receive_configurations,
    configuration.handle_commit_results,
    configuration.queue_applies,
    configuration.start_commit,
    propagation.catch_up_with_head,
    canary_analysis.receive_suspensions,
    canary_analysis.evaluate_versions,
    moves.advance_moves,
    placement.finish_placement_writes,
    placement.place_versions,
    operators.answer_operators,
    drain.start_leaving,
    drain.refuse_arrivals,
    _contain(quarantine.apply_notices),
    _contain(quarantine.send_quarantines_to_new_entries),
    _contain(quarantine.read_quarantines),
    _contain(quarantine.record_deaths),
    takeover.take_over_streams,
    relay.relay_tokens,
    _contain(quarantine.clear_suspects),
    relay.handle_caller_events,
    resumption.resume_failed_attempts,
    resumption.resume_lost_attempts,
    relay.resync_silent_streams,
    takeover.accept_reconnects,
    takeover.watch_takeovers,
    admission.queue_generations,
    quarantine.end_quarantined,
    admission.end_failed_generations,
    routing.route_generations,
    admission.admit_generations,
    quarantine.end_quarantined_calls,
    calls.handle_call_results,
    followers.handle_follower_results,
    calls.accept_calls,
    claims.claim_keys,
    followers.watch_followed_claims,
    calls.route_calls,
    calls.watch_calls,
    claim_results.write_results,
    _contain(quarantine.expire_suspicions),
    drain.stop_when_idle,
    heartbeats.send_heartbeats,
)
