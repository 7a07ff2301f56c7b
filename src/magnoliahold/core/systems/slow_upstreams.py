"""Finds upstreams whose first tokens come late compared with their peers."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliahold.core.generations import Generation
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.worlds import EntryWorld

LATENCY_WEIGHT = 0.3
MIN_COMPARED_UPSTREAMS = 3


def record_first_token_latency(
    world: EntryWorld, generation: Generation, now: float
) -> None:
    """Updates an upstream's moving average of the latency to the first token."""
    peer = world.peers.peers.get(generation.sidecar)
    if peer is None or generation.attempt_offset:
        return
    wait_s = now - generation.started_at
    previous_s = wait_s if peer.first_token_s is None else peer.first_token_s
    peer.first_token_s = previous_s + LATENCY_WEIGHT * (wait_s - previous_s)
    peer.first_token_at = now


def find_slow_upstreams(
    world: EntryWorld, candidates: list[Peer], now: float
) -> set[str]:
    """Finds the names of slow upstreams, at most a part of the candidates.

    Latencies are weak evidence and expire, so that an avoided upstream is tried again.
    """
    policy = world.policy.routing
    known = {
        peer.name: peer.first_token_s
        for peer in candidates
        if peer.first_token_s is not None
        and now - peer.first_token_at < policy.slow_memory_s
    }
    if len(known) < MIN_COMPARED_UPSTREAMS:
        return set()
    limit_s = max(policy.slow_min_s, policy.slow_times * median(known.values()))
    slow = [name for name, wait_s in known.items() if wait_s > limit_s]
    slow.sort(key=lambda name: known[name], reverse=True)
    return set(slow[: int(len(candidates) * policy.avoided_share)])
