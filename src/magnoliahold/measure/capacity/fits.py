"""Measures a cost at several sizes and fits a line through the results."""

from __future__ import annotations

import gc
from statistics import correlation, linear_regression
from time import process_time
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

SIGNIFICANT_DIGITS = 4


@frozen
class Slope:
    """Costs at several sizes, with the least-squares line through them.

    `unit` is the unit of the costs. `slope` is the additional cost for one more of
    `per`, `intercept` the cost at size 0, and `r2` the coefficient of determination.
    """

    unit: str
    per: str
    sizes: tuple[int, ...]
    costs: tuple[float, ...]
    slope: float
    intercept: float
    r2: float

    def predict_cost(self, size: float) -> float:
        """Returns the cost at a size according to the line."""
        return self.intercept + self.slope * size


def fit_slope(
    unit: str, per: str, sizes: Sequence[int], measure: Callable[[int], float]
) -> Slope:
    """Measures the cost at each size and fits a line."""
    costs = [measure(size) for size in sizes]
    line = linear_regression(sizes, costs)
    varied = len(set(costs)) > 1
    r2 = correlation(sizes, costs) ** 2 if varied else 1.0
    return Slope(
        unit=unit,
        per=per,
        sizes=tuple(sizes),
        costs=tuple(round_significant(cost) for cost in costs),
        slope=round_significant(line.slope),
        intercept=round_significant(line.intercept),
        r2=round(r2, 4),
    )


def round_significant(value: float) -> float:
    """Rounds to SIGNIFICANT_DIGITS significant digits."""
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")


def time_steps(step: Callable[[], object], repeats: int, steps: int = 1) -> float:
    """Returns the processor time of one step, in seconds.

    Times `repeats` rounds of `steps` steps and returns the minimum, as the shortest
    round is the least disturbed by other processes.
    """
    best = float("inf")
    gc.collect()
    gc.disable()
    try:
        for _ in range(repeats):
            started = process_time()
            for _ in range(steps):
                step()
            best = min(best, (process_time() - started) / steps)
    finally:
        gc.enable()
    return best
