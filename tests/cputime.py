"""Processor time of a piece of work, in plain function calls.

Beside load a call takes up to twice its time, since busy processes share cores and
caches. A bound in calls holds there too, and still finds work that grows with the
square of its input.
"""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Iterator

MEASURED_CALLS = 200_000


@define
class Cost:
    """What a piece of work cost: `calls` plain function calls."""

    calls: float = 0.0


def do_nothing(value: int) -> int:
    """Returns its argument."""
    return value


def measure_call_s() -> float:
    """Measures the processor time of a plain function call, in seconds."""
    started = time.process_time()
    for number in range(MEASURED_CALLS):
        do_nothing(number)
    return (time.process_time() - started) / MEASURED_CALLS


@contextmanager
def measure_cost() -> Iterator[Cost]:
    """Measures the processor time of a block, in plain function calls."""
    cost = Cost()
    before_s = measure_call_s()
    started = time.process_time()
    yield cost
    used_s = time.process_time() - started
    cost.calls = used_s * 2 / (before_s + measure_call_s())
