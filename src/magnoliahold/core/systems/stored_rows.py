"""Decodes stored rows, of which a damaged one is left out."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from magnoliahold.decoding import decode_or_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.worlds import World
    from magnoliahold.storage.interfaces import Row

T = TypeVar("T")


def decode_stored(world: World, row: Row, decode: Callable[[Row], T]) -> T | None:
    """Decodes a row; returns None for one that can't be read, and logs it."""

    def log_damage(reason: str) -> None:
        world.log_decision(
            "store",
            "Row can't be read and is left out.",
            table=row.table,
            key=row.key,
            reason=reason,
        )

    return decode_or_report(decode, row, log_damage)
