"""Turns of the entries in writing a row that any of them could write."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.moves import count_ranked_before

if TYPE_CHECKING:
    from magnoliahold.core.serving.world import ServingWorld


def find_turn_s(world: ServingWorld, row: str) -> float:
    """Returns for how long this entry leaves a due write to those ranked before it.

    `row` is any name of the row that is the same at all entries.
    """
    policy = world.serving_policy.moves
    others = world.other_entries.by_name
    rank = count_ranked_before(row, world.identity.name, others)
    return min(rank * policy.turn_s, policy.turn_max_s)
