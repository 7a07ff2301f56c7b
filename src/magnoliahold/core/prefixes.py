"""Prompt prefixes that this entry has routed lately."""

from __future__ import annotations

from collections import OrderedDict

import xxhash
from attrs import define, field


def hash_prefix(version: str, prompt: str, characters: int) -> str:
    """Names the leading block of a prompt, or returns "" when it is too short."""
    if len(prompt) < characters:
        return ""
    return str(xxhash.xxh64_hexdigest(f"{version}\0{prompt[:characters]}".encode()))


def rank_upstream(prefix: str, upstream: str) -> int:
    """Ranks an upstream for a prefix by rendezvous hashing, alike at all entries."""
    return int(xxhash.xxh64_intdigest(f"{prefix}\0{upstream}".encode()))


@define
class PrefixTable:
    """Prefixes seen lately, the oldest first."""

    seen: OrderedDict[str, int] = field(factory=OrderedDict)

    def note_prefix(self, prefix: str, limit: int) -> bool:
        """Notes a prefix; returns true when it was seen before."""
        count = self.seen.pop(prefix, 0)
        self.seen[prefix] = count + 1
        if len(self.seen) > limit:
            self.seen.popitem(last=False)
        return count > 0
