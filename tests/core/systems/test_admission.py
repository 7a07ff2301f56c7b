"""Tests of queues, limits and refusals on simulated fleets."""

from __future__ import annotations

import unittest
from itertools import pairwise
from typing import TYPE_CHECKING

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliahold.core.events import GenerationArrived
from magnoliahold.core.policy import Policy
from magnoliahold.measure.fakes.callers import GenerationCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.workspaces import make_work, make_workspace

if TYPE_CHECKING:
    from magnoliahold.core.workspaces import WorkRule
    from magnoliahold.measure.fakes.fleet import Fleet

WAIT_LIMIT_S = Policy().admission.interactive_patience_s
CAPACITY = 4


def make_small_fleet(seed: int, *works: WorkRule, entries: int = 2) -> Fleet:
    """Builds two engines of `CAPACITY` slots and three workspaces of the same works."""
    rules = list(works) or [
        make_work("desk", "draft", interactive=True, deadline_s=30.0),
        make_work("night", "draft", deadline_s=60.0),
    ]
    workspaces = [make_workspace(f"club-{n}", list(rules)) for n in range(3)]
    spec = FleetSpec(entries=entries, engines={"draft": 2}, capacity=CAPACITY)
    fleet = make_fleet(seed, spec, workspaces)
    fleet.run_for(1.0)
    return fleet


def start_caller(
    fleet: Fleet, work: str, *, club: int = 0, tokens: int = 50, delay_s: float = 0.0
) -> GenerationCaller:
    """Starts a caller that sends its request once and doesn't retry."""
    serial = len(fleet.clock.getDelayedCalls())
    request = GenerationArrived(
        "", f"club-{club}", work, f"list {serial}", tokens, True, f"print-{serial}"
    )
    caller = GenerationCaller(fleet.clock, fleet, request, max_refusals=0)
    fleet.clock.callLater(delay_s, caller.start_request)
    return caller


def list_codes(callers: list[GenerationCaller]) -> set[str]:
    """Lists the codes of all refusals."""
    return {refusal.code for caller in callers for refusal in caller.refusals}


class RefusalTests(unittest.TestCase):
    def test_limits_of_the_template_refuse_at_once(self) -> None:
        night = make_work("night", "draft", deadline_s=600.0)
        cases = (
            ("queue_full", 429, evolve(night, max_queued=6)),
            ("rate_limited", 429, evolve(night, requests_per_s=5.0)),
            ("overloaded", 503, evolve(night, deadline_s=6.0)),
        )
        for code, status, rule in cases:
            with self.subTest(code):
                fleet = make_small_fleet(1, rule)
                callers = [start_caller(fleet, "night") for _ in range(60)]
                fleet.run_for(0.2)
                refusals = [item for caller in callers for item in caller.refusals]
                self.assertGreater(len(refusals), 10)
                self.assertEqual({item.code for item in refusals}, {code})
                self.assertEqual({item.status for item in refusals}, {status})
                self.assertEqual({item.ran for item in refusals}, {"not_run"})
                times = {item.retry_after_s for item in refusals}
                self.assertNotIn(None, times)
                self.assertGreater(len(times), 5, "retry delays have jitter")

    def test_pool_without_upstreams_refuses_after_the_grace_period(self) -> None:
        fleet = make_small_fleet(2)
        for upstream in list(fleet.engines):
            fleet.lose_instance(upstream)
        fleet.run_for(1.5)
        first = [start_caller(fleet, work) for work in ("desk", "night")]
        fleet.run_for(1.3)
        self.assertEqual(list_codes(first), {"no_upstream"})
        later = [start_caller(fleet, work) for work in ("desk", "night")] * 2
        fleet.run_for(0.1)
        self.assertTrue(all(caller.refusals for caller in first))
        self.assertTrue(any(caller.refusals for caller in later))

    def test_interactive_request_is_answered_within_its_wait_limit(self) -> None:
        fleet = make_small_fleet(3)
        callers = [start_caller(fleet, "desk", tokens=200) for _ in range(60)]
        fleet.run_for(WAIT_LIMIT_S + 0.2)
        waiting = [item for item in callers if not item.tokens and not item.refusals]
        self.assertEqual(waiting, [])
        self.assertEqual(list_codes(callers), {"overloaded"})

    def test_request_that_cannot_begin_in_time_is_refused_on_arrival(self) -> None:
        desk = make_work("desk", "draft", interactive=True, deadline_s=30.0)
        fleet = make_small_fleet(9, evolve(desk, max_queued=1000))
        for n in range(400):
            start_caller(fleet, "desk", tokens=50, delay_s=n * 0.01)
        fleet.run_for(3.01)
        late = [start_caller(fleet, "desk", tokens=50) for _ in range(20)]
        fleet.run_for(0.02)
        self.assertGreater(sum(bool(caller.refusals) for caller in late), 10)

    def test_request_behind_long_work_is_refused_at_its_wait_limit(self) -> None:
        rule = make_work("desk", "draft", interactive=True, deadline_s=60.0)
        fleet = make_small_fleet(10, evolve(rule, max_running=1), entries=1)
        blocker = start_caller(fleet, "desk", tokens=400)
        fleet.run_for(0.1)
        behind = start_caller(fleet, "desk")
        fleet.run_for(WAIT_LIMIT_S + 0.1)
        self.assertTrue(blocker.tokens)
        self.assertEqual(list_codes([behind]), {"overloaded"})


