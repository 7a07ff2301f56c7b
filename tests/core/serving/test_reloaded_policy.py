"""Tests that a policy which replaces another reaches what exists already."""

from __future__ import annotations

import unittest
from collections import deque
from typing import TYPE_CHECKING, Any

from attrs import evolve, fields, has

from magnoliahold.core.serving import policy as policies
from magnoliahold.core.serving.budget import RetryBudget
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.policy import BudgetPolicy, ServingPolicy
from tests.core.serving.harness import CALLS, ENGINES, ServingHarness

if TYPE_CHECKING:
    from collections.abc import Iterator

ENTRIES = 1
EARLIER = -100.0
# Fields of the retry budgets' policy, with values other than the defaults.
CHANGES: tuple[dict[str, Any], ...] = (
    {"ratio": 0.1},
    {"extra": 8.0},
    {"extra": 300.0},
    {"used_part": 0.5},
    {"window_s": 5.0},
    {"extra": 0.0, "first_extra": 0.0},
)
REQUESTS = 20
# Longer than the shorter window, in seconds.
LATER_S = 6.0
POLICY_TYPES = tuple(
    item for item in vars(policies).values() if isinstance(item, type) and has(item)
)


def list_policies(root: object) -> Iterator[object]:
    """Lists the policies that can be reached from an object, each once."""
    seen: set[int] = set()
    left = [root]
    while left:
        item = left.pop()
        if id(item) in seen or isinstance(item, str | bytes | int | float):
            continue
        seen.add(id(item))
        if isinstance(item, POLICY_TYPES):
            yield item
        left.extend(_list_parts(item))


def _list_parts(item: object) -> list[object]:
    if isinstance(item, dict):
        return [*item.keys(), *item.values()]
    if isinstance(item, list | tuple | set | frozenset | deque):
        return list(item)
    if has(type(item)):
        return [getattr(item, part.name) for part in fields(type(item))]
    return []


class ReloadedPolicyTests(unittest.TestCase):
    def start_used(self) -> ServingHarness:
        """Starts an entry that has served requests of each kind, some of them twice."""
        harness = ServingHarness()
        harness.start()
        for _ in range(REQUESTS):
            stream = harness.request(RouteKind.STREAM)
            harness.report_no_prompts()
            attempt = harness.send()
            harness.open(attempt, stream)
            harness.interrupt(attempt)
            harness.emitted.clear()
            call = harness.request(RouteKind.IDEMPOTENT)
            harness.answer(harness.send(), call, 200)
            harness.emitted.clear()
        return harness

    # Failure: SIGHUP left the retry budgets of services in use as they were.
    def test_retry_budget_in_use_gets_new_limits(self) -> None:
        for changed in CHANGES:
            with self.subTest(changed):
                harness = self.start_used()
                world = harness.world
                budget = world.find_budget(ENGINES)
                limits = evolve(world.serving_policy.budget, **changed)
                times = (deque(budget.requests), deque(budget.retries))
                expected = RetryBudget(limits, world.started_at, *times)
                world.serving_policy = evolve(world.serving_policy, budget=limits)
                later = harness.now + LATER_S
                self.assertEqual(
                    world.find_budget(ENGINES).count_remaining(later, ENTRIES),
                    expected.count_remaining(later, ENTRIES),
                )

    def test_no_table_keeps_a_policy_that_was_replaced(self) -> None:
        harness = self.start_used()
        world = harness.world
        replaced = {id(item) for item in list_policies(world.serving_policy)}
        self.assertGreater(len(replaced), len(fields(ServingPolicy)))
        world.serving_policy = copy_policy(world.serving_policy)
        self.start_one_of_each(harness)
        kept = [item for item in list_policies(world) if id(item) in replaced]
        self.assertEqual(kept, [])

    def start_one_of_each(self, harness: ServingHarness) -> None:
        """Sends one more request to each service."""
        for kind in (RouteKind.STREAM, RouteKind.IDEMPOTENT):
            harness.request(kind)
            harness.report_no_prompts()
        harness.advance(0.1)
        self.assertEqual(set(harness.world.budgets), {ENGINES, CALLS})


class ReloadedBudgetTests(unittest.TestCase):
    def take_all(self, budget: RetryBudget, now: float) -> int:
        """Takes all retries that are left, and returns their number."""
        taken = 0
        while budget.try_take_retry(now, ENTRIES):
            taken += 1
        return taken

    def test_new_limits_are_no_second_budget(self) -> None:
        for window_s in (5.0, 10.0, 20.0):
            with self.subTest(window_s=window_s):
                budget = RetryBudget(BudgetPolicy(), EARLIER)
                self.assertGreater(self.take_all(budget, 0.0), 100)
                budget.apply_policy(BudgetPolicy(window_s=window_s))
                self.assertEqual(self.take_all(budget, window_s - 0.1), 0)
                self.assertGreater(self.take_all(budget, window_s), 100)

    def test_longer_window_allows_little_for_what_is_no_longer_counted(self) -> None:
        policy = BudgetPolicy(window_s=5.0)
        budget = RetryBudget(policy, EARLIER)
        first = self.take_all(budget, 0.0)
        budget.count_remaining(6.0, ENTRIES)
        budget.apply_policy(BudgetPolicy(window_s=20.0))
        early = self.take_all(budget, 6.0) + self.take_all(budget, 19.9)
        self.assertLessEqual(early, policy.first_extra)
        self.assertGreater(self.take_all(budget, 30.0), 0)
        self.assertGreaterEqual(self.take_all(budget, 60.0), first)

    def test_longer_window_changes_nothing_where_all_is_counted(self) -> None:
        budget = RetryBudget(BudgetPolicy(window_s=5.0), EARLIER)
        budget.try_take_retry(0.0, ENTRIES)
        left = budget.count_remaining(4.0, ENTRIES)
        budget.apply_policy(BudgetPolicy(window_s=20.0))
        self.assertEqual(budget.count_remaining(4.0, ENTRIES), left)


def copy_policy(policy: ServingPolicy) -> ServingPolicy:
    """Copies a policy with all its parts."""
    parts: dict[str, Any] = {}
    for part in fields(ServingPolicy):
        values = getattr(policy, part.name)
        parts[part.name] = evolve(values, **_copy_parts(values))
    return evolve(policy, **parts)


def _copy_parts(values: object) -> dict[str, Any]:
    names = [part.name for part in fields(type(values))]  # type: ignore[arg-type]
    items = {name: getattr(values, name) for name in names}
    return {name: evolve(item) for name, item in items.items() if has(type(item))}


if __name__ == "__main__":
    unittest.main()
