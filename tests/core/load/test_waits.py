"""Tests of room, of expected waits and of what follows from them."""

from __future__ import annotations

import unittest
from itertools import pairwise
from math import inf

from magnoliahold.core.load.rates import ArrivalRate
from magnoliahold.core.load.returns import HORIZON_S, ReturnSchedule
from magnoliahold.core.load.rooms import (
    UNKNOWN_PLACES,
    EngineRoom,
)
from magnoliahold.core.load.shares import TURN_S, count_kept_places, may_take_place
from magnoliahold.core.load.waits import (
    ExpectedFlow,
    can_be_served,
    estimate_equal_ahead,
)

ROOMS: tuple[tuple[str, EngineRoom, int, int], ...] = (
    ("unknown limits", EngineRoom(), 8000, UNKNOWN_PLACES),
    ("free places", EngineRoom(max_streams=8, streams=5), 8000, 3),
    ("more streams than places", EngineRoom(max_streams=8, streams=9), 8000, 0),
    ("tokens", EngineRoom(max_tokens=74_800, tokens=50_000), 8000, 3),
    ("a long prompt", EngineRoom(max_tokens=74_800, tokens=50_000), 30_000, 0),
    ("the tighter of both", EngineRoom(8, 74_800, 7, 0), 8000, 1),
    ("no prompt", EngineRoom(8, 74_800, 0, 0), 0, 8),
)

# The flow, how many seconds are left to be on time and to start, and whether it waits.
WAITS: tuple[tuple[str, ExpectedFlow, float, float, bool], ...] = (
    ("first in the queue", ExpectedFlow(0, 0, 10), 2, 20, True),
    ("on time", ExpectedFlow(0, 15, 10), 2, 20, True),
    ("late, but few others come", ExpectedFlow(0, 30, 10), 2, 20, True),
    (
        "late, and others overtake",
        ExpectedFlow(0, 30, 10, equal_per_s=30),
        2,
        20,
        False,
    ),
    ("urgent work takes all", ExpectedFlow(9, 3, 10, urgent_per_s=30), 2, 20, False),
    (
        "the least share is enough",
        ExpectedFlow(30, 1, 10, urgent_per_s=30),
        3,
        20,
        True,
    ),
    ("beyond the deadline", ExpectedFlow(0, 300, 10), 2, 20, False),
    ("nothing is served", ExpectedFlow(0, 0, 0), 2, 20, False),
)


class RoomTests(unittest.TestCase):
    def test_places(self) -> None:
        for name, room, tokens, expected in ROOMS:
            with self.subTest(name):
                self.assertEqual(room.count_places(tokens), expected)


class WaitTests(unittest.TestCase):
    def test_only_what_can_be_served_waits(self) -> None:
        for name, flow, on_time_s, start_s, expected in WAITS:
            with self.subTest(name):
                found = can_be_served(flow, 100, 100 + on_time_s, 100 + start_s)
                self.assertEqual(found, expected)

    def test_workspace_without_a_queue_waits_for_one_round(self) -> None:
        for own, waiting, shares, expected in (
            (0, 40, 3, 2.0),
            (0, 1, 3, 1.0),
            (5, 40, 3, 17.0),
            (30, 40, 3, 40.0),
        ):
            with self.subTest(own=own, waiting=waiting):
                found = estimate_equal_ahead(own, waiting, shares)
                self.assertEqual(found, expected)

    def test_no_flow_waits_for_ever(self) -> None:
        self.assertEqual(ExpectedFlow(0, 0, 0).wait_s, inf)


class RateTests(unittest.TestCase):
    def test_rate_follows_a_change_of_demand_in_seconds(self) -> None:
        rate = ArrivalRate()
        for step in range(100):
            rate.add(step * 0.1)
        self.assertAlmostEqual(rate.find_per_s(9.9), 10.0, delta=1.0)
        self.assertLess(rate.find_per_s(16.0), 0.6)


class ReturnTests(unittest.TestCase):
    def test_callers_return_in_order_as_fast_as_room_comes_free(self) -> None:
        schedule = ReturnSchedule()
        times = [schedule.choose_retry_after_s(100.0, 2.0, 4.0) for _ in range(20)]
        self.assertEqual(times[0], 2.0)
        for earlier, later in pairwise(times):
            self.assertAlmostEqual(later - earlier, 0.25)

    def test_returns_stay_within_the_horizon(self) -> None:
        schedule = ReturnSchedule()
        for wait_s, per_s in ((inf, 1.0), (5.0, 0.0), (0.0, 0.01)):
            for _ in range(50):
                found = schedule.choose_retry_after_s(100.0, wait_s, per_s)
                self.assertLessEqual(found, HORIZON_S)
                self.assertGreaterEqual(found, 0.0)


class ShareTests(unittest.TestCase):
    def count_turns(self, waiting: dict[str, int], places: int) -> dict[str, int]:
        """Counts the turns of each entry at one engine."""
        turns = dict.fromkeys(waiting, 0)
        for turn in range(400):
            for name in waiting:
                time_s = (turn + 0.5) * TURN_S
                turns[name] += may_take_place("e", name, waiting, places, time_s)
        return turns

    def test_as_many_entries_as_places_have_a_turn(self) -> None:
        waiting = {f"entry-{number}": 1 for number in range(30)}
        for places in (0, 1, 3, 30):
            with self.subTest(places=places):
                turns = self.count_turns(waiting, places)
                self.assertEqual(sum(turns.values()), 400 * places)

    def test_turns_follow_what_waits(self) -> None:
        turns = self.count_turns({"a": 1, "b": 1, "c": 2}, 1)
        self.assertAlmostEqual(turns["c"] / 400, 0.5, delta=0.08)
        self.assertAlmostEqual(turns["a"] / 400, 0.25, delta=0.08)

    def test_places_are_kept_only_while_urgent_work_comes(self) -> None:
        for urgent_per_s, served_per_s, expected in (
            (0.0, 10.0, 0),
            (5.0, 0.0, 0),
            (5.0, 10.0, 1),
            (25.0, 10.0, 3),
        ):
            with self.subTest(urgent_per_s=urgent_per_s):
                found = count_kept_places(urgent_per_s, served_per_s)
                self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
