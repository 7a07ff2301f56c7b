"""How long requests take, by their service and kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.core.serving.upstreams import update_moving_average

if TYPE_CHECKING:
    from magnoliahold.core.serving.configuration import RouteKind

# Of the longest duration so much is kept with each shorter one.
LONGEST_KEPT = 0.995


@define
class Durations:
    """Seconds from the arrival of requests to their end.

    `mean_s` is a moving average, and `longest_s` the longest of the last few hundred;
    `count` is the number of all.
    """

    mean_s: float
    longest_s: float
    count: int = 1

    def add(self, duration_s: float) -> None:
        """Adds a request that has ended."""
        self.count += 1
        self.mean_s = update_moving_average(self.mean_s, duration_s)
        self.longest_s = max(duration_s, self.longest_s * LONGEST_KEPT)


@define
class DurationTable:
    """The durations of requests by service and kind."""

    by_service: dict[tuple[str, RouteKind], Durations] = field(factory=dict)

    def add(self, service: str, kind: RouteKind, duration_s: float) -> None:
        """Adds a request that has ended."""
        durations = self.by_service.get((service, kind))
        if durations is None:
            self.by_service[service, kind] = Durations(duration_s, duration_s)
        else:
            durations.add(duration_s)

    def find(self, service: str, kind: RouteKind) -> Durations | None:
        """Finds the durations of a service's requests; None before the first end."""
        return self.by_service.get((service, kind))
