"""Tests of the pace of upstreams, learned from the gaps between pieces."""

from __future__ import annotations

import unittest
from math import inf, nan

from magnoliahold.core.load.pace import (
    EVEN_RATIO,
    GAPS_PER_SAMPLE,
    GapSampler,
    PaceEstimate,
    PaceSample,
    compare_paces,
)

GAP_S = 0.03
NOW = 100.0


def make_pace(gap_s: float, samples: float = 20.0, reports: int = 1) -> PaceEstimate:
    """Makes an estimate from samples that all agree."""
    pace = PaceEstimate()
    for _ in range(reports):
        pace.add(PaceSample("any", gap_s, samples), NOW)
    return pace


class GapSamplerTests(unittest.TestCase):
    def test_prefill_of_another_prompt_does_not_count(self) -> None:
        sampler = GapSampler()
        disturbed = [GAP_S * 8] * (GAPS_PER_SAMPLE // 2 - 1)
        gaps = [GAP_S] * (GAPS_PER_SAMPLE - len(disturbed)) + disturbed
        found = [sampler.add(gap_s) for gap_s in gaps]
        self.assertEqual(found[:-1], [None] * (GAPS_PER_SAMPLE - 1))
        self.assertEqual(found[-1], GAP_S)


class PaceTests(unittest.TestCase):
    def compare(self, **gaps: float) -> dict[str, float]:
        """Compares the paces of upstreams, each known by many samples."""
        paces = {name: make_pace(gap_s, 64.0, 4) for name, gap_s in gaps.items()}
        return compare_paces(paces, NOW)

    def test_only_uneven_upstreams_are_named(self) -> None:
        for name, gaps, expected in (
            ("equal", {"a": 1.0, "b": 1.0, "c": 1.0}, {}),
            ("nearly equal", {"a": 1.0, "b": 1.0, "c": EVEN_RATIO * 0.99}, {}),
            ("two are too few", {"a": 1.0, "b": 4.0}, {}),
            ("one is slow", {"a": 1.0, "b": 1.0, "c": 2.0}, {"c": 2.0}),
            ("one is fast", {"a": 1.0, "b": 1.0, "c": 0.5}, {"c": 0.5}),
        ):
            with self.subTest(name):
                found = self.compare(**gaps)
                self.assertEqual(set(found), set(expected))
                for key, value in expected.items():
                    self.assertAlmostEqual(found[key], value, delta=0.06)

    def test_slow_upstream_is_tried_again_after_a_while(self) -> None:
        paces = {"a": make_pace(1.0), "b": make_pace(1.0), "c": make_pace(4.0)}
        fresh = compare_paces(paces, NOW)["c"]
        old = compare_paces(paces, NOW + 60.0)["c"]
        self.assertGreater(fresh, 2.5)
        self.assertLess(old, 1.2)

    def test_short_slowness_does_not_last(self) -> None:
        pace = make_pace(GAP_S, 8.0)
        pace.add(PaceSample("any", GAP_S * 3), NOW + 0.6)
        for step in range(8):
            pace.add(PaceSample("any", GAP_S), NOW + 1.0 + step)
        self.assertLess(pace.gap_s, GAP_S * EVEN_RATIO)

    def test_numbers_that_cannot_be_used_are_ignored(self) -> None:
        for gap_s, samples in ((0.0, 1.0), (-1.0, 1.0), (nan, 1.0), (inf, 1.0)):
            for values in ((gap_s, samples), (1.0, gap_s)):
                with self.subTest(values=values):
                    pace = make_pace(GAP_S)
                    pace.add(PaceSample("any", *values), NOW)
                    self.assertAlmostEqual(
                        pace.gap_s, GAP_S if values[1] != 1.0 or gap_s != 1.0 else 0
                    )


if __name__ == "__main__":
    unittest.main()
