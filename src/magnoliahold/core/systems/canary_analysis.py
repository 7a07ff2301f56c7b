"""Evaluates new versions by the evidence of sidecars and suspends failing ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.canary_analysis import (
    CanaryAnalysis,
    Cell,
    add_cumulative_results,
)
from magnoliahold.core.effects import CountMetric, SendMessage
from magnoliahold.wire.messages import Heartbeat, SuspendVersion

if TYPE_CHECKING:
    from magnoliahold.core.events import Received
    from magnoliahold.core.identity import Sender
    from magnoliahold.core.moves import ActiveMove
    from magnoliahold.core.workspaces import MoveRule
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.wire.messages import EvidenceCount


def evaluate_versions(world: EntryWorld, now: float) -> None:
    """Adds the evidence on heartbeats and suspends versions that fail."""
    heartbeats = world.inbox.read_messages(Heartbeat)
    for received in heartbeats:
        _add_evidence(world, received, now)
    for name, analysis in list(world.canary_analyses.items()):
        active = world.moves.active.get(name)
        rule = find_move_rule(world, active) if active else None
        if active is None or rule is None:
            del world.canary_analyses[name]
            continue
        analysis.close_window(now, rule, world.policy.moves)
        _suspend_failed(world, active, analysis, now)


def _add_evidence(world: EntryWorld, received: Received[Heartbeat], now: float) -> None:
    """Adds the counts of a heartbeat, those of the old version before the others."""
    counts = received.message.evidence
    for old_version in (True, False):
        for count in counts:
            active = world.moves.active.get(count.move)
            if active is None:
                continue
            if (count.version == active.row.from_version) is old_version:
                _add_count(world, active, received.sender, count, now)


def _add_count(
    world: EntryWorld,
    active: ActiveMove,
    sender: Sender,
    count: EvidenceCount,
    now: float,
) -> None:
    rule = find_move_rule(world, active)
    if rule is None:
        return
    analysis = world.canary_analyses.setdefault(count.move, CanaryAnalysis())
    row = active.row
    if count.version not in (row.from_version, row.to_version):
        return
    add_cumulative_results(
        analysis,
        (sender.name, sender.incarnation),
        Cell(sender.name, count.route, count.busy),
        count,
        count.version == row.to_version,
        rule,
        world.policy.moves,
        now,
    )


def find_move_rule(world: EntryWorld, active: ActiveMove) -> MoveRule | None:
    """Finds the rule that a move follows."""
    rule = world.workspaces.find_work(active.workspace, active.row.work)
    return rule.move if rule else None


def _suspend_failed(
    world: EntryWorld, active: ActiveMove, analysis: CanaryAnalysis, now: float
) -> None:
    rejection_reason = analysis.rejection_reason
    plain_limit = world.policy.moves.plain_failures
    if plain_limit:
        rejection_reason = "too many failures" if analysis.failed >= plain_limit else ""
    if rejection_reason:
        suspend_version(world, active, rejection_reason, now)


def suspend_version(
    world: EntryWorld, active: ActiveMove, reason: str, now: float
) -> None:
    """Stops new work on a move's new version at once and notifies every entry."""
    row = active.row
    if row.move in world.moves.suspended:
        return
    notice = SuspendVersion(
        active.workspace, row.work, row.to_version, row.move, reason
    )
    world.moves.suspended[row.move] = notice
    world.moves.suspended_at[row.move] = now
    for peer in world.peers.list_by_role("entry"):
        world.emit(SendMessage(peer.name, notice))
    world.emit(CountMetric("versions_suspended"))
    world.log_decision(
        "moves",
        "Version suspended.",
        workspace=active.workspace,
        work=row.work,
        version=row.to_version,
        move=row.move,
        reason=reason,
    )


def receive_suspensions(world: EntryWorld, now: float) -> None:
    """Records suspensions that other entries send at once or on heartbeats."""
    for received in world.inbox.read_messages(SuspendVersion):
        _record_suspension(world, received.message, now)
    for heartbeat in world.inbox.read_messages(Heartbeat):
        for notice in heartbeat.message.suspended:
            _record_suspension(world, notice, now)


def _record_suspension(world: EntryWorld, notice: SuspendVersion, now: float) -> None:
    if notice.move not in world.moves.suspended:
        world.moves.suspended[notice.move] = notice
        if notice.move in world.moves.active:
            world.moves.suspended_at[notice.move] = now


def list_suspended(world: EntryWorld) -> tuple[SuspendVersion, ...]:
    """Lists the suspensions whose move has not ended, for heartbeats."""
    return tuple(
        notice
        for notice in world.moves.suspended.values()
        if notice.move in world.moves.active
    )
