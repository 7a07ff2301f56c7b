"""The engine's load report, which is out of date by a delay."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from magnoliahold.runtime import Clock


@frozen
class Load:
    """The counts of running and of queued generations."""

    running: int = 0
    waiting: int = 0


class LoadReport:
    """Reports the load as it was `lag_s` seconds ago."""

    def __init__(self, clock: Clock, lag_s: float) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self._history: deque[tuple[float, Load]] = deque([(clock.seconds(), Load())])

    def record(self, load: Load) -> None:
        """Records the current load."""
        if self._history[-1][1] == load:
            return
        self._history.append((self._clock.seconds(), load))
        self._remove_expired()

    def read(self) -> Load:
        """Returns the load as it was `lag_s` seconds ago."""
        self._remove_expired()
        return self._history[0][1]

    def _remove_expired(self) -> None:
        cutoff = self._clock.seconds() - self._lag_s
        while len(self._history) > 1 and self._history[1][0] <= cutoff:
            self._history.popleft()
