from __future__ import annotations

import unittest
from random import Random

from twisted.internet.task import Clock

from magnoliahold.standins.load_report import Load, LoadReport
from magnoliahold.standins.prefix_cache import CacheEventLog, PrefixCache, hash_blocks


def make_words(name: str, count: int) -> list[str]:
    return [f"{name}{number}" for number in range(count)]


class PrefixCacheTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()

    def make_cache(self, loss: float = 0.0) -> tuple[PrefixCache, CacheEventLog]:
        log = CacheEventLog(self.clock, Random(4), 0.5, loss)
        return PrefixCache(64, log), log

    def test_least_recently_used_blocks_are_evicted(self) -> None:
        cache, log = self.make_cache()
        old, used = make_words("old", 32), make_words("used", 32)
        cache.store(old)
        cache.store(used)
        self.assertEqual(cache.count_cached_tokens(used + ["more"] * 16), 32)
        cache.store(make_words("new", 32))
        self.assertEqual(cache.count_cached_tokens(old), 0)
        self.assertEqual(cache.count_cached_tokens(used), 32)
        self.clock.advance(0.5)
        evicted = [e.prefix for e in log.read(0).events if e.kind == "evicted"]
        self.assertEqual(evicted, hash_blocks(old))

    def test_events_are_delayed(self) -> None:
        cache, log = self.make_cache()
        cache.store(make_words("a", 16))
        self.clock.advance(0.49)
        self.assertEqual(log.read(0).events, ())
        self.assertEqual(log.read(0).next, 0)
        self.clock.advance(0.02)
        self.assertEqual([event.sequence for event in log.read(0).events], [1])
        self.assertEqual(log.read(1).events, ())

    def test_lost_events_leave_gaps(self) -> None:
        cache, log = self.make_cache(loss=0.5)
        for number in range(50):
            cache.store(make_words(f"p{number}-", 16))
        self.clock.advance(1.0)
        sequences = [event.sequence for event in log.read(0).events]
        self.assertEqual(sequences, sorted(set(sequences)))
        self.assertLess(len(sequences), sequences[-1])

    def test_load_report_is_delayed(self) -> None:
        report = LoadReport(self.clock, 0.5)
        report.record(Load(1, 0))
        self.clock.advance(0.3)
        report.record(Load(2, 5))
        self.assertEqual(report.read(), Load(0, 0))
        self.clock.advance(0.3)
        self.assertEqual(report.read(), Load(1, 0))
        self.clock.advance(0.3)
        self.assertEqual(report.read(), Load(2, 5))


if __name__ == "__main__":
    unittest.main()
