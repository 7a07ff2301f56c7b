"""Retry budget of a service, shared by all entries without coordination."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from magnoliahold.core.serving.policy import BudgetPolicy


@define
class RetryBudget:
    """Requests and retries of one service within a sliding window.

    All entries share the budget of a service without a message for each retry: each may
    retry a part of the requests that it received itself, and has an equal part of the
    fixed extra. An entry that has just started gets most of its extra in its second
    window, since it may have used its extra shortly before it restarted.
    `last_discarded_at` is when the newest retry was sent that has left the window.
    Times are on the process clock.
    """

    policy: BudgetPolicy
    started_at: float
    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)
    last_discarded_at: float = -math.inf

    def apply_policy(self, policy: BudgetPolicy) -> None:
        """Puts other limits in force; what was counted so far counts for them.

        A longer window may reach back to retries that are no longer counted. Then the
        extra is given as after a start.
        """
        if policy.window_s > self.policy.window_s:
            self.started_at = max(self.started_at, self.last_discarded_at)
        self.policy = policy

    def add_request(self, now: float) -> None:
        """Records a request that arrived for the service."""
        self.requests.append(now)

    def try_take_retry(self, now: float, entries: int) -> bool:
        """Takes one retry from the budget; returns false if none is left.

        `entries` is the number of entries that share the budget.
        """
        if self.count_remaining(now, entries) < 1:
            return False
        self.retries.append(now)
        return True

    def return_retry(self) -> None:
        """Returns the last retry to the budget, since it reached no upstream."""
        if self.retries:
            self.retries.pop()

    def count_remaining(self, now: float, entries: int) -> float:
        """Counts the retries that remain in the current window."""
        self._discard_expired(now)
        policy = self.policy
        elapsed_windows = (now - self.started_at) / policy.window_s
        ramp = min(1.0, max(0.0, elapsed_windows - 1.0))
        share = policy.extra / entries
        extra = max(ramp * share, min(policy.first_extra, policy.first_part * share))
        total = policy.ratio * len(self.requests) + extra
        return policy.used_part * total - len(self.retries)

    def _discard_expired(self, now: float) -> None:
        start = now - self.policy.window_s
        while self.requests and self.requests[0] <= start:
            self.requests.popleft()
        while self.retries and self.retries[0] <= start:
            self.last_discarded_at = self.retries.popleft()
