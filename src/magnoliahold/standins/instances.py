"""The instance list of the stand-in platform, which is out of date by a delay."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from magnoliahold.storage.interfaces import InstanceList

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from magnoliahold.runtime import Clock
    from magnoliahold.standins.platform_faults import FaultyExecutor
    from magnoliahold.storage.interfaces import Instance

LIST_LAG_S = 1.0


class FaultyInstances:
    """Lists the live and leaving instances as they were `lag_s` seconds ago."""

    def __init__(
        self, clock: Clock, executor: FaultyExecutor, lag_s: float = LIST_LAG_S
    ) -> None:
        self._clock = clock
        self._executor = executor
        self.lag_s = lag_s
        self._present: dict[str, Instance] = {}
        self._history: deque[tuple[float, InstanceList]] = deque(
            [(clock.seconds(), InstanceList())]
        )

    def put_instance(self, instance: Instance) -> None:
        """Adds an instance to the list or updates it."""
        self._present[instance.name] = instance
        self._record()

    def delete_instance(self, name: str) -> None:
        """Removes an instance that has ended."""
        self._present.pop(name, None)
        self._record()

    def list_instances(self) -> Deferred[InstanceList]:
        """Returns the list as it was `lag_s` seconds ago."""
        return self._executor.perform(self._read)

    def _record(self) -> None:
        instances = tuple(self._present[name] for name in sorted(self._present))
        self._history.append((self._clock.seconds(), InstanceList(instances)))
        self._remove_expired()

    def _read(self) -> InstanceList:
        self._remove_expired()
        return self._history[0][1]

    def _remove_expired(self) -> None:
        if self._executor.is_active("lag"):
            return
        cutoff = self._clock.seconds() - self.lag_s
        while len(self._history) > 1 and self._history[1][0] <= cutoff:
            self._history.popleft()
