"""Tests of the retry budget that entries share without coordination."""

from __future__ import annotations

import os
import unittest
from random import Random

from attrs import define, field

from magnoliahold.core.serving.budget import RetryBudget
from magnoliahold.core.serving.policy import BudgetPolicy

FIRST_SEED = int(os.environ.get("MAGNOLIAHOLD_SEED", "1"))
SEEDS = int(os.environ.get("MAGNOLIAHOLD_EXAMPLES", "5"))
POLICY = BudgetPolicy()
EARLIER = -100.0
STEP_S = 0.25
SECONDS = 60.0


@define
class GreedyEntries:
    """Entries that send every retry they may, and restart once, all at the same time.

    `requests` and `retries` hold the times at which all entries sent them.
    """

    random: Random
    count: int
    peak_per_s: float
    requests: list[float] = field(factory=list)
    retries: list[float] = field(factory=list)

    def run(self) -> None:
        """Simulates one minute."""
        weights = [self.random.expovariate(1.0) for _ in range(self.count)]
        budgets = [RetryBudget(POLICY, EARLIER) for _ in range(self.count)]
        restarts_at = self.random.uniform(0, SECONDS)
        for step in range(round(SECONDS / STEP_S)):
            now = step * STEP_S
            if abs(now - restarts_at) < STEP_S / 2:
                budgets = [RetryBudget(POLICY, now) for _ in budgets]
            self._add_arrivals(budgets, weights, now)
            for budget in budgets:
                while budget.try_take_retry(now, self.count):
                    self.retries.append(now)

    def _add_arrivals(
        self, budgets: list[RetryBudget], weights: list[float], now: float
    ) -> None:
        rate_per_s = self.peak_per_s * self.random.choice((0, 0.1, 0.5, 1.0))
        for _ in range(round(rate_per_s * STEP_S * self.random.uniform(0, 2))):
            self.random.choices(budgets, weights)[0].add_request(now)
            self.requests.append(now)

    def count_within(self, times: list[float], start: float) -> int:
        """Counts the times within the window that begins at `start`."""
        return sum(start <= at < start + POLICY.window_s for at in times)


class BudgetTests(unittest.TestCase):
    def test_all_entries_together_keep_within_the_budget(self) -> None:
        for count in (1, 4, 6, 29):
            for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
                with self.subTest(entries=count, seed=seed):
                    random = Random(seed)
                    entries = GreedyEntries(random, count, random.uniform(1, 60))
                    entries.run()
                    self.assert_within(entries)

    def assert_within(self, entries: GreedyEntries) -> None:
        """In each window, retries stay within the budget for that window's requests.

        The requests of the window before, or half a window before, count if they are
        more.
        """
        window_s = POLICY.window_s
        for step in range(round((SECONDS - window_s) / STEP_S)):
            start = step * STEP_S
            requests = max(
                entries.count_within(entries.requests, start - shift * window_s)
                for shift in (0, 0.5, 1)
            )
            retries = entries.count_within(entries.retries, start)
            allowed = POLICY.ratio * requests + POLICY.extra
            self.assertLessEqual(retries, allowed, start)

    def test_extra_is_divided_among_the_entries(self) -> None:
        for entries, retries in ((1, 112), (6, 18), (30, 3)):
            with self.subTest(entries=entries):
                budget = RetryBudget(POLICY, EARLIER)
                taken = 0
                while budget.try_take_retry(0.0, entries):
                    taken += 1
                self.assertEqual(taken, retries)

    def test_retry_that_reached_no_upstream_is_returned(self) -> None:
        budget = RetryBudget(POLICY, EARLIER)
        left = budget.count_remaining(0.0, 6)
        budget.try_take_retry(0.0, 6)
        budget.return_retry()
        self.assertEqual(budget.count_remaining(0.0, 6), left)

    def test_entry_that_has_just_started_gets_most_of_its_extra_later(self) -> None:
        budget = RetryBudget(POLICY, 0.0)
        for now, extra in ((0.0, 4), (10.0, 4), (15.0, 75), (20.0, 150), (99.0, 150)):
            with self.subTest(now=now):
                self.assertAlmostEqual(
                    budget.count_remaining(now, 1), POLICY.used_part * extra
                )

    def test_retries_are_available_again_after_the_window(self) -> None:
        budget = RetryBudget(POLICY, EARLIER)
        while budget.try_take_retry(0.0, 30):
            pass
        self.assertFalse(budget.try_take_retry(9.9, 30))
        self.assertTrue(budget.try_take_retry(10.0, 30))


if __name__ == "__main__":
    unittest.main()
