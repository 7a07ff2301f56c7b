"""Rates of arrivals that follow a change of demand within seconds."""

from __future__ import annotations

import math

from attrs import define

# Arrivals count for that long, on average.
WINDOW_S = 2.0


@define
class ArrivalRate:
    """Arrivals a second, averaged with exponential decay."""

    weight: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        """Adds an arrival."""
        self.weight = self._decay(now) + 1.0
        self.updated_at = now

    def find_per_s(self, now: float) -> float:
        """Returns the arrivals a second."""
        return self._decay(now) / WINDOW_S

    def _decay(self, now: float) -> float:
        return self.weight * math.exp((self.updated_at - now) / WINDOW_S)
