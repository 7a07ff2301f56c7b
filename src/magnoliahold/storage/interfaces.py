"""Interfaces of the platform's table, object, weight and instance-list services."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.internet.defer import Deferred


class PlatformUnavailable(Exception):  # noqa: N818
    """The service sent no usable answer; a write may or may not have taken effect."""


@frozen
class Row:
    """One row of the table service; `version` is 1 after the first write."""

    table: str
    key: str
    version: int
    value: bytes


@frozen
class Condition:
    """Requires that a row has `version`; 0 requires that it does not exist."""

    table: str
    key: str
    version: int


@frozen
class Write:
    """Sets the value of a row; a value of None deletes the row."""

    table: str
    key: str
    value: bytes | None


@frozen
class TransactionOutcome:
    """Result of a transaction to which the service sent an answer.

    When `committed` is false nothing was written and `conflicts` holds the current
    rows of the failed conditions, without those rows that do not exist.
    """

    committed: bool
    conflicts: tuple[Row, ...] = ()


@frozen
class Instance:
    """An instance in the instance list, which lags behind the actual state."""

    name: str
    role: str
    address: str
    data_centre: str
    leaving: bool = False


@frozen
class InstanceList:
    """The instances known to the platform at one time."""

    instances: tuple[Instance, ...] = field(factory=tuple)


class TableService(Protocol):
    """A transactional table service with compare-and-set.

    Each Deferred fails with `PlatformUnavailable` when there is no usable answer.
    """

    def read_row(self, table: str, key: str) -> Deferred[Row | None]:
        """Reads one row, or None when it does not exist."""

    def scan_rows(
        self, table: str, after: str = "", limit: int = 1000
    ) -> Deferred[tuple[Row, ...]]:
        """Reads rows in key order whose key is greater than `after`."""

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Deferred[TransactionOutcome]:
        """Commits all writes if every condition holds, else none of them."""


class ObjectService(Protocol):
    """Stores immutable objects by name."""

    def put_object(self, name: str, content: bytes) -> Deferred[None]:
        """Stores an object, replacing an earlier one of that name."""

    def get_object(self, name: str) -> Deferred[bytes | None]:
        """Reads an object, or None when it does not exist."""


class InstanceService(Protocol):
    """Lists live and leaving instances; changes show up after a delay."""

    def list_instances(self) -> Deferred[InstanceList]:
        """Reads the current list."""


class WeightService(Protocol):
    """Reports the free capacity of the rate-limited weight store."""

    def count_free_loads(self) -> Deferred[int]:
        """Reads how many loads of weights may start now."""
