"""Estimates the load and the free slots of upstreams between their reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.worlds import EntryWorld


def count_entries(world: EntryWorld) -> int:
    """Counts the live entries, including this one."""
    others = world.peers.list_by_role("entry")
    return 1 + sum(not peer.lost for peer in others)


def estimate_running(peer: Peer) -> int:
    """Estimates the requests at an upstream: its last report plus our changes since."""
    if peer.report is None:
        return peer.assigned
    return max(peer.report.running + _count_net_starts(peer), peer.assigned, 0)


def _count_net_starts(peer: Peer) -> int:
    """Returns our own starts minus our own completions since the last report."""
    return peer.assigned - peer.assigned_at_last_report


def measure_load(peer: Peer) -> float:
    """Returns the estimated number of requests per slot of an upstream."""
    if peer.report is None:
        return 1.0
    return estimate_running(peer) / max(peer.report.capacity, 1)


def find_slot_limit(world: EntryWorld, peer: Peer) -> int:
    """Returns how many slots of an upstream new work may fill.

    The limit is the same for interactive and batch work: a slot that only interactive
    work may take would starve batch work.
    """
    capacity = peer.report.capacity if peer.report else 1
    reserved = count_reserved_slots(peer, world.policy.routing.reserved_share)
    return max(1, capacity - reserved)


def count_reserved_slots(peer: Peer, share: float) -> int:
    """Counts the slots of an upstream that are reserved for resumed work.

    A fraction of a slot is reserved as a whole slot at that fraction of the upstreams.
    They are chosen by a hash of their names, so that all entries agree on them.
    """
    slots, fraction = divmod((peer.report.capacity if peer.report else 1) * share, 1)
    hash_fraction = xxhash.xxh32_intdigest(peer.name.encode()) / (1 << 32)
    return int(slots) + (hash_fraction < fraction)


def has_room(world: EntryWorld, peer: Peer, entries: int) -> bool:
    """Tells whether an upstream has a slot for one more new generation of this entry.

    Starts by other entries are unknown until the next report, so each entry takes only
    its share of the free slots. It may refill the slots that its own work has freed.
    """
    policy = world.policy.routing
    report = peer.report
    if report is None:
        return False
    limit = find_slot_limit(world, peer)
    running = estimate_running(peer)
    if running + 1 <= report.capacity * policy.crowded_share:
        return True
    if peer.assigned + 1 <= limit / entries:
        return running + 1 <= limit * policy.overfull_share
    free = max(0.0, limit - report.running)
    return running + 1 <= limit and _count_net_starts(peer) < max(free / entries, 0.5)


def count_slots(world: EntryWorld, upstreams: tuple[str, ...]) -> int:
    """Counts the slots of the usable upstreams of a pool."""
    slots = 0
    for peer in world.peers.list_by_role("sidecar"):
        report = peer.report
        if report is None or not peer.usable or report.kind != "engine":
            continue
        if report.name in upstreams or report.role in upstreams:
            slots += report.capacity
    return slots
