"""Selects the subset of sidecars that an entry of a large fleet links to."""

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

    Rendezvous hashing assigns each sidecar to a few entries of its data centre, so that
    no sidecar is left out and a change of the list changes few links. If a data centre
    has no entry, the entries of all data centres are candidates.
    """
    entries = [item for item in instances if item.role == "entry"]
    local_entries = [item for item in entries if item.data_centre == entry.data_centre]
    local_names = tuple(sorted({entry.name, *(item.name for item in local_entries)}))
    all_names = tuple(sorted({entry.name, *(item.name for item in entries)}))
    covered = {entry.data_centre, *(item.data_centre for item in entries)}
    chosen = set()
    for item in instances:
        if item.role != "sidecar":
            continue
        if item.data_centre == entry.data_centre:
            candidates = local_names
        elif item.data_centre not in covered:
            candidates = all_names
        else:
            continue
        if entry.name in pick_entries(item.name, candidates, entries_per_upstream):
            chosen.add(item.name)
    return chosen


@lru_cache(maxsize=CHOICE_CACHE_SIZE)
def pick_entries(sidecar: str, entries: tuple[str, ...], count: int) -> frozenset[str]:
    """Picks a sidecar's entries by rendezvous hashing, the same in every process."""

    def rank(name: str) -> int:
        return int(xxhash.xxh64_intdigest(f"{sidecar}\0{name}".encode()))

    return frozenset(sorted(entries, key=rank)[:count])
