"""Checks links: replaces silent ones and marks silent processes as lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import (
    ReplaceLink,
    SendMessage,
)
from magnoliahold.core.events import LinkBroke

if TYPE_CHECKING:
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.worlds import World

from magnoliahold.core.systems.heartbeats import make_heartbeat

LINK_CHECK_INTERVAL_S = 0.02


def check_links(world: World, now: float) -> None:
    """Replaces broken and silent links and marks processes that stay silent as lost."""
    table = world.peers
    if now < table.next_link_check_at and not world.inbox.read_events(LinkBroke):
        return
    table.next_link_check_at = now + LINK_CHECK_INTERVAL_S
    _discount_own_pause(world, now)
    _handle_broken_links(world, now)
    policy = world.policy.membership
    for peer in world.peers.peers.values():
        _update_watch(world, peer, now)
        if (
            peer.link_reset_at is not None
            and now - peer.link_reset_at >= policy.broken_link_s
        ):
            peer.link_reset_at = None
            _mark_lost(world, peer, "link reset")
        silent_s = now - peer.last_contact_at
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
            _mark_lost(world, peer, "silent")


def _update_watch(world: World, peer: Peer, now: float) -> None:
    """Updates since when a link is watched.

    A link is watched while it carries work and for a while after another one with work
    fell silent.
    """
    since_alarm_s = now - world.peers.alarm_at
    watched = peer.assigned > 0 or since_alarm_s < world.policy.membership.alarm_s
    if not watched:
        peer.watched_since = None
    elif peer.watched_since is None:
        peer.watched_since = now


def _raise_alarm(world: World, now: float) -> None:
    """Puts every link under watch: the cause of one silence may affect more links."""
    if now - world.peers.alarm_at >= world.policy.membership.alarm_s:
        world.peers.alarm_at = now


def responded_since_alarm(world: World, peer: Peer) -> bool:
    """Tells whether a peer sent data, or its link was opened, since the last alarm."""
    return peer.last_contact_at >= world.peers.alarm_at


def _discount_own_pause(world: World, now: float) -> None:
    """Excludes the time in which this process was paused from the peers' silence."""
    links_checked_at = world.peers.links_checked_at
    world.peers.links_checked_at = now
    pause_s = 0.0 if links_checked_at is None else now - links_checked_at
    if pause_s < world.policy.membership.heartbeat_s:
        return
    for peer in world.peers.peers.values():
        peer.link_opened_at += pause_s
        if peer.watched_since is not None:
            peer.watched_since += pause_s
        if peer.last_received_at is not None and peer.last_received_at < now:
            peer.last_received_at += pause_s
        if peer.link_reset_at is not None:
            peer.link_reset_at += pause_s


def _handle_broken_links(world: World, now: float) -> None:
    """Probes peers over new connections; one whose new link fails too is lost."""
    for event in world.inbox.read_events(LinkBroke):
        peer = world.peers.peers.get(event.peer)
        if peer is None or peer.lost:
            continue
        if peer.link_reset_at is None:
            peer.link_reset_at = now
            replace_link(world, peer, now)
        else:
            peer.link_reset_at = None
            _mark_lost(world, peer, "connection refused")


def replace_link(world: World, peer: Peer, now: float) -> None:
    """Opens a new connection to a process and sends a heartbeat to it at once."""
    peer.link_opened_at = now
    peer.heartbeat_sent_at = now
    world.emit(ReplaceLink(peer.name))
    world.emit(SendMessage(peer.name, make_heartbeat(world, now, answer=False)))


def _mark_lost(world: World, peer: Peer, reason: str) -> None:
    if not peer.lost:
        peer.lost = True
        world.peers.has_losses = True
        world.log_decision("membership", "Peer is lost.", peer=peer.name, reason=reason)
