"""Tests of streams that wait for room, each under the load that it answers."""

from __future__ import annotations

import unittest
from functools import cache
from itertools import pairwise

from attrs import evolve

from magnoliahold.core.load.queues import LEAST_SHARE
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import RefuseCaller, SendAttempt
from magnoliahold.core.serving.loads import UpstreamLoad
from tests.core.serving.crowd import (
    DEADLINE_S,
    WORKSPACES,
    Crowd,
    Demand,
)
from tests.core.serving.harness import (
    ENGINES,
    ServingHarness,
    make_configuration,
    make_route,
)

SEEDS = (1, 2)
RANKED = (Demand(0, 8), Demand(1, 8), Demand(2, 8))

OVERLOADS: tuple[tuple[str, tuple[Demand, ...]], ...] = (
    ("twice the capacity", RANKED),
    ("five times the capacity", tuple(evolve(item, per_s=20) for item in RANKED)),
    ("least urgent four times beside urgent", (Demand(0, 6), Demand(2, 24))),
    ("urgent three times beside a full house", (Demand(0, 24, 2, 6), Demand(1, 12))),
)


@cache
def run_overload(name: str, seed: int) -> Crowd:
    """Runs an overload of the table; several tests look at the same run."""
    return run_crowd(dict(OVERLOADS)[name], seed)


def run_crowd(demands: tuple[Demand, ...], seed: int, **changes: object) -> Crowd:
    """Runs a crowd until all callers have an answer or have reached their deadline."""
    crowd = Crowd(demands, seed=seed, **changes)  # type: ignore[arg-type]
    crowd.run(10.0 + DEADLINE_S)
    return crowd


def start_ranked_entry() -> ServingHarness:
    """Starts an entry with streams of two ranks."""
    harness = ServingHarness()
    routes = tuple(
        make_route(RouteKind.STREAM, ENGINES, prefix=f"/{rank}/", priority=rank)
        for rank in (0, 1)
    )
    harness.start(evolve(make_configuration(), routes=routes))
    return harness


