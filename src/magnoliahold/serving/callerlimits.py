"""The limits that callers may go by: those in force, and those lately replaced."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.configuration import CallerLimits

# How long callers may still go by a limit that was replaced.
REPLACED_LIMIT_S = 3.0


@frozen
class ReplacedLimits:
    """Limits that are no longer in force."""

    limits: CallerLimits
    replaced_at: float


@define
class LimitHistory:
    """The limits of callers in force, and those that a waiting caller may know."""

    current: CallerLimits
    replaced: deque[ReplacedLimits] = field(factory=deque)

    def replace(self, limits: CallerLimits, now: float) -> None:
        """Puts limits in force."""
        if limits == self.current:
            return
        self.replaced.append(ReplacedLimits(self.current, now))
        self.current = limits
        longest_s = max(self._find_longest_wait(item) for item in self._list_all())
        while now - self.replaced[0].replaced_at > longest_s + REPLACED_LIMIT_S:
            self.replaced.popleft()

    def find_timeout(
        self, read_timeout: Callable[[CallerLimits], float], since: float
    ) -> float:
        """Finds the longest timeout that a caller who waits since then may know."""
        known = [
            read_timeout(item.limits)
            for item in self.replaced
            if item.replaced_at > since - REPLACED_LIMIT_S
        ]
        return max(read_timeout(self.current), *known, 0.0)

    def _list_all(self) -> list[CallerLimits]:
        return [self.current, *(item.limits for item in self.replaced)]

    @staticmethod
    def _find_longest_wait(limits: CallerLimits) -> float:
        return max(limits.header_timeout_s, limits.idle_timeout_s)


def read_idle_timeout(limits: CallerLimits) -> float:
    """Reads how long a connection may be idle."""
    return limits.idle_timeout_s


def read_header_timeout(limits: CallerLimits) -> float:
    """Reads how long the headers of a request may take."""
    return limits.header_timeout_s
