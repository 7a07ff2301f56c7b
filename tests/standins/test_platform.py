from __future__ import annotations

import unittest
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.task import Clock
from twisted.python.failure import Failure

from magnoliahold.standins.platform import make_platform
from magnoliahold.standins.platform_faults import NORMAL_LATENCY_S, PlatformFault
from magnoliahold.standins.tables import (
    BURST,
    READS_PER_SECOND,
    WRITES_PER_SECOND,
    TableStore,
)
from magnoliahold.storage.interfaces import (
    Condition,
    Instance,
    PlatformUnavailable,
    Row,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred


class TableStoreTests(unittest.TestCase):
    def test_writes_are_committed_only_if_all_conditions_hold(self) -> None:
        exists, missing = Condition("t", "a", 1), Condition("t", "b", 0)
        table = (
            ("none", [], True),
            ("exists", [exists], True),
            ("missing", [missing], True),
            ("both", [exists, missing], True),
            ("stale", [Condition("t", "a", 0)], False),
            ("ahead", [Condition("t", "a", 2)], False),
            ("one fails", [exists, Condition("t", "b", 1)], False),
        )
        for name, conditions, committed in table:
            with self.subTest(name):
                store = TableStore()
                store.transact([], [Write("t", "a", b"1")])
                writes = [Write("t", "a", b"2"), Write("t", "c", b"3")]
                outcome = store.transact(conditions, writes)
                self.assertEqual(outcome.committed, committed)
                self.assertEqual(store.read("t", "c") is not None, committed)
                self.assertEqual(store.read("t", "a").version, 1 + committed)

    def test_conflicts_return_the_existing_rows(self) -> None:
        store = TableStore()
        store.transact([], [Write("t", "a", b"1")])
        conditions = [Condition("t", "a", 0), Condition("t", "b", 3)]
        outcome = store.transact(conditions, [])
        self.assertEqual(outcome.conflicts, (Row("t", "a", 1, b"1"),))

    def test_deleted_row_no_longer_exists(self) -> None:
        store = TableStore()
        store.transact([], [Write("t", "a", b"1"), Write("t", "b", b"1")])
        store.transact([], [Write("t", "a", None), Write("t", "z", None)])
        self.assertEqual([row.key for row in store.scan("t", "", 9)], ["b"])
        self.assertTrue(store.transact([Condition("t", "a", 0)], []).committed)


class PlatformTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.platform = make_platform(self.clock, Random(5))

    def test_fault_ends_after_its_duration(self) -> None:
        self.platform.faults.inject(PlatformFault("outage", seconds=3.0))
        with self.assertRaises(PlatformUnavailable):
            self.wait_for(self.platform.tables.read_row("t", "k"))
        self.clock.advance(3.0)
        self.assertIsNone(self.wait_for(self.platform.tables.read_row("t", "k")))

    def wait_for(self, deferred: Deferred[Any]) -> Any:
        """Advances the clock until a normal answer is due, and returns it."""
        results: list[Any] = []
        deferred.addBoth(results.append)
        self.clock.pump([NORMAL_LATENCY_S] * 2)
        if isinstance(results[0], Failure):
            results[0].raiseException()
        return results[0]

    def test_fault_affects_a_share_of_the_requests(self) -> None:
        self.platform.faults.inject(PlatformFault("lose_answers", share=0.5))
        failed: list[object] = []
        for number in range(200):
            write = Write("t", f"{number}", b"1")
            self.platform.tables.transact([], [write]).addErrback(failed.append)
        self.clock.pump([0.5, NORMAL_LATENCY_S])
        self.assertTrue(60 < len(failed) < 140)
        self.assertEqual(len(self.platform.store.scan("t", "", 999)), 200)

    def test_slow_answers_arrive_in_another_order(self) -> None:
        self.platform.faults.inject(PlatformFault("slow", share=0.5, delay_s=1.0))
        order: list[int] = []
        for number in range(20):
            reading = self.platform.tables.read_row("t", "k")
            reading.addCallback(lambda _row, number=number: order.append(number))
        for _ in range(30):
            self.clock.advance(0.1)
        self.assertNotEqual(order, sorted(order))
        self.assertEqual(sorted(order), list(range(20)))

    def test_requests_over_the_rate_are_queued(self) -> None:
        tables = self.platform.tables
        table = (
            ("reads", lambda: tables.read_row("t", "k"), READS_PER_SECOND),
            ("writes", lambda: tables.transact([], []), WRITES_PER_SECOND),
        )
        for name, send, rate in table:
            with self.subTest(name):
                times = self.time_answers(send, int(rate) + BURST)
                early = sum(time < 0.01 for time in times)
                self.assertAlmostEqual(early, BURST, delta=0.02 * rate)
                self.assertAlmostEqual(times[-1], 1.0, delta=0.02)

    def time_answers(self, send: Callable[[], Any], count: int) -> list[float]:
        """Sends requests at once and returns the seconds until each answer."""
        start = self.clock.seconds()
        times: list[float] = []
        for _ in range(count):
            send().addCallback(lambda _: times.append(self.clock.seconds() - start))
        while len(times) < count:
            self.clock.advance(0.001)
        return times

    def test_instance_list_is_not_updated_under_lag(self) -> None:
        instances = self.platform.instances
        instances.put_instance(Instance("a", "entry", "127.0.0.1:1", "dc"))
        self.clock.advance(2.0)
        self.assertEqual(self.list_names(), ["a"])
        self.platform.faults.inject(PlatformFault("lag", seconds=10.0))
        instances.delete_instance("a")
        self.clock.advance(5.0)
        self.assertEqual(self.list_names(), ["a"])
        self.clock.advance(6.0)
        self.assertEqual(self.list_names(), [])

    def list_names(self) -> list[str]:
        listing = self.wait_for(self.platform.instances.list_instances())
        return [instance.name for instance in listing.instances]

    def test_loads_are_limited_and_expire(self) -> None:
        weights = self.platform.weights
        granted = [self.wait_for(weights.start_load(f"e{n}")) for n in range(5)]
        self.assertEqual(granted, [True] * weights.limit + [False])
        self.assertTrue(self.wait_for(weights.start_load("e0")))
        self.clock.advance(31.0)
        self.assertEqual(self.wait_for(weights.count_free_loads()), weights.limit)


if __name__ == "__main__":
    unittest.main()
