"""Heartbeats, the instance list and the judgement of silent links."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.effects import (
    CloseLink,
    ListInstances,
    OpenLink,
    ReplaceLink,
    SendMessage,
)
from magnoliahold.core.events import InstancesListed, LinkBroke
from magnoliahold.core.peers import Peer
from magnoliahold.core.streams import Owner
from magnoliahold.core.systems.evidence import list_evidence
from magnoliahold.core.systems.judgement import list_suspended
from magnoliahold.core.systems.subsets import choose_subset
from magnoliahold.core.worlds import EntryWorld, SidecarWorld
from magnoliahold.wire.messages import Heartbeat, UpstreamReport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliahold.core.events import Received
    from magnoliahold.core.worlds import World
    from magnoliahold.platform.interfaces import Instance
    from magnoliahold.wire.messages import EvidenceCount, SuspendVersion

SCAN_INTERVAL_S = 0.02


def add_peer(world: World, peer: Peer, now: float) -> None:
    """Adds a process to the table and opens the link to it."""
    peer.link_opened_at = now
    world.peers.peers[peer.name] = peer
    world.emit(OpenLink(peer.name, peer.address, peer.port))


def list_instances(world: World, now: float) -> None:
    """Asks for the instance list at intervals and learns new processes from it.

    A process that is missing from the list is kept while it is heard: the list lags,
    and it may be empty when the platform fails.
    """
    for event in world.inbox.read_events(InstancesListed):
        if event.instances is not None:
            _learn_instances(world, event.instances, now)
        else:
            world.peers.next_list_at = now + world.policy.membership.list_retry_s
    if now >= world.peers.next_list_at:
        interval = world.policy.membership.list_interval_s
        world.peers.next_list_at = now + interval * world.random.uniform(0.8, 1.2)
        world.emit(ListInstances())


def _learn_instances(world: World, instances: tuple[Instance, ...], now: float) -> None:
    listed = {instance.name for instance in instances}
    for peer in list(world.peers.peers.values()):
        peer.listed = peer.listed and (peer.name in listed or not instances)
        _forget_peer(world, peer, now)
    for instance in choose_known(world, instances):
        if instance.name != world.identity.name:
            _learn_instance(world, instance, now)


def choose_known(world: World, instances: tuple[Instance, ...]) -> Iterable[Instance]:
    """Chooses the processes to link to; of many sidecars an entry takes a subset."""
    sidecars = sum(instance.role == "sidecar" for instance in instances)
    policy = world.policy.routing
    if world.identity.role != "entry" or sidecars <= policy.known_upstreams:
        return instances
    own = next((item for item in instances if item.name == world.identity.name), None)
    if own is None:
        return instances[:0]
    chosen = choose_subset(own, instances, policy.entries_per_upstream)
    return [item for item in instances if item.role == "entry" or item.name in chosen]


def _learn_instance(world: World, instance: Instance, now: float) -> None:
    address, _, port = instance.address.rpartition(":")
    known = world.peers.peers.get(instance.name)
    if known is None or (known.lost and known.address != address):
        peer = Peer(
            name=instance.name,
            role=instance.role,
            address=address,
            port=int(port),
            data_centre=instance.data_centre,
        )
        add_peer(world, peer, now)
        return
    known.listed = True
    known.listed_leaving = instance.leaving
    _time_leaving(known, now)


def note_leaving(peer: Peer, now: float) -> None:
    """Marks a process as leaving for the rest of its incarnation."""
    peer.leaving = True
    _time_leaving(peer, now)


def _time_leaving(peer: Peer, now: float) -> None:
    """Keeps since when a process is known to leave."""
    if not (peer.leaving or peer.listed_leaving):
        peer.leaving_since = None
    elif peer.leaving_since is None:
        peer.leaving_since = now


def _forget_peer(world: World, peer: Peer, now: float) -> None:
    heard_at = peer.heard_at if peer.heard_at is not None else peer.link_opened_at
    silent_s = now - heard_at
    if peer.listed or silent_s < world.policy.membership.peer_forgotten_s:
        return
    del world.peers.peers[peer.name]
    world.peers.has_losses = True
    world.emit(CloseLink(peer.name))


def receive_heartbeats(world: World, now: float) -> None:
    """Notes what peers tell of themselves and answers their heartbeats."""
    for sender in world.inbox.senders.values():
        known = world.peers.peers.get(sender.name)
        if known is not None and known.incarnation in ("", sender.incarnation):
            known.heard_at = now
    for received in world.inbox.read_messages(Heartbeat):
        note_heartbeat(world, received, now)
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
    peer.heard_at = now
    peer.lost = False
    if peer.broken_at is not None and heartbeat.echo >= peer.broken_at:
        peer.broken_at = None
    peer.clock_offset = heartbeat.clock - now
    peer.leaving = peer.leaving or heartbeat.leaving
    _time_leaving(peer, now)
    peer.assigned_reported = peer.assigned
    peer.configuration_head = heartbeat.configuration_head
    peer.report = heartbeat.report
    peer.evidence = heartbeat.evidence
    peer.suspended = heartbeat.suspended


def send_heartbeats(world: World, now: float) -> None:
    """Sends a heartbeat on each link when it is due."""
    if now < world.peers.next_ask_at:
        return
    world.peers.next_ask_at = now + SCAN_INTERVAL_S
    policy = world.policy.membership
    for peer in world.peers.peers.values():
        interval = policy.resting_heartbeat_s
        if _is_watched(world, peer, now):
            interval = policy.heartbeat_s
        if now - peer.asked_at >= interval:
            peer.asked_at = now
            world.emit(SendMessage(peer.name, make_heartbeat(world, now, answer=False)))


def _is_watched(world: World, peer: Peer, now: float) -> bool:
    """Tells whether a link is asked often: watched, and not heard anyway."""
    if peer.lost or peer.broken_at is not None:
        return True
    unheard_s = now - _read_last_sign(peer)
    watched = peer.watched_since is not None
    return watched and unheard_s >= world.policy.membership.heartbeat_s


def judge_links(world: World, now: float) -> None:
    """Replaces broken and silent links and marks processes that stay silent as lost."""
    table = world.peers
    if now < table.next_judge_at and not world.inbox.read_events(LinkBroke):
        return
    table.next_judge_at = now + SCAN_INTERVAL_S
    _forgive_own_pause(world, now)
    _note_broken_links(world, now)
    policy = world.policy.membership
    for peer in world.peers.peers.values():
        _note_watch(world, peer, now)
        if peer.broken_at is not None and now - peer.broken_at >= policy.broken_link_s:
            peer.broken_at = None
            _lose_peer(world, peer, "link reset")
        silent_s = now - _read_last_sign(peer)
        if peer.watched_since is None:
            silent_s -= policy.resting_heartbeat_s
        else:
            silent_s = min(silent_s, now - peer.watched_since)
        if silent_s < policy.link_silent_s:
            continue
        if peer.assigned > 0 and not peer.lost:
            _raise_alarm(world, now)
        if now - peer.link_opened_at >= policy.link_silent_s:
            replace_link(world, peer, now)
        if silent_s >= policy.peer_lost_s:
            _lose_peer(world, peer, "silent")


def _note_watch(world: World, peer: Peer, now: float) -> None:
    """Notes since when a link is watched: it carries work, or another fell silent."""
    alarm_s = now - world.peers.alarm_at
    watched = peer.assigned > 0 or alarm_s < world.policy.membership.alarm_s
    if not watched:
        peer.watched_since = None
    elif peer.watched_since is None:
        peer.watched_since = now


def _raise_alarm(world: World, now: float) -> None:
    """Has every link asked soon, since what silenced one may have silenced more."""
    if now - world.peers.alarm_at >= world.policy.membership.alarm_s:
        world.peers.alarm_at = now


def is_heard_since_alarm(world: World, peer: Peer) -> bool:
    """Tells whether a process has shown life since another one last fell silent."""
    return _read_last_sign(peer) >= world.peers.alarm_at


def _read_last_sign(peer: Peer) -> float:
    return peer.link_opened_at if peer.heard_at is None else peer.heard_at


def _forgive_own_pause(world: World, now: float) -> None:
    """Takes the time that this process itself stood still off the peers' silence."""
    judged_at = world.peers.judged_at
    world.peers.judged_at = now
    pause_s = 0.0 if judged_at is None else now - judged_at
    if pause_s < world.policy.membership.heartbeat_s:
        return
    for peer in world.peers.peers.values():
        peer.link_opened_at += pause_s
        if peer.watched_since is not None:
            peer.watched_since += pause_s
        if peer.heard_at is not None and peer.heard_at < now:
            peer.heard_at += pause_s
        if peer.broken_at is not None:
            peer.broken_at += pause_s


