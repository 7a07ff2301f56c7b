"""The rate-limited weight store of the stand-in platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from magnoliahold.runtime import Clock
    from magnoliahold.standins.platform_faults import FaultyExecutor

CONCURRENT_LOADS = 4
LOAD_EXPIRY_S = 30.0


class FaultyWeights:
    """Grants a limited count of loads at a time; a load that is not ended expires."""

    def __init__(
        self, clock: Clock, executor: FaultyExecutor, limit: int = CONCURRENT_LOADS
    ) -> None:
        self._clock = clock
        self._executor = executor
        self.limit = limit
        self._loads: dict[str, float] = {}

    def count_free_loads(self) -> Deferred[int]:
        """Reads how many loads of weights may start now."""
        return self._executor.perform(self._count_free)

    def start_load(self, name: str) -> Deferred[bool]:
        """Takes a place for a load, or tells that none is free."""
        return self._executor.perform(lambda: self._start(name))

    def end_load(self, name: str) -> Deferred[None]:
        """Gives the place of a load back."""
        return self._executor.perform(lambda: self._end(name))

    def _count_free(self) -> int:
        now = self._clock.seconds()
        self._loads = {name: end for name, end in self._loads.items() if end > now}
        return self.limit - len(self._loads)

    def _start(self, name: str) -> bool:
        if name not in self._loads and self._count_free() <= 0:
            return False
        self._loads[name] = self._clock.seconds() + LOAD_EXPIRY_S
        return True

    def _end(self, name: str) -> None:
        self._loads.pop(name, None)
