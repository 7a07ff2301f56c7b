"""Cases of evidence about crashes that a review of the second round has found."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.convictions import (
    CrashEvidence,
    find_convictions,
    gather_crashes,
)
from magnoliahold.core.serving.policy import SuspicionPolicy
from magnoliahold.core.serving.suspicions import CrashReport


class EvidenceReviewTests(unittest.TestCase):
    def test_one_crash_that_a_paused_entry_sees_later_counts_once(self) -> None:
        reports = [
            CrashReport("u-1", 1_700_000_000_000, f"r-{number}", ("p1",), at)
            for number, at in enumerate((100.0, 104.0, 108.0))
        ]
        crashes = gather_crashes(reports, {}, SuspicionPolicy())
        self.assertEqual(len(crashes), 1)
        self.assertEqual(crashes[0].at, 100.0)

    def test_part_is_convicted_behind_many_others(self) -> None:
        crashes = [
            CrashEvidence(100.0 + 2 * number, [frozenset((f"p{part}",))])
            for part in range(9)
            for number in range(4 if part == 8 else 8)
        ]
        found = find_convictions(crashes, {}, SuspicionPolicy())
        self.assertIn(frozenset(("p8",)), found)


if __name__ == "__main__":
    unittest.main()
