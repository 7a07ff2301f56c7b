"""Tests of limits that upstreams name on the requests that all entries send them."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from attrs import evolve

from tests.core.serving.crashing_parts import EntryStop, Span
from tests.core.serving.limited_calls import Limit, LimitDay, LimitedFleet
from tests.core.serving.test_crashing_parts import SEEDS

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_SERVED_SHARE = 0.95
MIN_LATER = 5
DAY = LimitDay()
DAYS: dict[str, LimitDay] = {
    "two_of_four": DAY,
    "a_fraction": evolve(DAY, limit=Limit(1.3)),
    "none_at_all": evolve(DAY, limit=Limit(0.0)),
    "more": evolve(DAY, limit=Limit(6.0)),
    "all_upstreams": evolve(DAY, limit=Limit(1.0, count=4)),
    "many_entries": evolve(DAY, entries=16, limit=Limit(1.0, count=4)),
    "notices_lost": evolve(DAY, notice_loss=0.3),
    "entry_restarts": evolve(DAY, stops=(EntryStop(1, 7.0, 8.0),)),
}


def play(day: LimitDay) -> Iterator[LimitedFleet]:
    """Plays a day with each seed."""
    for seed in SEEDS:
        yield LimitedFleet(day, seed).run()


class LimitTests(unittest.TestCase):
    def test_upstreams_get_no_more_than_the_limits_that_they_name(self) -> None:
        for name, day in DAYS.items():
            for fleet in play(day):
                for number in range(1, day.limit.count + 1):
                    most = fleet.count_most(f"calls-{number}")
                    with self.subTest(day=name, seed=fleet.seed, upstream=number):
                        self.assertLessEqual(most, fleet.allowed)

    def test_upstream_is_used_again_once_it_names_no_limit(self) -> None:
        for per_s in (0.0, 1.0):
            limit = Limit(per_s, span=Span(3.0, 10.0))
            for fleet in play(evolve(DAY, limit=limit)):
                later = [
                    item
                    for item in fleet.arrivals_at
                    if item.upstream_id == "calls-1" and item.at_s >= 14.0
                ]
                with self.subTest(per_s=per_s, seed=fleet.seed):
                    self.assertGreater(len(later), MIN_LATER)

    def test_callers_are_served_by_the_upstreams_without_a_limit(self) -> None:
        for fleet in play(DAY):
            served = sum(item.root.completed for item in fleet.requests)
            with self.subTest(seed=fleet.seed):
                self.assertGreater(served, MIN_SERVED_SHARE * len(fleet.requests))
