"""The share of repeats that an entry may add to the load of a service."""

from __future__ import annotations

from collections import deque

from attrs import define, field


@define
class RetryBudget:
    """First sends and repeats of one service within a sliding window.

    All entries share the budget of a service without telling each other: each spends a
    share of its own arrivals and a small fixed allowance.
    """

    window_s: float
    ratio: float
    allowance: int
    requests: deque[float] = field(factory=deque)
    repeats: deque[float] = field(factory=deque)

    def add_request(self, now: float) -> None:
        """Counts a request that arrived for the service."""
        self.requests.append(now)

    def take_repeat(self, now: float) -> bool:
        """Takes one repeat out of the budget; false when none is left."""
        if self.count_left(now) < 1:
            return False
        self.repeats.append(now)
        return True

    def count_left(self, now: float) -> float:
        """Counts the repeats that are left."""
        self._drop_old(now)
        return self.ratio * len(self.requests) + self.allowance - len(self.repeats)

    def _drop_old(self, now: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] <= now - self.window_s:
                times.popleft()
