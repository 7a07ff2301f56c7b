"""Gathers log lines about what strangers send, which may come in any number.

Each line counts for the limit of lines a second, and would keep others from the logs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.runtime import Clock

GATHERING_S = 1.0


@define
class _Gathered:
    """Lines of one kind since the last one that was written, and the newest of them."""

    write: Callable[[dict[str, object]], None]
    count: int = 0
    fields: dict[str, object] = field(factory=dict)

    def add(self, fields: dict[str, object]) -> None:
        """Adds a line."""
        self.count += 1
        self.fields = fields

    def write_last(self) -> None:
        """Writes the newest line with the number of all, if there is any."""
        if self.count:
            self.write({**self.fields, "count": self.count})


@define(eq=False)
class LineGatherer:
    """Writes at most one line in `GATHERING_S` seconds of each kind.

    The first line of a kind is written at once. Of those that follow the last one is
    written at the end of the period, with their number in the field `count`. While
    there is no `clock`, each line is written at once.
    """

    clock: Clock | None = None
    _by_kind: dict[tuple[str, ...], _Gathered] = field(factory=dict)

    def write(
        self,
        kind: tuple[str, ...],
        write: Callable[[dict[str, object]], None],
        fields: dict[str, object],
    ) -> None:
        """Writes a line now, or at the end of the period if it is still the last."""
        if self.clock is None:
            write(fields)
            return
        gathered = self._by_kind.get(kind)
        if gathered is None:
            self._begin_period(kind, write, self.clock)
            write(fields)
        else:
            gathered.add(fields)

    def stop(self) -> None:
        """Writes what was gathered, and gathers no more."""
        self.clock = None
        gathered = list(self._by_kind.values())
        self._by_kind.clear()
        for item in gathered:
            item.write_last()

    def _begin_period(
        self,
        kind: tuple[str, ...],
        write: Callable[[dict[str, object]], None],
        clock: Clock,
    ) -> None:
        self._by_kind[kind] = _Gathered(write)
        clock.callLater(GATHERING_S, self._end_period, kind)

    def _end_period(self, kind: tuple[str, ...]) -> None:
        gathered = self._by_kind.pop(kind, None)
        if gathered is None or not gathered.count:
            return
        if self.clock is not None:
            self._begin_period(kind, gathered.write, self.clock)
        gathered.write_last()


LINES = LineGatherer()