class OverloadTests(unittest.TestCase):
    def test_capacity_serves_in_time(self) -> None:
        for name, _ in OVERLOADS[:3]:
            for seed in SEEDS:
                with self.subTest(name, seed=seed):
                    crowd = run_overload(name, seed)
                    on_time = sum(item.is_on_time for item in crowd.callers.values())
                    self.assertGreaterEqual(on_time, 0.9 * crowd.capacity_per_s * 10)

    def test_more_urgent_work_is_not_served_less_often(self) -> None:
        for name, demands in OVERLOADS:
            for seed in SEEDS:
                with self.subTest(name, seed=seed):
                    crowd = run_overload(name, seed)
                    ranks = sorted({demand.rank for demand in demands})
                    shares = [crowd.count_served_share(rank) for rank in ranks]
                    for urgent, less_urgent in pairwise(shares):
                        self.assertGreaterEqual(urgent, less_urgent - 0.02)

    def test_urgent_work_within_the_capacity_is_in_time(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                callers = run_overload(OVERLOADS[2][0], seed).list_callers(0)
                on_time = sum(item.is_on_time for item in callers)
                self.assertGreaterEqual(on_time, 0.97 * len(callers))

    def test_least_urgent_work_is_not_starved(self) -> None:
        demands = (Demand(0, 18), Demand(2, 6))
        for seed in SEEDS:
            with self.subTest(seed=seed):
                crowd = Crowd(demands, seed=seed)
                crowd.run(12.0)
                begun = [
                    item.demand.rank
                    for item in crowd.callers.values()
                    if item.began_at is not None and 4.0 <= item.began_at < 10.0
                ]
                self.assertGreaterEqual(begun.count(2), LEAST_SHARE * len(begun) / 2)
                self.assertLessEqual(begun.count(2), 0.2 * len(begun))

    def test_nothing_waits_or_is_refused_below_the_capacity(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                crowd = run_crowd((Demand(0, 2), Demand(2, 3)), seed)
                for caller in crowd.callers.values():
                    self.assertEqual(caller.refused_at, [])
                    self.assertTrue(caller.is_on_time)
                self.assertEqual(crowd.rejections, 0)

    def test_engines_reject_few_below_the_capacity(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                demands = (Demand(0, 16), Demand(2, 32))
                crowd = Crowd(demands, engines=12, places=10, seed=seed)
                crowd.run(12.0)
                self.assertLessEqual(crowd.rejections, 0.02 * len(crowd.callers))

    def test_callers_that_repeat_at_once_gain_nothing(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                demands = (Demand(0, 6), Demand(2, 18))
                patient = run_crowd(demands, seed)
                hasty = run_crowd(demands, seed, returns_at_once=True)
                self.assertLessEqual(
                    hasty.count_served_share(2), patient.count_served_share(2)
                )
                self.assertEqual(hasty.count_served_share(0), 1.0)

    def test_waits_are_short_again_after_a_storm(self) -> None:
        storm = Demand(0, 60, 0.0, 8.0)
        calm = (Demand(0, 4, 10.0, 18.0), Demand(1, 2, 10.0, 18.0))
        for seed in SEEDS:
            with self.subTest(seed=seed):
                crowd = Crowd((storm, *calm), seed=seed, returns_at_once=True)
                crowd.run(20.0)
                after = [i for i in crowd.callers.values() if i.asked_at >= 10.0]
                self.assertTrue(after)
                for caller in after:
                    self.assertTrue(caller.is_on_time)
                    self.assertEqual(caller.refused_at, [])

    def test_refused_callers_return_in_their_order(self) -> None:
        crowd = Crowd((Demand(0, 60), Demand(1, 0.01)), entries=1)
        crowd.run(2.0)
        refused = [item for item in crowd.callers.values() if item.refused_at]
        refused.sort(key=lambda item: (item.refused_at[0], item.may_return_at))
        times = [item.may_return_at for item in refused]
        self.assertGreater(len(times), 10)
        self.assertEqual(times, sorted(times))


class WorkspaceTests(unittest.TestCase):
    def test_flooding_workspace_leaves_the_other_its_share(self) -> None:
        small = large = 0
        for seed in SEEDS:
            demands = (
                Demand(1, 40, workspace="large"),
                Demand(1, 9, workspace="small"),
                Demand(2, 0.1),
            )
            crowd = run_crowd(demands, seed)
            counts = dict.fromkeys(WORKSPACES, 0)
            for caller in crowd.callers.values():
                counts[caller.demand.workspace] += bool(
                    caller.is_on_time and 2.0 <= caller.arrived_at < 9.0
                )
            small += counts["small"]
            large += counts["large"]
        self.assertGreaterEqual(small, 0.8 * large)

    def test_unused_share_is_lent(self) -> None:
        crowd = run_crowd((Demand(1, 24, workspace="large"), Demand(2, 0.1)), 1)
        on_time = sum(item.is_on_time for item in crowd.callers.values())
        self.assertGreaterEqual(on_time, 0.9 * crowd.capacity_per_s * 10)


class FailureTests(unittest.TestCase):
    DEMANDS = (Demand(0, 4), Demand(2, 8))

    def test_failures_halfway_leave_urgent_work_in_time(self) -> None:
        for name, changes in (
            ("data centre dark", {"dark": dict.fromkeys((0, 2, 4), (3.0, 6.0))}),
            ("entry gone", {"gone": {2: 4.0}}),
            ("notices cut", {"cut": frozenset({(0, 1), (1, 0)})}),
            ("all notices cut", {"cut": frozenset((i, 1 - i) for i in range(2))}),
        ):
            for seed in SEEDS:
                with self.subTest(name, seed=seed):
                    crowd = run_crowd(self.DEMANDS, seed, **changes)
                    callers = crowd.list_callers(0)
                    lost = sum(item.entry in crowd.gone for item in callers)
                    on_time = sum(item.is_on_time for item in callers)
                    self.assertGreaterEqual(on_time + lost, 0.95 * len(callers))

    def test_part_of_an_entry_that_is_gone_goes_to_the_others(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                crowd = Crowd(RANKED, seed=seed, gone={2: 3.0})
                crowd.run(6.0)
                taken = 0
                for _ in range(200):
                    crowd.run(0.02)
                    taken += len(crowd.running)
                places = crowd.engines * crowd.places
                self.assertGreaterEqual(taken / 200, 0.9 * places)

    def test_all_callers_return_after_everything_was_dead(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                returning = (Demand(0, 40, 0.0, 1.0), Demand(2, 80, 0.0, 1.0))
                crowd = run_crowd(returning, seed, entries=6)
                self.assertEqual(crowd.count_served_share(0), 1.0)
                self.assertFalse(crowd.running)


class UnrankedTests(unittest.TestCase):
    def test_equal_ranks_send_at_once(self) -> None:
        crowd = Crowd((Demand(1, 24),), ranks=(1,))
        crowd.run(5.0)
        self.assertFalse(any(item.world.queues for item in crowd.harnesses))
        self.assertGreater(crowd.rejections, 0)


class RoomTests(unittest.TestCase):
    def test_long_prompts_take_the_room_of_several(self) -> None:
        """A stream is sent only where its prompt fits beside those of all entries."""
        harness = start_ranked_entry()
        for number, tokens in ((1, 70_000), (2, 60_000), (3, 70_000), (4, 70_000)):
            upstream_id = f"{ENGINES}-{number}"
            harness.world.other_entries.loads[upstream_id] = UpstreamLoad(
                upstream_id, reading=1, tokens=tokens
            )
        harness.request(RouteKind.STREAM, path="/0/x")
        self.assertEqual(harness.send().upstream.id, f"{ENGINES}-2")
        harness.request(RouteKind.STREAM, path="/0/x")
        self.assertEqual(harness.pop_effects(SendAttempt), [])
        harness.world.other_entries.loads.clear()
        harness.advance(0.02)
        self.assertEqual(len(harness.pop_effects(SendAttempt)), 1)

    def test_copy_gets_only_what_streams_leave(self) -> None:
        harness = start_ranked_entry()
        for number in (1, 2, 3):
            upstream_id = f"{ENGINES}-{number}"
            harness.world.other_entries.loads[upstream_id] = UpstreamLoad(
                upstream_id, writing=1, tokens=74_000
            )
        harness.request(RouteKind.STREAM, path="/0/x")
        self.assertIsNone(harness.send().copy_to)

    def test_arrival_that_cannot_be_served_is_refused_in_the_same_tick(self) -> None:
        crowd = Crowd((Demand(0, 60), Demand(1, 0.01)), entries=1)
        crowd.run(4.0)
        harness = crowd.harnesses[0]
        harness.emitted.clear()
        harness.request(RouteKind.STREAM, path="/rank-0/x", credential="small")
        refusal = harness.pop_effect(RefuseCaller)
        self.assertTrue(refusal.not_run)
        self.assertGreater(refusal.retry_after_s or 0.0, 0.0)
        self.assertLessEqual(refusal.retry_after_s or 0.0, 30.0)


if __name__ == "__main__":
    unittest.main()
