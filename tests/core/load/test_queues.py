"""Tests of the order in which waiting streams get room."""

from __future__ import annotations

import unittest
from collections import Counter

from magnoliahold.core.load.queues import LEAST_SHARE, FairQueue, Waiter

NOW = 100.0


def make_waiter(key: int, rank: int = 0, workspace: str = "a", **more: float) -> Waiter:
    """Makes a waiter that can still be on time."""
    values = {"on_time_until": NOW + 2, "start_by": NOW + 20 + key, **more}
    return Waiter(key, rank, workspace, int(values.pop("tokens", 1000)), **values)


ORDERS: tuple[tuple[str, tuple[Waiter, ...], tuple[int, ...]], ...] = (
    (
        "rank first",
        (make_waiter(1, 2), make_waiter(2, 0), make_waiter(3, 1)),
        (2, 3, 1),
    ),
    (
        "what can be on time first",
        (make_waiter(1, on_time_until=NOW - 1), make_waiter(2)),
        (2, 1),
    ),
    (
        "late urgent work before less urgent work",
        (make_waiter(1, 1), make_waiter(2, 0, on_time_until=NOW - 1)),
        (2, 1),
    ),
    ("then the earlier deadline", (make_waiter(2), make_waiter(1)), (1, 2)),
    (
        "workspaces by turns",
        tuple(make_waiter(key, 0, "b" if key > 3 else "a") for key in range(1, 7)),
        (1, 4, 2, 5, 3, 6),
    ),
    (
        "long prompts count for more",
        (
            make_waiter(1, 0, "a", tokens=2000),
            make_waiter(2, 0, "a", tokens=2000),
            make_waiter(3, 0, "b"),
            make_waiter(4, 0, "b"),
            make_waiter(5, 0, "b"),
        ),
        (1, 3, 4, 2, 5),
    ),
)


class FairQueueTests(unittest.TestCase):
    def test_order(self) -> None:
        for name, waiters, expected in ORDERS:
            with self.subTest(name):
                ordered = FairQueue().order(waiters, NOW)
                self.assertEqual(tuple(item.key for item in ordered), expected)

    def test_begun_streams_go_first(self) -> None:
        begun = Waiter(2, 2, "a", 1000, NOW - 5, NOW + 5, begun=True)
        ordered = FairQueue().order((make_waiter(1, 0), begun), NOW)
        self.assertEqual(ordered[0], begun)

    def start(self, queue: FairQueue, waiters: list[Waiter]) -> Waiter:
        """Starts the next stream."""
        started = queue.order(waiters, NOW)[0]
        waiters.remove(started)
        queue.charge(started, [item.rank for item in waiters])
        return started

    def test_less_urgent_work_gets_its_least_share(self) -> None:
        queue = FairQueue()
        waiters = [make_waiter(key, key % 2 * 2) for key in range(400)]
        ranks = Counter(self.start(queue, waiters).rank for _ in range(200))
        self.assertAlmostEqual(ranks[2] / 200, LEAST_SHARE, delta=0.01)

    def test_workspace_that_was_idle_earns_no_credit(self) -> None:
        queue = FairQueue()
        busy = [make_waiter(key, 0, "busy") for key in range(50)]
        for _ in range(20):
            self.start(queue, busy)
        both = busy + [make_waiter(100 + key, 0, "idle") for key in range(30)]
        names = Counter(self.start(queue, both).workspace for _ in range(20))
        self.assertLessEqual(abs(names["idle"] - names["busy"]), 1)

    def test_tags_of_idle_workspaces_are_forgotten(self) -> None:
        queue = FairQueue()
        for key in range(500):
            queue.charge(make_waiter(key, 0, f"workspace-{key}"), [])
        self.assertLess(len(queue.finish_tags), 5)


if __name__ == "__main__":
    unittest.main()
