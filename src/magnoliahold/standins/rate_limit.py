"""A limit on the request rate of the stand-in platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliahold.runtime import Clock


class RateLimit:
    """Limits the rate of requests by delaying those that exceed it.

    Up to `burst` requests that arrive together aren't delayed.
    """

    def __init__(self, clock: Clock, per_second: float, burst: int) -> None:
        self._clock = clock
        self._interval_s = 1.0 / per_second
        self._burst_s = burst / per_second
        self._idle_at = clock.seconds()

    def reserve(self) -> float:
        """Reserves the next request slot and returns the seconds until it starts."""
        now = self._clock.seconds()
        self._idle_at = max(self._idle_at, now) + self._interval_s
        return max(self._idle_at - now - self._burst_s, 0.0)
