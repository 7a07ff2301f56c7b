"""Bounds the names that callers choose where they are kept or sent to others."""

from __future__ import annotations

from xxhash import xxh3_128_hexdigest

# A notice holds some hundred names, and must fit a datagram.
MAX_NAME_LENGTH = 64


def bound_name(name: str) -> str:
    """Returns a name, or the hash of one that is too long."""
    if len(name) <= MAX_NAME_LENGTH:
        return name
    return xxh3_128_hexdigest(name.encode("utf-8", "surrogatepass"))
