"""Writes placement rows and sends them to sidecars."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import SendMessage, Transact
from magnoliahold.core.events import TransactionFinished
from magnoliahold.core.placement import (
    PLACEMENTS_TABLE,
    decode_placement,
    encode_placement,
    get_needs,
)
from magnoliahold.core.systems.moves import compute_staggered_delay_s
from magnoliahold.core.systems.stored_rows import decode_stored
from magnoliahold.storage.interfaces import Condition, Write
from magnoliahold.wire.messages import PlacementPush

if TYPE_CHECKING:
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.placement import VersionNeeds
    from magnoliahold.core.worlds import EntryWorld


def finish_placement_writes(world: EntryWorld, now: float) -> None:
    """Handles the outcomes of writes; a lost answer shows up as a conflict later."""
    table = world.placement
    for finished in world.inbox.read_events(TransactionFinished):
        written = table.writes.pop(finished.token, None)
        if written is None or finished.outcome is None:
            continue
        if finished.outcome.committed:
            _update_known_placement(world, written)
            world.log_decision(
                "placement",
                "Versions placed.",
                upstream=written.upstream,
                versions=",".join(written.versions),
                fencing=written.fencing,
            )
        for row in finished.outcome.conflicts:
            if row.table != PLACEMENTS_TABLE:
                continue
            placement = decode_stored(world, row, decode_placement)
            if placement is not None:
                _update_known_placement(world, placement)


def _update_known_placement(world: EntryWorld, placement: PlacementPush) -> None:
    known = world.placement.rows.get(placement.upstream)
    if known is None or known.fencing < placement.fencing:
        world.placement.rows[placement.upstream] = placement


def place_versions(world: EntryWorld, now: float) -> None:
    """Writes the placements that are due and resends those that a sidecar lacks."""
    table = world.placement
    policy = world.policy.placement
    if now < table.next_at:
        return
    table.next_at = now + policy.interval_s
    configuration = world.configuration
    if (
        not configuration.loaded
        or configuration.latest_known_head > world.workspaces.head
    ):
        return
    needs = get_needs(world, policy.loads_at_once)
    for name, wanted in needs.items():
        peer = world.peers.peers.get(name)
        if peer is not None:
            _update_placement(world, peer, wanted, now)


def _update_placement(
    world: EntryWorld, peer: Peer, wanted: VersionNeeds, now: float
) -> None:
    report = peer.report
    if report is None:
        return
    table = world.placement
    known = table.rows.get(report.name)
    if known is not None and known.fencing > report.placement:
        world.emit(SendMessage(peer.name, known))
        return
    present = report.placed if report.placement else report.versions
    versions = wanted.choose_versions(present)
    if set(versions) == set(present):
        table.due_since.pop(report.name, None)
        return
    due_since = table.due_since.setdefault(report.name, now)
    if now - due_since < compute_staggered_delay_s(world, f"placement {report.role}"):
        return
    if known is not None and known.head > world.workspaces.head:
        return
    placement = PlacementPush(
        upstream=report.name,
        versions=versions,
        adapters=report.adapters,
        role=report.role,
        fencing=report.placement + 1,
        head=world.workspaces.head,
    )
    _write_placement(world, placement)


def _write_placement(world: EntryWorld, placement: PlacementPush) -> None:
    table = world.placement
    busy = any(item.upstream == placement.upstream for item in table.writes.values())
    if busy:
        return
    token = world.make_id("place")
    table.writes[token] = placement
    upstream = placement.upstream
    conditions = (Condition(PLACEMENTS_TABLE, upstream, placement.fencing - 1),)
    writes = (Write(PLACEMENTS_TABLE, upstream, encode_placement(placement)),)
    world.emit(Transact(token, conditions, writes))
