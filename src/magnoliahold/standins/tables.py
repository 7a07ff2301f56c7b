"""The transactional table service of the stand-in platform."""

from __future__ import annotations

from bisect import bisect_right, insort
from typing import TYPE_CHECKING

from magnoliahold.standins.rate_limit import RateLimit
from magnoliahold.storage.interfaces import Row, TransactionOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from twisted.internet.defer import Deferred

    from magnoliahold.runtime import Clock
    from magnoliahold.standins.platform_faults import FaultyExecutor
    from magnoliahold.storage.interfaces import Condition, Write

READS_PER_SECOND = 2000.0
WRITES_PER_SECOND = 500.0
BURST = 100


class TableStore:
    """Stores rows in memory, sorted by key."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        self._keys: dict[str, list[str]] = {}

    def read(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it doesn't exist."""
        return self._rows.get((table, key))

    def scan(self, table: str, after: str, limit: int) -> tuple[Row, ...]:
        """Returns rows in key order whose key is greater than `after`."""
        keys = self._keys.get(table, [])
        first = bisect_right(keys, after) if after else 0
        return tuple(self._rows[table, key] for key in keys[first : first + limit])

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactionOutcome:
        """Commits all writes if every condition holds, otherwise none of them."""
        failed = [condition for condition in conditions if not self._holds(condition)]
        if failed:
            return TransactionOutcome(False, tuple(self._read_rows(failed)))
        for write in writes:
            self._write(write)
        return TransactionOutcome(True)

    def _holds(self, condition: Condition) -> bool:
        row = self.read(condition.table, condition.key)
        return condition.version == (row.version if row is not None else 0)

    def _read_rows(self, conditions: Sequence[Condition]) -> Iterator[Row]:
        for condition in conditions:
            row = self.read(condition.table, condition.key)
            if row is not None:
                yield row

    def _write(self, write: Write) -> None:
        row_key = (write.table, write.key)
        if write.value is None:
            self._delete(write.table, write.key)
            return
        if row_key not in self._rows:
            insort(self._keys.setdefault(write.table, []), write.key)
        version = self._rows[row_key].version + 1 if row_key in self._rows else 1
        self._rows[row_key] = Row(write.table, write.key, version, write.value)

    def _delete(self, table: str, key: str) -> None:
        if self._rows.pop((table, key), None) is not None:
            self._keys[table].remove(key)


class FaultyTables:
    """The table service, subject to the platform's injected faults and rate limits.

    A transaction counts as one write.
    """

    def __init__(
        self, clock: Clock, executor: FaultyExecutor, store: TableStore
    ) -> None:
        self._executor = executor
        self._store = store
        self._reads = RateLimit(clock, READS_PER_SECOND, BURST)
        self._writes = RateLimit(clock, WRITES_PER_SECOND, BURST)

    def read_row(self, table: str, key: str) -> Deferred[Row | None]:
        """Returns a row, or None if it doesn't exist."""
        return self._executor.perform(lambda: self._store.read(table, key), self._reads)

    def scan_rows(
        self, table: str, after: str = "", limit: int = 1000
    ) -> Deferred[tuple[Row, ...]]:
        """Returns rows in key order whose key is greater than `after`."""
        return self._executor.perform(
            lambda: self._store.scan(table, after, limit), self._reads
        )

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Deferred[TransactionOutcome]:
        """Commits all writes if every condition holds, otherwise none of them."""
        return self._executor.perform(
            lambda: self._store.transact(conditions, writes), self._writes
        )
