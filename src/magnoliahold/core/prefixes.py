"""Hashes of prompt prefixes, and the ranking of upstreams for them."""

from __future__ import annotations

import xxhash


def hash_prefix(version: str, prompt: str, characters: int) -> str:
    """Hashes the leading block of a prompt, or returns "" when it is too short."""
    if len(prompt) < characters:
        return ""
    return str(xxhash.xxh64_hexdigest(f"{version}\0{prompt[:characters]}".encode()))


def rank_upstream(prefix: str, upstream: str) -> int:
    """Ranks an upstream for a prefix by rendezvous hashing, the same at all entries."""
    return int(xxhash.xxh64_intdigest(f"{prefix}\0{upstream}".encode()))
