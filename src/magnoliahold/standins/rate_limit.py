"""A limit on the rate at which the stand-in platform carries requests out."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliahold.runtime import Clock


class RateLimit:
    """Spaces requests out; those over the rate wait in line.

    Up to `burst` requests that come together do not wait.
    """

    def __init__(self, clock: Clock, per_second: float, burst: int) -> None:
        self._clock = clock
        self._interval_s = 1.0 / per_second
        self._burst_s = burst / per_second
        self._idle_at = clock.seconds()

    def reserve(self) -> float:
        """Takes the next place and returns the seconds until it is due."""
        now = self._clock.seconds()
        self._idle_at = max(self._idle_at, now) + self._interval_s
        return max(self._idle_at - now - self._burst_s, 0.0)
