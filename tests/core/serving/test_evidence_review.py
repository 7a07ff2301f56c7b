"""Cases of evidence about crashes that a review of the second round has found."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.convictions import (
    CrashEvidence,
    find_convictions,
    gather_crashes,
)
from magnoliahold.core.serving.policy import SuspicionPolicy
from magnoliahold.core.serving.suspicions import CrashReport, QuarantineRecord
from magnoliahold.core.serving.systems.crashes import add_report
from magnoliahold.core.serving.systems.quarantine import (
    _evaluate,
    apply_quarantine_record,
)
from tests.core.serving.harness import ServingHarness


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

    def test_first_part_is_not_blamed_while_a_report_is_on_its_way(self) -> None:
        world = ServingHarness().world
        world.store_offset_s = 0.0
        table = world.suspicions
        table.begun_at = {"pfirst": 90.0, "pdeadly": 85.0}
        for number in range(6):
            upstream, at = f"u-{number}", 98.0 + 0.3 * number
            beside = CrashReport(
                upstream, 1, f"b-{number}", ("pfirst", f"f{number}"), at
            )
            deadly = CrashReport(
                upstream, 1, f"d-{number}", ("pdeadly", "pfirst", f"e{number}"), at
            )
            add_report(world, beside, at)
            if number < 5:
                add_report(world, deadly, at)
            _evaluate(world, 0.0)
        add_report(world, deadly, at)
        _evaluate(world, 0.0)
        blamed = [sorted(item.suspects) for item in table.quarantines.values()]
        self.assertNotIn(["pfirst"], blamed)
        self.assertEqual(blamed, [["pdeadly", "pfirst"]])

    def test_narrower_quarantine_of_another_entry_is_not_withdrawn(self) -> None:
        world = ServingHarness().world
        world.store_offset_s = 0.0
        apply_quarantine_record(world, QuarantineRecord("pdeadly", 99.0, 45.0), False)
        for number in range(3):
            suspects = ("pdeadly", "psubject", f"f{number}")
            at = 95.0 + number
            add_report(world, CrashReport(f"u-{number}", 1, "r", suspects, at), at)
        _evaluate(world, 0.0)
        self.assertIn("pdeadly", world.suspicions.quarantines)


if __name__ == "__main__":
    unittest.main()
