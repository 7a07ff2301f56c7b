"""Tests of moves to other versions by several entries, with and without faults."""

from __future__ import annotations

import os
import unittest
from collections import Counter
from typing import Any

from magnoliahold.core.canary_analysis import ALL, FAILURES, Cell, Scores
from magnoliahold.core.evidence import find_bucket
from magnoliahold.core.moves import MoveState
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import SendAttempt, WriteMove
from magnoliahold.core.serving.events import MoveWritten
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.moves import MoveOrder, MoveRecord
from magnoliahold.core.version_results import Delta
from magnoliahold.core.workspaces import MoveRule
from tests.core.serving.fleet import NEW, OLD, Behaviour, Fleet, Outage
from tests.core.serving.harness import CALLS, ServingHarness, make_upstream

FIRST_SEED = int(os.environ.get("MAGNOLIAHOLD_SEED", "1"))
SEEDS = int(os.environ.get("MAGNOLIAHOLD_EXAMPLES", "3"))

GOOD = Behaviour()
ALL_FAIL = Behaviour(failures=1.0)
SOME_FAIL = Behaviour(failures=0.4)
SLOW = Behaviour(latency_factor=5.0)
PARTLY_SLOW = Behaviour(latency_factor=6.0, slow_share=0.34)
LIMITED = {"limited_share": 0.12}
LATE = Behaviour(failures=0.6, bad_from_s=5.0)
DONE, TAKEN_BACK = MoveState.DONE, MoveState.TAKEN_BACK

CASES: tuple[tuple[str, Behaviour, dict[str, Any], MoveState], ...] = (
    ("good", GOOD, {}, DONE),
    ("all fail", ALL_FAIL, {}, TAKEN_BACK),
    ("some fail", SOME_FAIL, {}, TAKEN_BACK),
    ("slow", SLOW, {}, TAKEN_BACK),
    ("good, a route at its time limit", GOOD, LIMITED, DONE),
    ("partly slow, a route at its time limit", PARTLY_SLOW, LIMITED, TAKEN_BACK),
    ("turns bad", LATE, {}, TAKEN_BACK),
    ("good, store away", GOOD, {"store_outage": Outage(2, 6)}, DONE),
    ("bad, store away", ALL_FAIL, {"store_outage": Outage(0.3, 7)}, TAKEN_BACK),
    ("good, an entry stops", GOOD, {"stopped": {"entry-1": 3.0}}, DONE),
    ("bad, an entry stops", ALL_FAIL, {"stopped": {"entry-2": 1.0}}, TAKEN_BACK),
    ("good, few requests", GOOD, {"rate_per_s": 5.0}, DONE),
    ("bad, few requests", ALL_FAIL, {"rate_per_s": 5.0}, TAKEN_BACK),
    ("good, two stop", GOOD, {"stopped": {"entry-1": 9.0, "entry-3": 10.4}}, DONE),
)
USUAL = find_bucket(0.025)
ANSWER = Delta(1, 0, {USUAL: 1}, {})
SLOW_ANSWER = Delta(1, 0, {find_bucket(0.5): 1}, {})
PARTLY_SLOW_ANSWERS = ([ANSWER] * 3 + [SLOW_ANSWER]) * 2 + [ANSWER] * 6
FAILURE = Delta(0, 1, {}, {})
DEADLINE_S = 12.0
TAKE_BACK_LIMIT_S = 5.0
EXPOSURE_SHARE = 0.1
EXPOSURE_EXTRA = 50
COUNTED_BAD = 50


