"""Chooses the few upstreams that one entry knows out of a large fleet."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliahold.storage.interfaces import Instance

CHOICE_CACHE_SIZE = 4_096


def choose_subset(
    entry: Instance, instances: Sequence[Instance], entries_per_upstream: int
) -> set[str]:
    """Chooses the names of the sidecars that an entry links to.

    Each sidecar is known to the first entries of its data centre by rendezvous hashing,
    so that none is left unknown, and a change of the list changes few links. Where a
    data centre has no entry, those of all centres count.
    """
    entries = [item for item in instances if item.role == "entry"]
    beside = [item for item in entries if item.data_centre == entry.data_centre]
    near = tuple(sorted({entry.name, *(item.name for item in beside)}))
    everywhere = tuple(sorted({entry.name, *(item.name for item in entries)}))
    served = {entry.data_centre, *(item.data_centre for item in entries)}
    chosen = set()
    for item in instances:
        if item.role != "sidecar":
            continue
        if item.data_centre == entry.data_centre:
            candidates = near
        elif item.data_centre not in served:
            candidates = everywhere
        else:
            continue
        if entry.name in pick_entries(item.name, candidates, entries_per_upstream):
            chosen.add(item.name)
    return chosen


@lru_cache(maxsize=CHOICE_CACHE_SIZE)
def pick_entries(sidecar: str, entries: tuple[str, ...], count: int) -> frozenset[str]:
    """Picks the entries that know a sidecar by rendezvous hashing, alike everywhere."""

    def rank(name: str) -> int:
        return int(xxhash.xxh64_intdigest(f"{sidecar}\0{name}".encode()))

    return frozenset(sorted(entries, key=rank)[:count])
