"""Fakes of the table and instance services, with outages, delays and lost answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from attrs import define, field
from twisted.internet.defer import Deferred

from magnoliahold.storage.interfaces import (
    InstanceList,
    PlatformUnavailable,
    Row,
    TransactionOutcome,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from twisted.internet.task import Clock

    from magnoliahold.storage.interfaces import (
        Condition,
        Instance,
        Write,
    )

T = TypeVar("T")


@define(eq=False)
class FakePlatform:
    """Tables with compare-and-set and an instance list, on the simulated clock.

    During an outage every request fails after `timeout_s`. `lost_answer_share` of the
    transactions are committed without an answer; `late_share` of the requests take
    effect up to `late_s` later.
    """

    clock: Clock
    random: Random
    delay_s: float = 0.004
    timeout_s: float = 2.0
    lost_answer_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 3.0
    outage: bool = False
    reads: int = 0
    writes: int = 0
    rows: dict[tuple[str, str], Row] = field(factory=dict)
    instances: dict[str, Instance] = field(factory=dict)

    def read_row(self, table: str, key: str) -> Deferred[Row | None]:
        """Reads one row."""
        self.reads += 1
        return self._answer(lambda: self.rows.get((table, key)))

    def scan_rows(
        self, table: str, after: str = "", limit: int = 1000
    ) -> Deferred[tuple[Row, ...]]:
        """Reads rows in key order."""
        self.reads += 1
        return self._answer(lambda: self._scan(table, after, limit))

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Deferred[TransactionOutcome]:
        """Commits all writes if every condition holds."""
        self.writes += 1
        lost = self.random.random() < self.lost_answer_share
        return self._answer(lambda: self._commit(conditions, writes), lost=lost)

    def list_instances(self) -> Deferred[InstanceList]:
        """Returns all instances."""
        return self._answer(lambda: InstanceList(tuple(self.instances.values())))

    def _scan(self, table: str, after: str, limit: int) -> tuple[Row, ...]:
        keys = sorted(key for name, key in self.rows if name == table and key > after)
        return tuple(self.rows[table, key] for key in keys[:limit])

    def _commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactionOutcome:
        failed = [item for item in conditions if not self._holds(item)]
        if failed:
            rows = (self.rows.get((item.table, item.key)) for item in failed)
            return TransactionOutcome(False, tuple(row for row in rows if row))
        for write in writes:
            self._write(write)
        return TransactionOutcome(True)

    def _holds(self, condition: Condition) -> bool:
        row = self.rows.get((condition.table, condition.key))
        return (row.version if row else 0) == condition.version

    def _write(self, write: Write) -> None:
        key = (write.table, write.key)
        if write.value is None:
            self.rows.pop(key, None)
            return
        version = self.rows[key].version + 1 if key in self.rows else 1
        self.rows[key] = Row(write.table, write.key, version, write.value)

    def _answer(self, read: Callable[[], T], *, lost: bool = False) -> Deferred[T]:
        answer: Deferred[T] = Deferred()
        delay = self.delay_s * self.random.uniform(0.5, 2.0)
        if self.random.random() < self.late_share:
            delay += self.random.uniform(0.0, self.late_s)
        self.clock.callLater(delay, self._finish, answer, read, lost)
        return answer

    def _finish(self, answer: Deferred[T], read: Callable[[], T], lost: bool) -> None:
        if self.outage:
            self.clock.callLater(self.timeout_s, self._fail, answer)
            return
        result = read()
        if lost:
            self.clock.callLater(self.timeout_s, self._fail, answer)
        else:
            answer.callback(result)

    def _fail(self, answer: Deferred[T]) -> None:
        answer.errback(PlatformUnavailable("no answer"))
