"""Maintains the peer table from the instance list and the activity of peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import (
    CloseLink,
    ListInstances,
    OpenLink,
)
from magnoliahold.core.events import InstancesListed
from magnoliahold.core.peers import Peer
from magnoliahold.core.systems.subsets import choose_subset
from magnoliahold.decoding import describe_error
from magnoliahold.endpoints import parse_endpoint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliahold.core.worlds import World
    from magnoliahold.endpoints import Endpoint
    from magnoliahold.storage.interfaces import Instance


def add_peer(world: World, peer: Peer, now: float) -> None:
    """Adds a process to the table and opens the link to it."""
    peer.link_opened_at = now
    world.peers.peers[peer.name] = peer
    world.emit(OpenLink(peer.name, peer.address, peer.port))


def list_instances(world: World, now: float) -> None:
    """Requests the instance list at intervals and updates the peer table from it.

    A process that is missing from the list is kept while it still sends messages: the
    list lags, and it may be empty when the platform fails.
    """
    for event in world.inbox.read_events(InstancesListed):
        if event.instances is not None:
            _update_peers(world, event.instances, now)
        else:
            world.peers.next_list_at = now + world.policy.membership.list_retry_s
    if now >= world.peers.next_list_at:
        interval = world.policy.membership.list_interval_s
        world.peers.next_list_at = now + interval * world.random.uniform(0.8, 1.2)
        world.emit(ListInstances())


def _update_peers(world: World, instances: tuple[Instance, ...], now: float) -> None:
    listed = {instance.name for instance in instances}
    for peer in list(world.peers.peers.values()):
        peer.listed = peer.listed and (peer.name in listed or not instances)
        _remove_expired_peer(world, peer, now)
    for instance in select_instances_to_link(world, instances):
        if instance.name != world.identity.name:
            _update_peer(world, instance, now)


def select_instances_to_link(
    world: World, instances: tuple[Instance, ...]
) -> Iterable[Instance]:
    """Selects the processes to link to; an entry of a large fleet links to a subset."""
    sidecars = sum(instance.role == "sidecar" for instance in instances)
    policy = world.policy.routing
    if world.identity.role != "entry" or sidecars <= policy.known_upstreams:
        return instances
    own = next((item for item in instances if item.name == world.identity.name), None)
    if own is None:
        return instances[:0]
    chosen = choose_subset(own, instances, policy.entries_per_upstream)
    return [item for item in instances if item.role == "entry" or item.name in chosen]


def _update_peer(world: World, instance: Instance, now: float) -> None:
    endpoint = _read_endpoint(world, instance)
    if endpoint is None:
        return
    known = world.peers.peers.get(instance.name)
    if known is None or (known.lost and known.address != endpoint.host):
        peer = Peer(
            name=instance.name,
            role=instance.role,
            address=endpoint.host,
            port=endpoint.port,
            data_centre=instance.data_centre,
        )
        add_peer(world, peer, now)
        return
    known.listed = True
    known.listed_leaving = instance.leaving
    update_leaving_since(known, now)


def _read_endpoint(world: World, instance: Instance) -> Endpoint | None:
    """Reads the address of an instance; returns None if it is odd, and logs it.

    An error in a tick would end the process, and each later start of it.
    """
    try:
        return parse_endpoint(instance.address)
    except ValueError as error:
        world.log_decision(
            "membership",
            "Instance is invalid and is left out.",
            name=instance.name,
            reason=describe_error(error),
        )
        return None


def mark_leaving(peer: Peer, now: float) -> None:
    """Marks a process as leaving for the rest of its incarnation."""
    peer.leaving = True
    update_leaving_since(peer, now)


def update_leaving_since(peer: Peer, now: float) -> None:
    """Updates the time since which a process has been known to be leaving."""
    if not (peer.leaving or peer.listed_leaving):
        peer.leaving_since = None
    elif peer.leaving_since is None:
        peer.leaving_since = now


def _remove_expired_peer(world: World, peer: Peer, now: float) -> None:
    last_received_at = (
        peer.last_received_at
        if peer.last_received_at is not None
        else peer.link_opened_at
    )
    silent_s = now - last_received_at
    if peer.listed or silent_s < world.policy.membership.peer_forgotten_s:
        return
    del world.peers.peers[peer.name]
    world.peers.has_losses = True
    world.emit(CloseLink(peer.name))
