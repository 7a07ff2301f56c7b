"""Tests of parts of prompts that crash the engines that write an answer on them.

Each day of the tables runs with some seeds, and is judged by what callers, engines and
the store observe. `MAGNOLIAHOLD_SEED` and `MAGNOLIAHOLD_EXAMPLES` set other seeds.
"""

from __future__ import annotations

import os
import unittest
from functools import cache
from typing import TYPE_CHECKING

from attrs import fields, frozen

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import RefuseCaller, SendAttempt
from magnoliahold.core.serving.events import (
    AttemptSent,
    CallerDisconnected,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.requests import PromptPart
from tests.core.serving.crashing_day import (
    EPOCH_S,
    Day,
    DeadlyPart,
    EngineLoss,
    EntryStop,
    Span,
)
from tests.core.serving.crashing_parts import (
    POPULAR_PART,
    STORE_CLOCK_OFFSET_S,
    CrashingFleet,
)
from tests.core.serving.crashing_scores import find_judged_span, score
from tests.core.serving.harness import (
    ENGINES,
    ServingHarness,
    make_configuration,
    make_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.requests import CallerRequest
    from tests.core.serving.crashing_scores import Score

FIRST_SEED = int(os.environ.get("MAGNOLIAHOLD_SEED", "1"))
EXAMPLES = int(os.environ.get("MAGNOLIAHOLD_EXAMPLES", "2"))
SEEDS = range(FIRST_SEED, FIRST_SEED + EXAMPLES)
CLASS_PER_S = 0.71
MAX_LATE = 3
MIN_JUDGED = 20
MIN_BEGUN_SHARE = 0.5
# Sound requests that may be refused in a day.
FEW_REFUSED = 3
RECOVERY_S = 60.0
REFUSED_AT_ONCE_S = 0.3
NEW_REQUESTS = 1_200
NEW_PARTS = 12
MAX_TABLE_ROWS = 10_000

PAIR = PromptPart("pair", 900)


def make_part(share: float, part: str = "deadly", **changes: object) -> DeadlyPart:
    """Makes a part that is in a share of the requests of one of three classes."""
    return DeadlyPart(part, CLASS_PER_S * share, **changes)  # type: ignore[arg-type]


PART = make_part(0.4)
SINGLE_LOSSES = tuple(EngineLoss(at_s) for at_s in (5.0, 8.5, 11.0, 14.5, 17.0, 21.0))
CENTRE_LOSSES = tuple(EngineLoss(at_s, data_centre=True) for at_s in (7.0, 15.0))
SILENT_LOSSES = (EngineLoss(6.0, True, True), EngineLoss(13.0, False, True))

DEADLY_DAYS: dict[str, Day] = {
    "share_0_05": Day(deadly=(make_part(0.05),)),
    "share_0_2": Day(deadly=(make_part(0.2),)),
    "share_0_4": Day(deadly=(PART,)),
    "share_of_all": Day(deadly=(make_part(1.3),)),
    "first_part": Day(deadly=(make_part(0.4, first=True),)),
    "part_before_shared": Day(deadly=(make_part(0.4, tail=False),)),
    "all_but_one_shared": Day(deadly=(make_part(0.4, extra_middle=3),), middle=3),
    "popular_companion": Day(deadly=(make_part(0.4, companions=(POPULAR_PART,)),)),
    "late_companion": Day(
        deadly=(make_part(0.4, companions=(PAIR,)),),
        held_companions=(PAIR,),
        companion_span=Span(14.0, 30.0),
    ),
    "two_parts": Day(deadly=(make_part(0.4, "deadly-1"), make_part(0.4, "deadly-2"))),
    "three_parts": Day(
        deadly=(
            make_part(0.3, "deadly-1"),
            make_part(0.3, "deadly-2", tail=False),
            make_part(0.3, "deadly-3", first=True),
        )
    ),
    "six_parts": Day(
        deadly=tuple(make_part(0.15, f"deadly-{n}", tail=n % 2 == 0) for n in range(6))
    ),
    "burst": Day(
        deadly=(make_part(8.0, requested=Span(4.0, 5.5)), PART),
    ),
    "turns_deadly": Day(
        deadly=(make_part(0.6, requested=Span(0.0, 28.0), deadly=Span(8.0, 1e3)),)
    ),
    "head_sent_first": Day(deadly=(PART,), head_share=1.0),
    "head_sent_at_times": Day(deadly=(PART,), head_share=0.5),
    "single_losses_too": Day(deadly=(PART,), losses=SINGLE_LOSSES),
    "centre_losses_too": Day(deadly=(PART,), losses=CENTRE_LOSSES),
    "silent_losses_too": Day(deadly=(PART,), losses=SILENT_LOSSES),
    "resets_too": Day(deadly=(PART,), resets=(5.0, 7.0, 9.0, 11.0, 13.0)),
    "resets_seen_late": Day(deadly=(PART,), reset_delay_s=0.5),
    "engines_back_soon": Day(deadly=(PART,), restart=Span(0.4, 0.9)),
    "callers_repeat_often": Day(deadly=(PART,), repeats=5),
    "entry_starts_late": Day(deadly=(PART,), stops=(EntryStop(2, 0.0, 13.0),)),
    "entry_restarts": Day(deadly=(PART,), stops=(EntryStop(2, 12.0, 13.0),)),
    "entries_restart_in_turn": Day(
        deadly=(PART,),
        stops=tuple(EntryStop(n, 10.0 + n, 10.9 + n) for n in (1, 2, 3, 4)),
    ),
    "all_entries_restart": Day(
        deadly=(PART,),
        stops=tuple(EntryStop(n, 13.0, 14.0) for n in (1, 2, 3, 4)),
    ),
    "notices_lost": Day(deadly=(PART,), notice_loss=0.3),
    "store_away": Day(deadly=(PART,), store_outage=Span(4.5, 25.0), has_keys=False),
    "entry_cut_off": Day(deadly=(PART,), cut_entry=1, cut=Span(3.0, 14.0)),
    "one_entry": Day(deadly=(PART,), entries=1),
    "eight_entries": Day(deadly=(PART,), entries=8),
    "short_prompts": Day(
        deadly=(make_part(0.4, extra_middle=0),), middle=0, popular_share=0.0
    ),
    "short_prompts_first_part": Day(
        deadly=(make_part(0.4, extra_middle=0, first=True),),
        middle=0,
        popular_share=0.0,
    ),
    "from_the_start": Day(deadly=(make_part(0.8, requested=Span(0.0, 24.0)),)),
    "sound_starts_late": Day(
        deadly=(make_part(0.4, requested=Span(0.0, 26.0)),), sound_from_s=10.0
    ),
    "few_engines": Day(deadly=(PART,), engines=4, sound_per_s=1.2),
    "crowded": Day(deadly=(PART,), sound_per_s=4.5),
    "sessions": Day(deadly=(make_part(0.8),), sessions=True),
    "crowded_sessions": Day(deadly=(PART,), sound_per_s=4.5, sessions=True),
    "lasting": Day(
        deadly=(make_part(0.4, requested=Span(4.0, 140.0)),), length_s=145.0
    ),
}

SOUND_DAYS: dict[str, Day] = {
    "no_trouble": Day(),
    "single_losses": Day(losses=SINGLE_LOSSES),
    "many_single_losses": Day(
        losses=tuple(EngineLoss(4.0 + 1.1 * number) for number in range(18))
    ),
    "centre_losses": Day(losses=CENTRE_LOSSES),
    "silent_losses": Day(losses=SILENT_LOSSES),
    "resets": Day(resets=tuple(4.0 + 0.7 * number for number in range(25))),
    "losses_of_all_kinds": Day(
        losses=SINGLE_LOSSES + CENTRE_LOSSES + SILENT_LOSSES, resets=(6.0, 9.0, 12.0)
    ),
    "losses_under_popular_parts": Day(
        middle=3, popular_share=1.0, losses=SINGLE_LOSSES + CENTRE_LOSSES
    ),
    "losses_beside_sessions": Day(
        sound_per_s=4.5, sessions=True, losses=SINGLE_LOSSES + CENTRE_LOSSES
    ),
    "many_losses_beside_sessions": Day(
        sound_per_s=4.5,
        sessions=True,
        losses=tuple(EngineLoss(4.0 + 1.1 * number) for number in range(18)),
    ),
    "losses_and_entry_restarts": Day(
        losses=SINGLE_LOSSES, stops=(EntryStop(2, 10.0, 11.0),)
    ),
}


@frozen
class Outcome:
    """A day that was run with one seed, and what it counts."""

    seed: int
    fleet: CrashingFleet
    score: Score


@cache
def run_day(name: str) -> tuple[Outcome, ...]:
    """Runs a day of the tables with all seeds."""
    day = DEADLY_DAYS.get(name) or SOUND_DAYS[name]
    fleets = [CrashingFleet(day, seed).run() for seed in SEEDS]
    return tuple(Outcome(fleet.seed, fleet, score(fleet)) for fleet in fleets)


def describe(outcomes: tuple[Outcome, ...]) -> str:
    """Describes what a day counts with each seed."""
    return "; ".join(f"seed {item.seed}: {item.score}" for item in outcomes)


def check_crashes_end(case: unittest.TestCase, name: str) -> None:
    """Checks that a deadly part is not sent on after its fifth crash."""
    outcomes = run_day(name)
    late = [max(item.score.late.values()) for item in outcomes]
    case.assertLessEqual(max(late), MAX_LATE, describe(outcomes))


def check_sound_requests_begin(case: unittest.TestCase, name: str) -> None:
    """Checks that sound requests begin at the first attempt after the fifth crash."""
    outcomes = run_day(name)
    for item in outcomes:
        if item.score.judged >= MIN_JUDGED:
            share = item.score.begun / item.score.judged
            case.assertGreaterEqual(share, MIN_BEGUN_SHARE, describe(outcomes))


def check_sound_requests_are_not_refused(case: unittest.TestCase, name: str) -> None:
    """Checks that at most a few sound requests are refused as not run."""
    outcomes = run_day(name)
    refused = max(item.score.refused for item in outcomes)
    case.assertLessEqual(refused, FEW_REFUSED, describe(outcomes))


DEADLY_CHECKS = (
    check_crashes_end,
    check_sound_requests_begin,
    check_sound_requests_are_not_refused,
)
SOUND_CHECKS = (check_sound_requests_begin, check_sound_requests_are_not_refused)


def add_days(
    days: dict[str, Day], checks: tuple[Callable[[unittest.TestCase, str], None], ...]
) -> Callable[[type[unittest.TestCase]], type[unittest.TestCase]]:
    """Adds a test method for each day and check, so that each has an id."""

    def decorate(cls: type[unittest.TestCase]) -> type[unittest.TestCase]:
        for name in days:
            for check in checks:
                method = _make_method(name, check)
                setattr(cls, method.__name__, method)
        return cls

    return decorate


def _make_method(
    name: str, check: Callable[[unittest.TestCase, str], None]
) -> Callable[[unittest.TestCase], None]:
    def method(self: unittest.TestCase) -> None:
        check(self, name)

    method.__name__ = f"test_{name}__{check.__name__.removeprefix('check_')}"
    return method


@add_days(DEADLY_DAYS, DEADLY_CHECKS)
class DeadlyPartTests(unittest.TestCase):
    """Days on which requests with a deadly part come."""

    def test_requests_with_a_deadly_part_are_refused_at_once(self) -> None:
        for outcome in run_day("share_of_all"):
            start_s = find_judged_span(outcome.fleet).start_s
            later = [
                item
                for item in outcome.fleet.requests
                if item.deadly and item.arrived_at - EPOCH_S > start_s
            ]
            with self.subTest(seed=outcome.seed):
                self.assertGreater(len(later), 3)
                refused = [
                    item
                    for item in later
                    if item.refused_at is not None
                    and item.refused_at - item.arrived_at <= REFUSED_AT_ONCE_S
                    and item.retry_after_s
                ]
                self.assertGreaterEqual(len(refused), len(later) - MAX_LATE)

    def test_two_parts_turn_deadly_beside_sessions(self) -> None:
        turns = {"requested": Span(0.0, 28.0), "deadly": Span(8.0, 1e3)}
        parts = tuple(make_part(0.4, f"d{number}", **turns) for number in range(2))
        day = Day(deadly=parts, sound_per_s=4.5, sessions=True)
        for seed in (5, 7):
            with self.subTest(seed=seed):
                late = score(CrashingFleet(day, seed).run()).late
                self.assertLessEqual(max(late.values()), MAX_LATE)

    def test_part_that_is_no_longer_deadly_is_served_again(self) -> None:
        for seed in SEEDS:
            part = make_part(0.6, requested=Span(4.0, 125.0), deadly=Span(0.0, 20.0))
            fleet = CrashingFleet(Day(deadly=(part,), length_s=130.0), seed).run()
            from_s = EPOCH_S + part.deadly.end_s + RECOVERY_S
            later = [
                item
                for item in fleet.requests
                if item.deadly and item.first and item.arrived_at > from_s
            ]
            begun = [item for item in later if item.began_at is not None]
            with self.subTest(seed=seed, later=len(later), begun=len(begun)):
                self.assertGreater(len(later), 5)
                self.assertGreaterEqual(len(begun), MIN_BEGUN_SHARE * len(later))


@add_days(SOUND_DAYS, SOUND_CHECKS)
class SoundPartTests(unittest.TestCase):
    """Days on which engines are lost, and no part is deadly."""

    def test_requests_are_served_on_a_day_without_trouble(self) -> None:
        for outcome in run_day("no_trouble"):
            with self.subTest(seed=outcome.seed):
                self.assertEqual(outcome.score.served, outcome.score.sound)


class SingleEntryTests(unittest.TestCase):
    """What one entry sees of engines that crash while they read prompts."""

    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.world.checks_all_rows = False
        engines = tuple(
            make_upstream(number, ENGINES, data_centre=f"data-centre-{number}")
            for number in range(1, 13)
        )
        self.harness.start(make_configuration(workspaces=None), engines)
        self.harness.world.store_offset_s = STORE_CLOCK_OFFSET_S

    def request(self, *parts: str) -> CallerRequest:
        """Sends a request whose last part is its own."""
        own = f"own-{self.harness.next_handle}"
        prompt = tuple(PromptPart(part, 1_000) for part in (*parts, own))
        return self.harness.request(
            RouteKind.STREAM, prompt=prompt, fingerprint=f"fingerprint-{own}"
        )

    def answer(self, *parts: str) -> None:
        """Lets an engine answer a request completely."""
        caller = self.request(*parts)
        sent = self.harness.send()
        self.harness.advance(1.0, 0.1)
        self.harness.open(sent, caller)
        for number in range(1, 21):
            self.harness.produce(sent, number)
            self.harness.advance(0.2, 0.1)
        self.harness.finish(sent)
        self.harness.emitted.clear()

    def crash(self, *requests: tuple[str, ...], probed_first: bool = False) -> None:
        """Lets the engines that read some requests crash at the same moment.

        With `probed_first` a probe fails before the connections are reset.
        """
        callers = [self.request(*parts) for parts in requests]
        sends = self.harness.pop_effects(SendAttempt)
        self.harness.post(*(AttemptSent(sent.attempt) for sent in sends))
        self.harness.advance(1.0, 0.1)
        if probed_first:
            self.fail_probes(sends)
            self.harness.advance(0.3, 0.1)
        for sent in sends:
            self.harness.interrupt(sent)
        for caller in callers:
            self.harness.post(CallerDisconnected(caller.handle))
        self.fail_probes(sends)
        self.harness.advance(1.0, 0.1)
        self.harness.emitted.clear()

    def fail_probes(self, sends: list[SendAttempt]) -> None:
        """Lets the hosts of upstreams refuse probes."""
        for record in (sent.upstream for sent in sends):
            failed = UpstreamFailedProbe(record.id, record.born_ms, "refused")
            self.harness.post(failed)

    def is_refused(self, *parts: str) -> bool:
        """Tells whether a request is refused at once as not run, until later."""
        caller = self.request(*parts)
        self.harness.advance(0.1)
        sent = self.harness.pop_effects(SendAttempt)
        refused = [
            item
            for item in self.harness.pop_effects(RefuseCaller)
            if (item.status, item.not_run) == (503, True) and item.retry_after_s
        ]
        self.harness.post(CallerDisconnected(caller.handle))
        self.assertEqual(len(sent) + len(refused), 1)
        return bool(refused)

    def test_requests_with_one_part_crash_five_engines(self) -> None:
        for place in range(3):
            with self.subTest(place=place):
                self.setUp()
                sound = ("first", "middle") if place else ("other", "middle")
                deadly = ["first", "middle"][: 1 if place == 0 else 2]
                deadly.insert(place, "deadly")
                self.answer(*sound)
                for _ in range(5):
                    self.crash(tuple(deadly))
                self.assertTrue(self.is_refused(*deadly))
                self.assertFalse(self.is_refused(*sound))

    def test_deadly_part_is_the_fortieth_of_a_long_prompt(self) -> None:
        sound = tuple(f"part-{number}" for number in range(39))
        self.answer(*sound)
        for _ in range(5):
            self.crash((*sound, "deadly"))
        self.assertTrue(self.is_refused(*sound, "deadly"))
        self.assertFalse(self.is_refused(*sound))

    def test_engines_are_known_to_be_down_before_their_connections_break(self) -> None:
        self.answer("first", "middle")
        for _ in range(5):
            self.crash(("first", "deadly"), probed_first=True)
        self.assertTrue(self.is_refused("first", "deadly"))
        self.assertFalse(self.is_refused("first", "middle"))

    def test_engines_crash_at_the_same_moment(self) -> None:
        self.answer("first", "middle")
        for _ in range(3):
            self.crash(("first", "deadly"), ("first", "middle", "deadly"))
        self.assertTrue(self.is_refused("first", "deadly"))
        self.assertFalse(self.is_refused("first", "middle"))

    def test_parts_that_are_answered_between_crashes_are_sound(self) -> None:
        for _ in range(5):
            self.crash(("first", "middle"))
            self.answer("first", "middle")
        self.assertFalse(self.is_refused("first", "middle"))

    def test_single_crash_refuses_nobody(self) -> None:
        self.crash(("first", "middle"))
        self.assertFalse(self.is_refused("first", "middle"))


class TableSizeTests(unittest.TestCase):
    """The tables of suspicions stay small whatever callers send."""

    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.world.checks_all_rows = False
        engines = tuple(make_upstream(number, ENGINES) for number in range(1, 10))
        self.harness.start(make_configuration(workspaces=None), engines)
        self.harness.world.store_offset_s = STORE_CLOCK_OFFSET_S

    def count_rows(self) -> int:
        """Counts the rows of all tables of suspicions."""
        suspicions = self.harness.world.suspicions
        tables = (getattr(suspicions, item.name) for item in fields(type(suspicions)))
        return sum(len(table) for table in tables if hasattr(table, "__len__"))

    def request_new_parts(self, number: int) -> tuple[CallerRequest, SendAttempt]:
        """Sends a request in which all parts are new."""
        parts = tuple(PromptPart(f"part-{number}-{n}", 500) for n in range(NEW_PARTS))
        fingerprint = f"fingerprint-{number}"
        caller = self.harness.request(
            RouteKind.STREAM, prompt=parts, fingerprint=fingerprint
        )
        return caller, self.harness.send()

    def test_answered_requests_with_new_parts(self) -> None:
        for number in range(NEW_REQUESTS):
            caller, sent = self.request_new_parts(number)
            self.harness.open(sent, caller)
            self.harness.produce(sent, 1)
            self.harness.finish(sent)
            self.harness.emitted.clear()
            self.harness.now += 0.02
        self.assertLessEqual(self.count_rows(), MAX_TABLE_ROWS)

    def test_reset_requests_with_new_parts(self) -> None:
        for number in range(NEW_REQUESTS):
            caller, sent = self.request_new_parts(number)
            self.harness.interrupt(sent)
            self.harness.post(CallerDisconnected(caller.handle))
            record = sent.upstream
            if number % 10 == 0:
                failed = UpstreamFailedProbe(record.id, record.born_ms, "refused")
                self.harness.post(failed)
                self.harness.advance(0.8, 0.1)
            self.harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
            self.harness.emitted.clear()
            self.harness.now += 0.02
        self.assertLessEqual(self.count_rows(), MAX_TABLE_ROWS)


if __name__ == "__main__":
    unittest.main()
