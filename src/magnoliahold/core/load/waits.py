"""Expected waits, and what they decide: whether a stream waits or is refused.

Answers more arrivals than the engines can serve: what can't be served is refused when
it arrives, and no queue grows that makes all that waits late.
"""

from __future__ import annotations

from math import inf, sqrt

from attrs import frozen

from magnoliahold.core.load.queues import LEAST_SHARE
from magnoliahold.core.load.rates import WINDOW_S


@frozen
class ExpectedFlow:
    """What a stream meets that waits for room, over all entries.

    `urgent` more urgent streams wait, and `equal` of its rank that go before it. Room
    for `served_per_s` streams comes free a second; `urgent_per_s` more urgent ones and
    `equal_per_s` of the same rank arrive a second.
    """

    urgent: float
    equal: float
    served_per_s: float
    urgent_per_s: float = 0.0
    equal_per_s: float = 0.0

    @property
    def wait_s(self) -> float:
        """The expected wait while only more urgent work overtakes, in seconds.

        It is no longer than that by the least share, which no urgent work takes.
        """
        left_per_s = self.served_per_s - self.urgent_per_s
        by_rank_s = _divide(self.urgent + self.equal + 1.0, left_per_s)
        by_share_s = _divide(self.equal + 1.0, LEAST_SHARE * self.served_per_s)
        return min(by_rank_s, by_share_s)

    @property
    def late_wait_s(self) -> float:
        """The expected wait once newer work that can be on time overtakes as well.

        Only arrivals beyond what chance explains count, since such a wait is long.
        """
        newer_per_s = find_sure_rate(self.urgent_per_s + self.equal_per_s)
        left_per_s = self.served_per_s - newer_per_s
        return _divide(self.urgent + self.equal + 1.0, left_per_s)


def _divide(streams: float, per_s: float) -> float:
    return streams / per_s if per_s > 0 else inf


def estimate_equal_ahead(own: int, waiting: int, shares: int) -> float:
    """Estimates how many streams of one rank go before an arrival of a workspace.

    `own` streams of its workspace wait at its entry, and `waiting` of all workspaces at
    all entries. Each workspace at each entry has one of the `shares`, so that one
    without a queue waits for one round only.
    """
    return float(min(waiting, (own + 1) * shares - 1))


def find_sure_rate(per_s: float) -> float:
    """Returns a rate of random arrivals less its standard deviation."""
    return max(0.0, per_s - sqrt(per_s / WINDOW_S))


def can_be_served(
    flow: ExpectedFlow,
    now: float,
    on_time_until: float,
    start_by: float,
    margin: float = 1.0,
) -> bool:
    """Tells whether a stream that waits is expected to start in time to be served.

    It is if it will be on time, or late but before its latest start, even if it waits
    `margin` times as long as expected.
    """
    if now + margin * flow.wait_s <= on_time_until:
        return True
    return now + margin * flow.late_wait_s <= start_by
