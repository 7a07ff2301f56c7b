"""Tests of reports of cumulative results, whose counts only an older one lowers."""

from __future__ import annotations

import unittest

from magnoliahold.core.canary_analysis import (
    ANY_SOURCE,
    CanaryAnalysis,
    Cell,
    add_cumulative_results,
)
from magnoliahold.core.policy import MovePolicy
from magnoliahold.core.workspaces import MoveRule
from magnoliahold.wire.messages import EvidenceCount

POLICY = MovePolicy()
RULE = MoveRule("v2", 0.05, 0.0)
OLD = "v1"
NEW = RULE.to_version
SENDER = ("e0", "e0.a")
CELL = Cell("e0", "a", False, compared_by_route=True)

# Two reports of one sender, answered and failed of each, and what counts after both.
REPORTS = (
    ("both grow", (5, 1), (9, 3), (9, 3)),
    ("only failures grow", (5, 1), (5, 4), (5, 4)),
    ("the same again", (5, 1), (5, 1), (5, 1)),
    ("both fall", (5, 2), (4, 1), (5, 2)),
    ("failures turn into answers", (5, 50), (105, 0), (5, 50)),
    ("answers turn into failures", (50, 0), (0, 100), (50, 0)),
)


def add_report(
    analysis: CanaryAnalysis, version: str, results: tuple[int, int], now: float = 0.0
) -> None:
    """Adds a report of how many requests a version has answered and failed."""
    count = EvidenceCount("m", version, CELL.route, CELL.busy, *results)
    add_cumulative_results(
        analysis, SENDER, CELL, count, version == NEW, RULE, POLICY, now
    )


class CumulativeResultTests(unittest.TestCase):
    def test_report_in_which_any_count_falls_is_left_out(self) -> None:
        for name, first, second, expected in REPORTS:
            with self.subTest(name):
                analysis = CanaryAnalysis()
                for version in (OLD, NEW):
                    add_report(analysis, version, first)
                    add_report(analysis, version, second)
                old = analysis.references[ANY_SOURCE]
                self.assertEqual((old.answered, old.failed), expected)
                self.assertEqual((analysis.answered, analysis.failed), expected)

    def test_new_version_is_evaluated_after_failures_of_the_old_one_fell(self) -> None:
        analysis = CanaryAnalysis()
        add_report(analysis, OLD, (0, 1000))
        add_report(analysis, OLD, (2000, 0), now=2 * POLICY.reference_fade_s)
        add_report(analysis, NEW, (5, 1), now=2 * POLICY.reference_fade_s)
        self.assertEqual((analysis.answered, analysis.failed), (5, 1))


if __name__ == "__main__":
    unittest.main()
