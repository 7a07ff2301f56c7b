"""Tests of who is given up when all connections together hold too much."""

from __future__ import annotations

import unittest

from attrs import define
from twisted.internet.task import Clock

from magnoliahold.inbound.limits import (
    IntakeLimits,
    IntakePolicy,
    make_intake_limits,
)
from magnoliahold.inbound.memory import IntakeMemory

LIMIT = 1000
POLICY = IntakePolicy(short_bytes=10)
LIMITS = IntakeLimits(LIMIT, LIMIT // 2, LIMIT, 100)
NOW = 100.0
STALLED = NOW - 10.0


@define(eq=False)
class FakeHolder:
    """A connection that holds something; what runs can't be given up."""

    name: str
    held: int
    quiet_since: float = NOW
    running: int = 0
    given_up: bool = False

    def count_held(self) -> int:
        return self.held + self.running

    def count_whole(self) -> int:
        return self.running

    def count_releasable(self) -> int:
        return self.held

    def give_up(self) -> str:
        self.held = 0
        self.given_up = True
        return "request"


# Holders as (bytes, since when quiet, bytes that run), and which are given up.
CASES = (
    ("within the limit", [(500, NOW, 0), (500, NOW, 0)], []),
    ("one alone beyond it", [(9000, STALLED, 0)], []),
    ("the largest beside little", [(9000, NOW, 0), (900, NOW, 0)], []),
    ("the largest first", [(600, NOW, 0), (700, NOW, 0), (800, NOW, 0)], [2]),
    ("the stalled before it", [(600, STALLED, 0), (700, NOW, 0), (800, NOW, 0)], [0]),
    (
        "of the stalled the largest",
        [(600, STALLED, 0), (700, STALLED, 0), (800, NOW, 0)],
        [1],
    ),
    ("none that runs", [(0, STALLED, 800), (0, STALLED, 800), (700, NOW, 0)], [2]),
    ("none where all run", [(0, NOW, 800), (0, NOW, 800), (0, NOW, 800)], []),
)


class IntakeMemoryTests(unittest.TestCase):
    def setUp(self) -> None:
        clock = Clock()
        clock.advance(NOW)
        self.memory = IntakeMemory(clock, POLICY, LIMITS)

    def test_those_without_progress_and_with_most_are_given_up_first(self) -> None:
        for name, holders, expected in CASES:
            with self.subTest(name):
                self.setUp()
                made = [FakeHolder(name, *values) for values in holders]
                for holder in made:
                    self.memory.update(holder)
                given_up = [n for n, item in enumerate(made) if item.given_up]
                self.assertEqual(given_up, expected)
                self.assertEqual(self.memory.given_up.total(), len(expected))

    def test_sum_is_that_of_what_is_held(self) -> None:
        first, second = FakeHolder("a", 300), FakeHolder("b", 200)
        for holder in (first, second, first):
            self.memory.update(holder)
        self.assertEqual(self.memory.held_bytes, 500)
        first.held = 100
        self.memory.update(first)
        self.memory.release(second)
        self.assertEqual(self.memory.held_bytes, 100)
        self.memory.release(first)
        self.memory.release(first)
        self.assertEqual(self.memory.held_bytes, 0)

    def test_whole_requests_run_within_their_limit_or_alone(self) -> None:
        newest = FakeHolder("newest", 0)
        self.assertTrue(self.memory.admits_whole(newest, 9000))
        first = FakeHolder("running", 0, running=400)
        self.memory.update(first)
        for size, admitted in ((10, True), (100, True), (101, False), (9000, False)):
            with self.subTest(size=size):
                self.assertEqual(self.memory.admits_whole(newest, size), admitted)
        self.memory.update(FakeHolder("short", 0, running=595))
        self.assertFalse(self.memory.admits_whole(newest, 10))
        self.assertEqual(self.memory.given_up, {"whole_request": 3})
        self.memory.release(first)
        self.assertTrue(self.memory.admits_whole(newest, 10))


class LimitTests(unittest.TestCase):
    def test_limits_follow_the_instance(self) -> None:
        for memory_mb, descriptors, connections in (
            (128, 4100, 1024),
            (150, 4100, 1200),
            (552, 4100, 1950),
            (128, 512, 156),
            (128, 210, 16),
            (None, 4100, 1024),
            (None, 1600, 700),
        ):
            with self.subTest(memory_mb=memory_mb, descriptors=descriptors):
                limits = make_intake_limits(IntakePolicy(), memory_mb, descriptors)
                self.assertEqual(limits.connections, connections)
                self.assertLess(limits.whole_bytes, limits.held_bytes)

    def test_shares_must_be_shares(self) -> None:
        for name in ("held_share", "answer_share", "descriptor_share"):
            for value in (0.0, -0.5, 1.5, float("nan")):
                with self.subTest(name, value=value), self.assertRaises(ValueError):
                    IntakePolicy(**{name: value})


if __name__ == "__main__":
    unittest.main()
