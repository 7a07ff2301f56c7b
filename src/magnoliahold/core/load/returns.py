"""When refused callers may return.

Answers callers that are refused in numbers, and that repeat at once: they come back one
after the other, in the order in which they were refused, as fast as room comes free.
"""

from __future__ import annotations

from attrs import define

# Returns are planned at most that far ahead.
HORIZON_S = 30.0
MIN_PER_S = 0.1


@define
class ReturnSchedule:
    """The planned returns of refused callers; `next_at` is when the next may return."""

    next_at: float = 0.0

    def choose_retry_after_s(self, now: float, wait_s: float, per_s: float) -> float:
        """Chooses the seconds until a caller returns, not before the expected wait."""
        earliest_at = now + min(wait_s, HORIZON_S)
        at = min(max(earliest_at, self.next_at), now + HORIZON_S)
        self.next_at = at + 1.0 / max(per_s, MIN_PER_S)
        return at - now