class FleetMoveTests(unittest.TestCase):
    def run_move(self, seed: int, behaviour: Behaviour, **faults: Any) -> Fleet:
        fleet = Fleet(seed, behaviour, **faults)
        fleet.run(3.0)
        fleet.order_move()
        fleet.run(DEADLINE_S + 3.0)
        return fleet

    def test_moves_end_with_the_right_state_before_the_deadline(self) -> None:
        for name, behaviour, faults, expected in CASES:
            for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
                with self.subTest(name, seed=seed):
                    fleet = self.run_move(seed, behaviour, **faults)
                    self.assertEqual(fleet.state, expected, fleet.store.record)
                    assert fleet.done_at is not None
                    self.assertLess(fleet.done_at, DEADLINE_S)
                    self.assert_written_once(fleet)
                    if expected is TAKEN_BACK:
                        self.assert_exposure_is_limited(fleet)

    def assert_written_once(self, fleet: Fleet) -> None:
        """Each state is written once, and none after a final state."""
        states = [record.state for record in fleet.store.history]
        self.assertEqual(Counter(states).most_common(1)[0][1], 1, states)
        self.assertEqual(states[0], MoveState.CANARY)
        self.assertEqual(len(states), 2)

    def assert_exposure_is_limited(self, fleet: Fleet) -> None:
        """A bad version stays within its exposure, and is taken back in time."""
        periods = [(0.0, DEADLINE_S)]
        new = fleet.count_sent(NEW, periods)
        total = new + fleet.count_sent(OLD, periods)
        self.assertLessEqual(new, EXPOSURE_SHARE * total + EXPOSURE_EXTRA)
        if len(fleet.bad_sends_s) >= COUNTED_BAD:
            late = fleet.bad_sends_s[COUNTED_BAD - 1] + TAKE_BACK_LIMIT_S
            self.assertEqual(fleet.count_sent(NEW, [(late, 99.0)]), 0)

    def test_partly_slow_version_is_taken_back_with_few_requests(self) -> None:
        # Kept on naulakko-fleet with about 20 results.
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                fleet = self.run_move(seed, PARTLY_SLOW, rate_per_s=10.0, **LIMITED)
                self.assertEqual(fleet.state, TAKEN_BACK)

    def test_all_entries_stop_using_a_bad_version_without_the_store(self) -> None:
        fleet = self.run_move(1, ALL_FAIL, store_outage=Outage(0.6, 9.0))
        self.assertEqual(fleet.count_sent(NEW, [(4.0, 99.0)]), 0)
        self.assertLessEqual(len(fleet.bad_sends_s), 12)

    def test_all_requests_go_to_the_new_version_once_the_move_is_done(self) -> None:
        fleet = self.run_move(1, GOOD)
        assert fleet.done_at is not None
        self.assertEqual(fleet.count_sent(OLD, [(fleet.done_at + 0.2, 99.0)]), 0)
        self.assertGreater(fleet.count_sent(NEW, [(fleet.done_at + 0.2, 99.0)]), 0)


