"""Routes prompts to the upstream that has their leading block in its cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.prefixes import hash_prefix, rank_upstream
from magnoliahold.core.systems.capacity import measure_load

if TYPE_CHECKING:
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.worlds import EntryWorld


def find_upstream_by_prefix(
    world: EntryWorld, prompt: str, version: str, candidates: list[Peer]
) -> Peer | None:
    """Finds the preferred upstream for a prompt's prefix, or None to route by load.

    The candidates are tried in the order of rendezvous hashing, which is the same at
    all entries. The first is returned whose load exceeds the bound by at most one
    request, or is within `crowded_share`. A prompt that is too short to have a prefix
    is routed by load.
    """
    policy = world.policy.routing
    prefix = hash_prefix(version, prompt, policy.prefix_characters)
    if not prefix:
        return None
    loads = {peer.name: measure_load(peer) for peer in candidates}
    mean = sum(loads.values()) / len(loads)
    bound = mean * policy.affinity_bound
    for peer in rank_candidates(prefix, candidates):
        slot = 1 / max(peer.report.capacity if peer.report else 1, 1)
        if loads[peer.name] <= max(bound + slot, policy.crowded_share):
            return peer
    return None


def rank_candidates(prefix: str, candidates: list[Peer]) -> list[Peer]:
    """Sorts candidates by rendezvous hashing, the preferred one first."""
    return sorted(
        candidates, key=lambda peer: rank_upstream(prefix, peer.name), reverse=True
    )
