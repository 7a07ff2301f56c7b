"""Queues of streams that wait for room at the engines of a service."""

from __future__ import annotations

from attrs import define, field, frozen

from magnoliahold.core.load.queues import FairQueue
from magnoliahold.core.load.rates import ArrivalRate
from magnoliahold.core.load.returns import ReturnSchedule

# How often entries tell each other new rates, so that each arrival needs no notice.
REPORT_S = 1.0


@frozen
class QueueReport:
    """How many streams of one rank wait at an entry, and how many arrive a second.

    Those that wait are of that many `workspaces`.
    """

    service: str
    rank: int
    waiting: int
    per_s: float = 0.0
    workspaces: int = 0


@define
class ServiceQueue:
    """The queue of one service at this entry.

    `arrivals` are those of each rank, and `reported_rates` what the other entries are
    told of them. `held` are the requests that wait for room, by handle, with the time
    since when.
    """

    fair: FairQueue = field(factory=FairQueue)
    returns: ReturnSchedule = field(factory=ReturnSchedule)
    arrivals: dict[int, ArrivalRate] = field(factory=dict)
    held: dict[int, float] = field(factory=dict)
    reported_rates: dict[int, float] = field(factory=dict)
    reported_at: float = 0.0

    def record_arrival(self, rank: int, now: float) -> None:
        """Records a request of a rank."""
        self.arrivals.setdefault(rank, ArrivalRate()).add(now)

    def find_arrivals_per_s(self, rank: int, now: float) -> float:
        """Returns how many requests of a rank arrive a second."""
        rate = self.arrivals.get(rank)
        return rate.find_per_s(now) if rate else 0.0

    def find_reported_rates(self, now: float) -> dict[int, float]:
        """Returns the arrivals a second of each rank, renewed once in a while."""
        if now - self.reported_at >= REPORT_S:
            self.reported_at = now
            self.reported_rates = {
                rank: round(self.find_arrivals_per_s(rank, now), 1)
                for rank in self.arrivals
            }
        return self.reported_rates
