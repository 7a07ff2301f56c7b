"""The systems of an entry in the order in which a tick runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.systems import (
    admission,
    calls,
    configuration,
    membership,
    operators,
    relay,
    resumption,
    routing,
    spread,
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
    operators.answer_operators,
    relay.relay_tokens,
    relay.follow_callers,
    resumption.resume_failed,
    resumption.resume_lost,
    admission.queue_generations,
    admission.admit_generations,
    routing.route_generations,
    calls.settle_calls,
    calls.accept_calls,
    calls.route_calls,
    membership.send_heartbeats,
)
