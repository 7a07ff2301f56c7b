"""Tests of whole calls that crash the engines that run them, and are repeated at once.

Each day of the tables runs with some seeds. `MAGNOLIAHOLD_SEED` and
`MAGNOLIAHOLD_EXAMPLES` set other seeds.
"""

from __future__ import annotations

import unittest
from functools import cache
from typing import TYPE_CHECKING

from attrs import evolve

from tests.core.serving.crashing_calls import (
    DEADLY_CALL,
    CallDay,
    CrashingCallFleet,
    count_late_calls,
)
from tests.core.serving.crashing_day import DeadlyPart, EntryStop, Span
from tests.core.serving.test_crashing_parts import MAX_LATE, SEEDS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.core.serving.crashing_day import Crash

FEW = DeadlyPart(DEADLY_CALL, 0.8)
SOME = DeadlyPart(DEADLY_CALL, 8.0)
MANY = DeadlyPart(DEADLY_CALL, 20.0)
SHORT_DAY = CallDay(length_s=12.0)


def make_two_periods(length_s: float, second: Span) -> CallDay:
    """Makes a day in which the deadly call is requested in two periods."""
    deadly = tuple(evolve(SOME, requested=span) for span in (Span(4.0, 8.0), second))
    return CallDay(length_s=length_s, step_s=0.02, sound_per_s=1.0, deadly=deadly)


# The term of a first quarantine is over before the second period of each.
TRIAL_DAY = make_two_periods(90.0, Span(84.0, 86.0))
LATER_DAY = make_two_periods(116.0, Span(110.0, 112.0))
BURST_DAYS: dict[str, CallDay] = {
    "few_callers": evolve(SHORT_DAY, deadly=(FEW,)),
    "some_callers": evolve(SHORT_DAY, deadly=(SOME,)),
    "many_callers": evolve(SHORT_DAY, deadly=(MANY,)),
    "many_callers_and_entries": evolve(SHORT_DAY, deadly=(MANY,), entries=12),
    "more_engines": evolve(SHORT_DAY, deadly=(SOME,), engines=12),
    "resets_seen_late": evolve(SHORT_DAY, deadly=(SOME,), reset_delay_s=0.3),
    "notices_lost": evolve(SHORT_DAY, deadly=(SOME,), notice_loss=0.4),
    "engines_back_soon": evolve(SHORT_DAY, deadly=(SOME,), restart=Span(0.4, 0.9)),
    "entry_restarts": evolve(
        SHORT_DAY, deadly=(SOME,), stops=(EntryStop(1, 4.2, 5.5), EntryStop(2, 6.5, 7))
    ),
}


@cache
def play_once(day: CallDay, seed: int) -> CrashingCallFleet:
    """Plays a day with one seed."""
    return CrashingCallFleet(day, seed).run()


def play(day: CallDay) -> Iterator[CrashingCallFleet]:
    """Plays a day with each seed."""
    for seed in SEEDS:
        yield play_once(day, seed)


class CrashingCallTests(unittest.TestCase):
    def check_few_are_late(self, days: dict[str, CallDay]) -> None:
        for name, day in days.items():
            for fleet in play(day):
                with self.subTest(day=name, seed=fleet.seed):
                    self.assertLessEqual(count_late_calls(fleet), MAX_LATE)

    def test_call_that_crashes_engines_in_a_burst_is_refused(self) -> None:
        self.check_few_are_late(BURST_DAYS)

    def test_call_that_turns_deadly_after_it_was_answered_is_refused(self) -> None:
        turning = evolve(FEW, requested=Span(0.0, 26.0), deadly=Span(6.0, 1e3))
        self.check_few_are_late({"turns_deadly": CallDay(deadly=(turning,))})

    def test_trial_of_a_call_crashes_one_engine(self) -> None:
        for fleet in play(TRIAL_DAY):
            with self.subTest(seed=fleet.seed):
                self.assertLessEqual(len(list_later_crashes(fleet)), 1)

    def test_call_is_refused_also_after_a_long_pause(self) -> None:
        self.check_few_are_late({"later": LATER_DAY})
        for fleet in play(LATER_DAY):
            with self.subTest(seed=fleet.seed):
                self.assertLessEqual(len(list_later_crashes(fleet)), 1)

    def test_sound_calls_are_not_refused_beside_a_deadly_one(self) -> None:
        for name, day in BURST_DAYS.items():
            for fleet in play(day):
                refused = [
                    asked
                    for asked in fleet.requests
                    if not asked.deadly and "crash" in asked.reason
                ]
                with self.subTest(day=name, seed=fleet.seed):
                    self.assertEqual(refused, [])


def list_later_crashes(fleet: CrashingCallFleet) -> list[Crash]:
    """Lists the crashes after the first period in which the call was requested."""
    return [crash for crash in fleet.crashes if crash.at_s > 40.0]