def _note_broken_links(world: World, now: float) -> None:
    """Asks over a new connection; one that is refused or reset too shows a death."""
    for event in world.inbox.read_events(LinkBroke):
        peer = world.peers.peers.get(event.peer)
        if peer is None or peer.lost:
            continue
        if peer.broken_at is None:
            peer.broken_at = now
            replace_link(world, peer, now)
        else:
            peer.broken_at = None
            _lose_peer(world, peer, "connection refused")


def replace_link(world: World, peer: Peer, now: float) -> None:
    """Opens a new connection to a process and asks at once whether it answers."""
    peer.link_opened_at = now
    peer.asked_at = now
    world.emit(ReplaceLink(peer.name))
    world.emit(SendMessage(peer.name, make_heartbeat(world, now, answer=False)))


def _lose_peer(world: World, peer: Peer, reason: str) -> None:
    if not peer.lost:
        peer.lost = True
        world.peers.has_losses = True
        world.log_decision("membership", "Peer is lost.", peer=peer.name, reason=reason)


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
        evidence=make_evidence(world, now),
        suspended=make_suspended(world),
    )


@singledispatch
def make_evidence(world: World, now: float) -> tuple[EvidenceCount, ...]:
    """Lists the counts of results that a sidecar tells; entries have none."""
    return ()


