"""The weight store of the stand-in platform, which limits concurrent loads."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from magnoliahold.runtime import Clock
    from magnoliahold.standins.platform_faults import FaultyExecutor

CONCURRENT_LOADS = 4
LOAD_EXPIRY_S = 30.0


class FaultyWeights:
    """Grants slots for a limited number of concurrent loads.

    A load that isn't ended expires.
    """

    def __init__(
        self, clock: Clock, executor: FaultyExecutor, limit: int = CONCURRENT_LOADS
    ) -> None:
        self._clock = clock
        self._executor = executor
        self.limit = limit
        self._loads: dict[str, float] = {}

    def count_free_loads(self) -> Deferred[int]:
        """Returns how many loads may start now."""
        return self._executor.perform(self._count_free)

    def start_load(self, name: str) -> Deferred[bool]:
        """Occupies a slot for a load; returns False if none is free."""
        return self._executor.perform(lambda: self._start(name))

    def end_load(self, name: str) -> Deferred[None]:
        """Releases the slot of a load."""
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
