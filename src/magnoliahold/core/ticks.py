"""Runs the systems of a world over its tables."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias, TypeVar

from magnoliahold.core.invariants import (
    InvariantViolated,
    find_all_violations,
    find_violations,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from magnoliahold.core.worlds import World

W = TypeVar("W", bound="World")
System: TypeAlias = "Callable[[W, float], None]"


def run_systems(world: W, systems: Sequence[System[W]], now: float) -> list[object]:
    """Runs each system once and returns the effects of this tick.

    Raises InvariantViolated, without effects, when the tables break an invariant.
    """
    for system in systems:
        system(world, now)
    check_tables(world, now)
    world.inbox.clear_events()
    effects = world.effects
    world.effects = []
    return effects


def check_tables(world: World, now: float) -> None:
    """Checks the rows that this tick touched, and all rows at intervals."""
    violations = list(find_violations(world))
    if world.checks_all_rows or now >= world.next_full_check_at:
        world.next_full_check_at = now + world.policy.full_check_s
        violations += find_all_violations(world)
    if violations:
        raise InvariantViolated("; ".join(violations))
