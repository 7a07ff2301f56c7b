"""All that bounds what connections make one process hold or compute."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.inbound.connections import ConnectionTable
from magnoliahold.inbound.limits import IntakePolicy, make_intake_limits
from magnoliahold.inbound.memory import IntakeMemory
from magnoliahold.inbound.turns import ReadingTurns

if TYPE_CHECKING:
    from magnoliahold.metrics import Metrics
    from magnoliahold.runtime import Clock


# The name of the address for callers.
CALLERS = "callers"


@define(eq=False)
class Intake:
    """The bounds of a process, which all its addresses share.

    `tables` has the connections of each address.
    """

    clock: Clock
    policy: IntakePolicy
    memory: IntakeMemory
    turns: ReadingTurns
    tables: list[ConnectionTable] = field(factory=list)

    def add_callers(self) -> ConnectionTable:
        """Adds the address for callers."""
        return self._add_table(CALLERS, self.memory.limits.connections)

    def add_other(self, address: str) -> ConnectionTable:
        """Adds an address that serves no callers."""
        return self._add_table(address, self.policy.other_connections)

    def _add_table(self, address: str, most: int) -> ConnectionTable:
        table = ConnectionTable(address, most)
        self.tables.append(table)
        return table

    def apply(
        self, policy: IntakePolicy, memory_mb: float | None, descriptors: int | None
    ) -> None:
        """Puts changed limits in force, also for connections that are open."""
        limits = make_intake_limits(policy, memory_mb, descriptors)
        self.policy = self.memory.policy = self.turns.policy = policy
        self.memory.limits = limits
        for table in self.tables:
            is_callers = table.address == CALLERS
            table.most = limits.connections if is_callers else policy.other_connections

    def report(self, metrics: Metrics) -> None:
        """Sets the gauges of what is held, and of what was given up for it."""
        metrics.set_gauge("intake_held_bytes", self.memory.held_bytes)
        metrics.set_gauge("intake_limit_bytes", self.memory.limits.held_bytes)
        metrics.set_gauge("intake_reading_waits", self.turns.waits)
        for what, count in self.memory.given_up.items():
            metrics.set_gauge("intake_given_up", count, what=what)
        for table in self.tables:
            address = table.address
            size = len(table.channels)
            metrics.set_gauge("intake_connections", size, address=address)
            for code, count in table.rejected.items():
                metrics.set_gauge("intake_rejected", count, address=address, code=code)
            for lost, count in table.closed.items():
                metrics.set_gauge(
                    "intake_connections_closed", count, address=address, lost=lost
                )


def make_intake(
    clock: Clock,
    policy: IntakePolicy | None = None,
    memory_mb: float | None = None,
    descriptors: int | None = None,
) -> Intake:
    """Makes the bounds of a process from what it may take of its instance."""
    policy = policy or IntakePolicy()
    limits = make_intake_limits(policy, memory_mb, descriptors)
    memory = IntakeMemory(clock, policy, limits)
    return Intake(clock, policy, memory, ReadingTurns(clock, policy))
