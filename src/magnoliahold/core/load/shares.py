"""Each entry's part of room that several entries wait for.

Answers many entries with the same news: of those that wait, as many as an engine has
places may send there, by turns, and the more often the more workspaces wait there, so
that one that floods an entry gains nothing. Whoever doesn't use its turn loses it after
a while, so that the part of an entry that is gone goes to the others without a message.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Mapping

# For how long places are left to the same entries.
TURN_S = 0.1
HASHES = 2.0**64


def may_take_place(
    upstream_id: str,
    own: str,
    waiting: Mapping[str, int],
    places: int,
    shared_time_s: float,
) -> bool:
    """Tells whether it is an entry's turn to send a stream to an engine.

    `waiting` counts the workspaces that wait for room at each entry, this one included.
    Entries whose clocks agree on `shared_time_s` find the same turns.
    """
    turn = math.floor(shared_time_s / TURN_S)
    rank = _draw_rank(f"{upstream_id} {turn} {own}", waiting[own])
    before = sum(
        _draw_rank(f"{upstream_id} {turn} {name}", count) < rank
        for name, count in waiting.items()
        if name != own
    )
    return before < places


def _draw_rank(key: str, weight: int) -> float:
    """Draws a rank by weighted rendezvous hashing; the lowest goes first."""
    uniform = (xxh64_intdigest(key.encode()) + 1) / (HASHES + 1)
    return -math.log(uniform) / max(1, weight)


def count_kept_places(urgent_per_s: float, served_per_s: float) -> int:
    """Counts the places to keep for more urgent streams until the next comes free.

    That is as many as are expected to arrive in that time; none if none arrives.
    """
    if urgent_per_s <= 0 or served_per_s <= 0:
        return 0
    return math.ceil(urgent_per_s / served_per_s)