class SingleMoveTests(unittest.TestCase):
    """Behaviour of a single entry for orders and records."""

    def setUp(self) -> None:
        self.harness = ServingHarness()
        old = tuple(make_upstream(n, CALLS, version=OLD) for n in (1, 2))
        new = tuple(make_upstream(n, CALLS, version=NEW) for n in (3, 4))
        self.harness.start(upstreams=old + new)

    def order(self, row_version: int = 20) -> MoveOrder:
        order = MoveOrder(CALLS, NEW, 12.0, row_version)
        self.harness.change(Feed.CONFIGURATION, {"order": order}, row_version)
        self.harness.world.store_offset_s = 0.0
        return order

    def record(self, order: MoveOrder, state: MoveState, row_version: int = 21) -> None:
        record = MoveRecord(CALLS, order.id, NEW, state, self.harness.now)
        self.harness.read(Feed.MOVES, {CALLS: record}, row_version)

    def list_versions(self, count: int = 20) -> Counter[str]:
        """Sends calls and counts them by the version that they were sent to."""
        versions: Counter[str] = Counter()
        for _ in range(count):
            self.harness.request(RouteKind.NOT_REPEATABLE)
            sent = self.harness.pop_effect(SendAttempt)
            versions[sent.upstream.version] += 1
        return versions

    def test_record_decides_which_versions_get_requests(self) -> None:
        for state, expected in (
            (None, {OLD}),
            (MoveState.CANARY, {OLD, NEW}),
            (MoveState.DONE, {NEW}),
            (MoveState.TAKEN_BACK, {OLD}),
        ):
            with self.subTest(state=state):
                self.setUp()
                order = self.order()
                if state is not None:
                    self.record(order, state)
                self.assertEqual(set(self.list_versions()), expected)

    def test_canary_is_a_small_share(self) -> None:
        self.record(self.order(), MoveState.CANARY)
        self.assertIn(self.list_versions(50)[NEW], (4, 5, 6))

    def test_evidence_against_a_version_limits_its_share_after_some_requests(
        self,
    ) -> None:
        self.record(self.order(), MoveState.CANARY)
        analysis = self.harness.world.moves.by_service[CALLS].analysis
        analysis.answered = self.harness.world.serving_policy.moves.answers_to_grow
        doubt = self.harness.world.policy.moves.doubt_evidence
        analysis.scores[FAILURES, (ALL, "results")] = Scores(total=[doubt])
        self.assertIn(self.list_versions(80)[NEW], (19, 20, 21))
        self.list_versions(20)
        self.assertIn(self.list_versions(100)[NEW], (9, 10, 11))

    def test_record_of_an_earlier_order_is_ignored(self) -> None:
        order = self.order()
        self.record(order, MoveState.DONE)
        self.order(30)
        self.assertEqual(set(self.list_versions()), {OLD})

    def test_version_taken_back_serves_only_without_other_upstreams(self) -> None:
        self.record(self.order(), MoveState.TAKEN_BACK)
        removed = {f"{CALLS}-{n}": None for n in (1, 2)}
        self.harness.change(Feed.UPSTREAMS, removed, 30)
        self.assertEqual(set(self.list_versions()), {NEW})

    def test_old_version_serves_while_the_new_one_has_no_upstreams(self) -> None:
        self.record(self.order(), MoveState.DONE)
        removed = {f"{CALLS}-{n}": None for n in (3, 4)}
        self.harness.change(Feed.UPSTREAMS, removed, 30)
        self.assertEqual(set(self.list_versions()), {OLD})

    def test_new_version_without_an_order_gets_requests_after_the_hold(self) -> None:
        newest = make_upstream(5, CALLS, version="v3")
        self.harness.change(Feed.UPSTREAMS, {newest.id: newest}, 30)
        self.assertNotIn("v3", self.list_versions())
        self.harness.advance(2.1)
        self.assertIn("v3", self.list_versions())

    def test_step_that_was_not_written_is_retried(self) -> None:
        self.order()
        self.harness.read(Feed.MOVES, {}, 20)
        self.harness.advance(0.1)
        first = self.harness.pop_effect(WriteMove)
        self.assertEqual(first.expected_version, 0)
        self.harness.post(MoveWritten(first.record, 0, "answered 412"))
        self.harness.advance(0.1)
        self.assertEqual(self.harness.pop_effects(WriteMove), [])
        self.harness.advance(0.2)
        self.assertEqual(
            self.harness.pop_effect(WriteMove).record.state, MoveState.CANARY
        )

    def end_move(self, *results: Delta) -> MoveRecord:
        """Ends a move whose new version gives its results shortly before the end."""
        self.record(self.order(), MoveState.CANARY)
        analysis = self.harness.world.moves.by_service[CALLS].analysis
        policy = self.harness.world.policy.moves
        cell = Cell("entry-1", "a", False, compared_by_route=True)
        old = Delta(40, 0, {USUAL: 40}, {})
        analysis.add_old_results(cell, old, self.harness.now, policy)
        self.harness.advance(DEADLINE_S - 2.0)
        rule = MoveRule(NEW, canary_cap=0.0, deadline=0.0)
        for result in results:
            analysis.add_new_results(cell, result, rule, policy, is_recent=True)
        self.harness.advance(0.3)
        self.assertEqual(self.harness.pop_effects(WriteMove), [])
        self.harness.advance(0.3)
        return self.harness.pop_effect(WriteMove).record

    def test_moves_end_by_the_evidence_of_few_results(self) -> None:
        for name, results, expected in (
            ("good", [ANSWER] * 13, DONE),
            ("slow", [SLOW_ANSWER] * 6, TAKEN_BACK),
            ("partly slow", PARTLY_SLOW_ANSWERS, TAKEN_BACK),
            ("a failure at the end", [ANSWER] * 12 + [FAILURE], DONE),
            ("a failure with few answers", [FAILURE] + [ANSWER] * 3, DONE),
            ("a slow answer", [ANSWER] * 8 + [SLOW_ANSWER], DONE),
        ):
            with self.subTest(name):
                self.setUp()
                record = self.end_move(*results)
                self.assertEqual(record.state, expected, record.reason)

    def test_removed_order_removes_the_move(self) -> None:
        self.record(self.order(), MoveState.CANARY)
        self.harness.change(Feed.CONFIGURATION, {"order": None}, 40)
        self.assertFalse(self.harness.world.moves.by_service)


if __name__ == "__main__":
    unittest.main()
