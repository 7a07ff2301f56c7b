"""Runs the systems of a world over its tables."""

from __future__ import annotations

from functools import wraps
from typing import TYPE_CHECKING, TypeAlias, TypeVar

from magnoliahold.core.effects import CountMetric, ReportError
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


def contain_errors(system: System[W], reset: Callable[[W], None]) -> System[W]:
    """Makes a system whose errors empty its table and don't end the process.

    This is for tables without which requests are served all the same. What led to an
    error may be stored or sent again, and would end each start of the process anew.
    """

    @wraps(system)
    def run(world: W, now: float) -> None:
        run_contained(world, system.__name__, lambda: system(world, now), reset)

    return run


def run_contained(
    world: W, name: str, step: Callable[[], None], reset: Callable[[W], None]
) -> None:
    """Runs a step of that name; an error is reported and resets what it works on."""
    try:
        step()
    except Exception as error:
        if world.raises_errors:
            raise
        reset(world)
        world.emit(CountMetric("systems_failed", 1, {"system": name}))
        world.emit(ReportError(name, error))


def check_tables(world: World, now: float) -> None:
    """Checks the rows that this tick touched, and all rows at intervals."""
    violations = list(find_violations(world))
    if world.checks_all_rows or now >= world.next_full_check_at:
        world.next_full_check_at = now + world.policy.full_check_s
        violations += find_all_violations(world)
    if violations:
        raise InvariantViolated("; ".join(violations))