@make_evidence.register(SidecarWorld)
def _make_sidecar_evidence(
    world: SidecarWorld, now: float
) -> tuple[EvidenceCount, ...]:
    return list_evidence(world, now)


@singledispatch
def make_suspended(world: World) -> tuple[SuspendVersion, ...]:
    """Lists the versions that an entry has suspended; sidecars have none."""
    return ()


@make_suspended.register(EntryWorld)
def _make_entry_suspended(world: EntryWorld) -> tuple[SuspendVersion, ...]:
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
    return streams + sum(run.suspect for run in world.runs.open.values())


@singledispatch
def note_heartbeat(world: World, received: Received[Heartbeat], now: float) -> None:
    """Notes an entry as an owner of streams; entries need no such note."""


@note_heartbeat.register(SidecarWorld)
def _note_owner(world: SidecarWorld, received: Received[Heartbeat], now: float) -> None:
    sender = received.sender
    world.owners.owners[sender.name] = Owner(
        name=sender.name,
        incarnation=sender.incarnation,
        heard_at=now,
        configuration_head=received.message.configuration_head,
        data_centre=received.message.data_centre,
        told_at=now,
        told_running=len(world.streams.by_handle),
    )


def push_reports(world: SidecarWorld, now: float) -> None:
    """Reports a changed load to entries before their next heartbeat."""
    policy = world.policy.membership
    running = len(world.streams.by_handle)
    step = max(1, int(world.upstream.capacity * policy.report_step))
    for owner in world.owners.owners.values():
        is_live = now - owner.heard_at < policy.peer_lost_s + policy.resting_heartbeat_s
        is_due = now - owner.told_at >= policy.heartbeat_s
        if is_live and is_due and abs(running - owner.told_running) >= step:
            owner.told_at = now
            owner.told_running = running
            report = make_heartbeat(world, now, answer=True)
            world.emit(SendMessage(owner.name, report))
