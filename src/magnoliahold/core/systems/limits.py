"""Divides the limits of a template between the live entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from magnoliahold.core.generations import GenerationState

if TYPE_CHECKING:
    from magnoliahold.core.generations import Generation
    from magnoliahold.core.workspaces import WorkRule
    from magnoliahold.core.worlds import EntryWorld

SLOT_HOLDING_STATES = (
    GenerationState.RUNNING,
    GenerationState.READY,
    GenerationState.TAKING_OVER,
)


def count_running(world: EntryWorld, key: tuple[str, str]) -> int:
    """Counts the generations of a work that hold a running slot at this entry."""
    table = world.generations
    return sum(table.count_in_state(state, key) for state in SLOT_HOLDING_STATES)


def find_limit_share(
    world: EntryWorld, key: tuple[str, str], limit: int, entries: int
) -> int:
    """Computes this entry's share of a limit; the shares of all entries add up to it.

    The remainder goes to the entries that come first by rendezvous hashing, so that
    works with small limits are spread over the entries.
    """
    share, remainder = divmod(limit, entries)
    if not remainder:
        return share
    names = [peer.name for peer in world.peers.list_by_role("entry") if not peer.lost]
    names.append(world.identity.name)
    names.sort(
        key=lambda name: xxhash.xxh64_intdigest("\0".join((*key, name)).encode())
    )
    return share + (names.index(world.identity.name) < remainder)


def has_running_slot(
    world: EntryWorld, generation: Generation, rule: WorkRule, entries: int
) -> bool:
    """Tells whether the template lets this entry start one more generation."""
    running = count_running(world, generation.key)
    if running >= rule.max_running:
        return False
    return running < find_limit_share(world, generation.key, rule.max_running, entries)