class SchedulingTests(unittest.TestCase):
    def test_flood_does_not_starve_other_workspaces(self) -> None:
        fleet = make_small_fleet(4)
        flood = [
            start_caller(fleet, "desk", tokens=20, delay_s=n * 0.01) for n in range(400)
        ]
        others = [
            start_caller(fleet, "desk", club=1, tokens=20, delay_s=0.5 + n * 0.2)
            for n in range(15)
        ]
        fleet.run_for(8.0)
        self.assertGreater(len(list_codes(flood)), 0)
        self.assertEqual(list_codes(others), set())
        waits = sorted(item.progress[0] - item.started_at for item in others)
        self.assertLess(waits[-1], WAIT_LIMIT_S)

    def test_batch_is_not_starved_by_interactive_work(self) -> None:
        fleet = make_small_fleet(5)
        for n in range(1200):
            club = n % 2
            start_caller(fleet, "desk", club=club, tokens=20, delay_s=n * 0.01)
        fleet.run_for(1.0)
        night = [start_caller(fleet, "night", club=2, tokens=20) for _ in range(4)]
        fleet.run_for(8.0)
        self.assertTrue(all(caller.finished_at for caller in night))

    def test_earlier_deadline_starts_first(self) -> None:
        soon = make_work("soon", "draft", deadline_s=20.0)
        late = make_work("late", "draft", deadline_s=60.0)
        fleet = make_small_fleet(6, soon, late, entries=1)
        blockers = [start_caller(fleet, "late", tokens=100) for _ in range(8)]
        fleet.run_for(0.2)
        last = [start_caller(fleet, "late", tokens=50) for _ in range(4)]
        fleet.run_for(0.1)
        first = [start_caller(fleet, "soon", tokens=50) for _ in range(4)]
        fleet.run_for(12.0)
        self.assertTrue(all(caller.finished_at for caller in blockers))
        latest_soon = max(caller.progress[0] for caller in first)
        self.assertLess(latest_soon, max(caller.progress[0] for caller in last))

    def test_running_requests_never_exceed_the_limit_of_the_template(self) -> None:
        for limit in (1, 2, 4):
            with self.subTest(limit=limit):
                rule = evolve(make_work("night", "draft"), max_running=limit)
                fleet = make_small_fleet(7, rule, entries=3)
                callers = [start_caller(fleet, "night", tokens=20) for _ in range(12)]
                most = 0
                for _ in range(400):
                    fleet.run_for(0.02)
                    engines = fleet.engines.values()
                    running = sum(len(item.streams) for item in engines)
                    most = max(most, running)
                self.assertEqual(most, limit)
                self.assertGreater(sum(bool(item.tokens) for item in callers), limit)

    def test_resumed_work_starts_before_queued_work(self) -> None:
        fleet = make_small_fleet(8)
        running = [start_caller(fleet, "night", tokens=300) for _ in range(6)]
        fleet.run_for(1.0)
        for n in range(300):
            start_caller(fleet, "desk", club=1, tokens=40, delay_s=n * 0.02)
        fleet.run_for(1.0)
        name = next(name for name, item in fleet.engines.items() if item.streams)
        fleet.engines[name].kill_engine()
        killed_at = fleet.now()
        fleet.run_for(2.0)
        for caller in running:
            times = [at for at in caller.progress if killed_at - 0.1 <= at]
            gaps = [after - at for at, after in pairwise(times)]
            self.assertLess(max(gaps, default=0.0), 2.0)
            self.assertEqual(caller.restarts, 0)


class RandomLoadTests(unittest.TestCase):
    @settings(max_examples=6, derandomize=True, deadline=None, database=None)
    @given(
        st.integers(0, 10_000),
        st.lists(
            st.tuples(
                st.floats(0.0, 4.0),
                st.sampled_from(("desk", "night")),
                st.integers(0, 2),
                st.integers(1, 80),
            ),
            min_size=20,
            max_size=120,
        ),
        st.lists(st.tuples(st.floats(0.5, 4.0), st.integers(0, 1)), max_size=2),
    )
    def test_every_request_has_one_final_answer(
        self,
        seed: int,
        requests: list[tuple[float, str, int, int]],
        crashes: list[tuple[float, int]],
    ) -> None:
        run_random_load(self, seed, requests, crashes)


def run_random_load(
    test: unittest.TestCase,
    seed: int,
    requests: list[tuple[float, str, int, int]],
    crashes: list[tuple[float, int]],
) -> None:
    """Runs requests while engines crash and restart, with invariant checks on."""
    fleet = make_small_fleet(seed)
    callers = [
        start_caller(fleet, work, club=club, tokens=tokens, delay_s=delay_s)
        for delay_s, work, club, tokens in requests
    ]
    for at, number in crashes:
        engine = fleet.engines[f"draft-{number}"]
        fleet.clock.callLater(at, engine.kill_engine)
        fleet.clock.callLater(at + 1.0, engine.restart_engine)
    fleet.run_for(70.0, 0.02)
    test.assertEqual(fleet.stopped, [])
    for caller in callers:
        test.assertTrue(caller.done)
        test.assertIsNone(caller.find_break())
        if caller.finished_at is not None:
            test.assertEqual(len(caller.tokens), caller.request.max_tokens)
        else:
            test.assertIsNotNone(caller.refusals[-1].retry_after_s)
