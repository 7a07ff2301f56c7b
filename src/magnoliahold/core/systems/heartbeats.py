"""Heartbeats between processes and the reports that they carry."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.effects import (
    SendMessage,
)
from magnoliahold.core.streams import Owner
from magnoliahold.core.systems.canary_analysis import list_suspended
from magnoliahold.core.systems.evidence import list_evidence
from magnoliahold.core.worlds import EntryWorld, SidecarWorld
from magnoliahold.wire.messages import Heartbeat, UpstreamReport

if TYPE_CHECKING:
    from magnoliahold.core.events import Received
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.worlds import World
    from magnoliahold.wire.messages import EvidenceCount, SuspendVersion

from magnoliahold.core.systems.membership import update_leaving_since

HEARTBEAT_CHECK_INTERVAL_S = 0.02


def receive_heartbeats(world: World, now: float) -> None:
    """Records what peers report about themselves and answers their heartbeats."""
    for sender in world.inbox.senders.values():
        known = world.peers.peers.get(sender.name)
        if known is not None and known.incarnation in (
            "",
            sender.incarnation,
        ):
            known.last_received_at = now
    for received in world.inbox.read_messages(Heartbeat):
        record_owner(world, received, now)
        peer = world.peers.peers.get(received.sender.name)
        if peer is not None:
            _update_peer(world, peer, received, now)
        if not received.message.answer:
            echo = received.message.clock
            answer = evolve(make_heartbeat(world, now, answer=True), echo=echo)
            world.emit(SendMessage(received.sender.name, answer))


def _update_peer(
    world: World, peer: Peer, received: Received[Heartbeat], now: float
) -> None:
    heartbeat = received.message
    if peer.lost:
        world.log_decision(
            "membership",
            "Peer is live.",
            peer=peer.name,
            incarnation=received.sender.incarnation,
        )
    if peer.incarnation != received.sender.incarnation:
        world.peers.has_losses = True
        peer.leaving = False
    peer.incarnation = received.sender.incarnation
    peer.last_received_at = now
    peer.lost = False
    if peer.link_reset_at is not None and heartbeat.echo >= peer.link_reset_at:
        peer.link_reset_at = None
    peer.clock_offset = heartbeat.clock - now
    peer.leaving = peer.leaving or heartbeat.leaving
    update_leaving_since(peer, now)
    peer.assigned_at_last_report = peer.assigned
    peer.configuration_head = heartbeat.configuration_head
    peer.report = heartbeat.report
    peer.evidence = heartbeat.evidence
    peer.suspended = heartbeat.suspended


def send_heartbeats(world: World, now: float) -> None:
    """Sends a heartbeat on each link when it is due."""
    if now < world.peers.next_heartbeat_check_at:
        return
    world.peers.next_heartbeat_check_at = now + HEARTBEAT_CHECK_INTERVAL_S
    policy = world.policy.membership
    for peer in world.peers.peers.values():
        interval_s = policy.resting_heartbeat_s
        if _needs_frequent_heartbeats(world, peer, now):
            interval_s = policy.heartbeat_s
        if now - peer.heartbeat_sent_at >= interval_s:
            peer.heartbeat_sent_at = now
            world.emit(SendMessage(peer.name, make_heartbeat(world, now, answer=False)))


def _needs_frequent_heartbeats(world: World, peer: Peer, now: float) -> bool:
    """Tells whether a link needs frequent heartbeats.

    It does while its peer is lost or its connection was reset, and while it is watched
    and nothing else has arrived on it lately.
    """
    if peer.lost or peer.link_reset_at is not None:
        return True
    silent_s = now - peer.last_contact_at
    watched = peer.watched_since is not None
    return watched and silent_s >= world.policy.membership.heartbeat_s


def make_heartbeat(world: World, now: float, *, answer: bool) -> Heartbeat:
    """Builds a heartbeat of this process."""
    identity = world.identity
    return Heartbeat(
        clock=now,
        answer=answer,
        role=identity.role,
        data_centre=identity.data_centre,
        leaving=world.leaving_since is not None,
        configuration_head=world.workspaces.head,
        report=make_report(world),
        evidence=list_reported_evidence(world, now),
        suspended=list_reported_suspensions(world),
    )


@singledispatch
def list_reported_evidence(world: World, now: float) -> tuple[EvidenceCount, ...]:
    """Lists the result counts that a sidecar reports; entries have none."""
    return ()


@list_reported_evidence.register(SidecarWorld)
def _list_sidecar_evidence(
    world: SidecarWorld, now: float
) -> tuple[EvidenceCount, ...]:
    return list_evidence(world, now)


@singledispatch
def list_reported_suspensions(world: World) -> tuple[SuspendVersion, ...]:
    """Lists the versions that an entry has suspended; sidecars have none."""
    return ()


@list_reported_suspensions.register(EntryWorld)
def _list_entry_suspensions(world: EntryWorld) -> tuple[SuspendVersion, ...]:
    return list_suspended(world)


@singledispatch
def make_report(world: World) -> UpstreamReport | None:
    """Builds the report on the upstream; entries have none."""
    return None


@make_report.register(SidecarWorld)
def _make_sidecar_report(world: SidecarWorld) -> UpstreamReport | None:
    upstream = world.upstream
    placement = world.orders.placement
    return UpstreamReport(
        name=upstream.name,
        kind=upstream.kind,
        ready=upstream.ready,
        role=upstream.role,
        versions=upstream.versions,
        adapters=upstream.adapters,
        engine_incarnation=upstream.incarnation,
        running=len(world.streams.by_handle),
        reported_running=upstream.reported_running,
        capacity=upstream.capacity,
        checks_fencing=upstream.checks_fencing,
        suspects=_count_suspects(world),
        placed=placement.versions if placement else (),
        placement=placement.fencing if placement else 0,
    )


def _count_suspects(world: SidecarWorld) -> int:
    streams = sum(item.start.suspect for item in world.streams.by_handle.values())
    return streams + sum(run.suspect for run in world.runs.in_flight.values())


@singledispatch
def record_owner(world: World, received: Received[Heartbeat], now: float) -> None:
    """Records the sender as an owner of streams; does nothing at an entry."""


@record_owner.register(SidecarWorld)
def _record_sidecar_owner(
    world: SidecarWorld, received: Received[Heartbeat], now: float
) -> None:
    sender = received.sender
    world.owners.owners[sender.name] = Owner(
        name=sender.name,
        incarnation=sender.incarnation,
        last_received_at=now,
        configuration_head=received.message.configuration_head,
        data_centre=received.message.data_centre,
        last_report_at=now,
        last_reported_running=len(world.streams.by_handle),
    )


def push_reports(world: SidecarWorld, now: float) -> None:
    """Reports a considerable change of load to entries before the next heartbeat."""
    policy = world.policy.membership
    running = len(world.streams.by_handle)
    step = max(1, int(world.upstream.capacity * policy.report_step))
    for owner in world.owners.owners.values():
        is_live = (
            now - owner.last_received_at
            < policy.peer_lost_s + policy.resting_heartbeat_s
        )
        is_due = now - owner.last_report_at >= policy.heartbeat_s
        if is_live and is_due and abs(running - owner.last_reported_running) >= step:
            owner.last_report_at = now
            owner.last_reported_running = running
            report = make_heartbeat(world, now, answer=True)
            world.emit(SendMessage(owner.name, report))
