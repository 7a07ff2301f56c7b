"""Options and results that all rigs share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

BASELINE = "baseline"


class RunnableScenario(Protocol):
    """A scenario that runs once on its own clock."""

    def run_scenario(self) -> None:
        """Runs to its end."""


S = TypeVar("S", bound=RunnableScenario)


@frozen
class MeasureOptions:
    """What a rig is asked for.

    `policy` is "product" or "baseline"; `faults` scales the number of faults;
    `entries`, `workspaces`, `url` and `seconds` are read by single rigs only.
    """

    seed: int = 1
    runs: int = 20
    policy: str = "product"
    faults: float = 1.0
    entries: int = 3
    workspaces: int = 10
    url: str = ""
    seconds: float = 30.0

    @property
    def baseline(self) -> bool:
        """Whether the plain alternative is measured."""
        return self.policy == BASELINE


@frozen
class Quantiles:
    """Nearest-rank quantiles of a list of values, 0 when it is empty."""

    p50: float
    p95: float
    p99: float
    max: float


def run_scenarios(
    options: MeasureOptions, make: Callable[[MeasureOptions, int], S]
) -> Iterator[S]:
    """Makes and runs the asked number of scenarios, one after the other."""
    for number in range(options.runs):
        scenario = make(options, number)
        scenario.run_scenario()
        yield scenario


def find_quantiles(values: Sequence[float]) -> Quantiles:
    """Finds the quantiles of values in any order."""
    ordered = sorted(values)

    def pick(share: float) -> float:
        if not ordered:
            return 0.0
        rank = min(len(ordered) - 1, int(share * len(ordered)))
        return round(ordered[rank], 4)

    return Quantiles(pick(0.5), pick(0.95), pick(0.99), pick(1.0))


def find_share(part: float, whole: float) -> float:
    """Divides safely: 0 when there is no whole."""
    return round(part / whole, 5) if whole else 0.0
