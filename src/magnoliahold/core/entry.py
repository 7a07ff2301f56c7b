"""The systems of an entry in the order in which a tick runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.systems import (
    admission,
    calls,
    claims,
    configuration,
    drain,
    followers,
    judgement,
    membership,
    moves,
    operators,
    placement,
    quarantine,
    relay,
    results,
    resumption,
    routing,
    spread,
    takeover,
)

if TYPE_CHECKING:
    from magnoliahold.core.ticks import System
    from magnoliahold.core.worlds import EntryWorld

ENTRY_SYSTEMS: tuple[System[EntryWorld], ...] = (
    membership.receive_heartbeats,
    membership.list_instances,
    membership.judge_links,
    spread.receive_configurations,
    configuration.settle_commits,
    configuration.queue_applies,
    configuration.start_commit,
    spread.follow_head,
    judgement.learn_suspensions,
    judgement.judge_versions,
    moves.advance_moves,
    placement.settle_placements,
    placement.place_versions,
    operators.answer_operators,
    drain.start_leaving,
    drain.refuse_arrivals,
    quarantine.take_notices,
    quarantine.tell_new_entries,
    quarantine.read_quarantines,
    quarantine.note_deaths,
    takeover.take_over_streams,
    relay.relay_tokens,
    quarantine.clear_suspects,
    relay.follow_callers,
    resumption.resume_failed,
    resumption.resume_lost,
    relay.ask_silent_streams,
    takeover.accept_returns,
    takeover.watch_takeovers,
    admission.queue_generations,
    quarantine.end_quarantined,
    admission.end_exhausted,
    routing.route_generations,
    admission.admit_generations,
    quarantine.end_quarantined_calls,
    calls.settle_calls,
    followers.settle_followers,
    calls.accept_calls,
    claims.claim_keys,
    followers.follow_claims,
    calls.route_calls,
    calls.watch_calls,
    results.write_results,
    quarantine.expire_suspicions,
    drain.stop_when_idle,
    membership.send_heartbeats,
)
