"""Options and result types shared by all experiments."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

BASELINE = "baseline"


class RunnableScenario(Protocol):
    """A scenario that runs once on its own simulation clock."""

    def run_scenario(self) -> None:
        """Runs the scenario to its end."""


S = TypeVar("S", bound=RunnableScenario)


@frozen
class MeasureOptions:
    """Options of an experiment.

    `policy` is "product" or "baseline"; `faults` scales the number of faults;
    `entries`, `workspaces`, `url` and `seconds` are used by some experiments only.
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
        """Whether the baseline is measured instead of the product."""
        return self.policy == BASELINE


@frozen
class Quantiles:
    """Nearest-rank quantiles of a list of values; 0 if the list is empty."""

    p50: float
    p95: float
    p99: float
    max: float


def run_scenarios(
    options: MeasureOptions, make: Callable[[MeasureOptions, int], S]
) -> Iterator[S]:
    """Makes and runs `options.runs` scenarios, one after the other."""
    for number in range(options.runs):
        scenario = make(options, number)
        scenario.run_scenario()
        yield scenario


def find_quantiles(values: Sequence[float]) -> Quantiles:
    """Computes the quantiles of values in any order."""
    ordered = sorted(values)

    def at_rank(share: float) -> float:
        if not ordered:
            return 0.0
        rank = min(len(ordered) - 1, int(share * len(ordered)))
        return round(ordered[rank], 4)

    return Quantiles(at_rank(0.5), at_rank(0.95), at_rank(0.99), at_rank(1.0))


def find_share(part: float, whole: float) -> float:
    """Returns `part` divided by `whole`, or 0 if `whole` is 0."""
    return round(part / whole, 5) if whole else 0.0
