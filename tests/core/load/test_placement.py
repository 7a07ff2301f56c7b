"""Tests of placement by expected completion, against a choice that knows all."""

from __future__ import annotations

import unittest
from random import Random

from attrs import define, field

from magnoliahold.core.load.placement import StreamWork, estimate_completion_s

PREFILL_S = 1.0
DECODE_S = 4.0
GOAL_S = 4.5
WORK = StreamWork(PREFILL_S, PREFILL_S + DECODE_S)
ENGINES = 24
SLOW_EVERY = 4
SLOWNESS = 2.2
SIMULATED_S = 60.0
STEP_S = 0.05


@define
class FakeStream:
    """A stream at a fake engine; seconds of work at the usual pace are left."""

    arrived_at: float
    prefill_left_s: float = PREFILL_S
    decode_left_s: float = DECODE_S


@define
class FakeEngine:
    """An engine that reads one prompt at a time and decodes the others slower then."""

    slowness: float
    streams: list[FakeStream] = field(factory=list)

    @property
    def load(self) -> float:
        """The load as entries count it: streams, and those in prefill twice."""
        return sum(2.0 if item.prefill_left_s > 0 else 1.0 for item in self.streams)

    def advance(self, now: float) -> list[float]:
        """Works for a step; returns the times to the first piece that were reached."""
        reading = [item for item in self.streams if item.prefill_left_s > 0]
        openings = []
        if reading:
            reading[0].prefill_left_s -= STEP_S / self.slowness
            if reading[0].prefill_left_s <= 0:
                openings.append(now - reading[0].arrived_at)
        rate = 0.2 if reading else 1.0
        for item in self.streams:
            if item.prefill_left_s <= 0:
                item.decode_left_s -= STEP_S * rate / self.slowness
        self.streams = [item for item in self.streams if item.decode_left_s > 0]
        return openings


def place(engines: list[FakeEngine], rule: str, random: Random) -> FakeEngine:
    """Chooses an engine by pace, by load alone, or by the exact first piece."""

    def rank(engine: FakeEngine) -> tuple[float, float]:
        if rule == "pace":
            cost = estimate_completion_s(WORK, engine.load, engine.slowness)
        elif rule == "load":
            cost = engine.load
        else:
            waiting_s = sum(item.prefill_left_s for item in engine.streams)
            cost = engine.slowness * (waiting_s + PREFILL_S)
        return (cost, random.random())

    return min(engines, key=rank)


def count_late(rule: str, utilization: float, seed: int) -> tuple[int, float]:
    """Plays arrivals; returns the late streams and the p95 of times to first pieces."""
    random = Random(seed)
    engines = [
        FakeEngine(SLOWNESS if number % SLOW_EVERY == 0 else 1.0)
        for number in range(ENGINES)
    ]
    capacity = sum(1.0 / (engine.slowness * PREFILL_S) for engine in engines)
    rate_per_s = utilization * capacity
    openings: list[float] = []
    for step in range(round(SIMULATED_S / STEP_S)):
        now = step * STEP_S
        arrivals = sum(random.random() < rate_per_s * STEP_S / 8 for _ in range(8))
        for _ in range(arrivals):
            place(engines, rule, random).streams.append(FakeStream(now))
        for engine in engines:
            openings.extend(engine.advance(now))
    openings.sort()
    late = sum(opening_s > GOAL_S for opening_s in openings)
    return late, openings[int(len(openings) * 0.95)]


class PlacementTests(unittest.TestCase):
    def test_equal_paces_are_in_the_order_of_their_loads(self) -> None:
        loads = [0.0, 0.3, 1.0, 2.0, 2.3, 5.0]
        costs = [estimate_completion_s(WORK, load, 1.0) for load in loads]
        self.assertEqual(costs, sorted(costs))
        self.assertEqual(len(set(costs)), len(loads))

    def test_slow_engine_gets_what_it_completes_first(self) -> None:
        for load, expected in ((0.0, "fast"), (4.0, "fast"), (9.0, "slow")):
            with self.subTest(load=load):
                fast = estimate_completion_s(WORK, load, 1.0)
                slow = estimate_completion_s(WORK, 0.0, SLOWNESS)
                self.assertEqual("fast" if fast < slow else "slow", expected)

    def test_two_paces_under_load_begin_in_time(self) -> None:
        for utilization in (0.5, 0.8, 0.95):
            for seed in (1, 2, 3):
                with self.subTest(utilization=utilization, seed=seed):
                    late, p95_s = count_late("pace", utilization, seed)
                    best_late, best_p95_s = count_late("exact", utilization, seed)
                    self.assertLessEqual(late, 1.2 * best_late + 1)
                    if best_p95_s <= GOAL_S:
                        self.assertLessEqual(p95_s, GOAL_S)


if __name__ == "__main__":
    unittest.main()
