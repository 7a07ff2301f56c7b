"""Days of a fleet with a crashing part that a review has found to go wrong."""

from __future__ import annotations

import unittest

from tests.core.serving.crashing_parts import (
    CrashingFleet,
    Day,
    DeadlyPart,
    Span,
    score,
)


class DaysReviewTests(unittest.TestCase):
    def test_first_part_is_not_blamed_while_evidence_still_arrives(self) -> None:
        part = DeadlyPart(
            "deadly", 1.0, requested=Span(0.0, 56.0), deadly=Span(20.0, 1_000.0)
        )
        result = score(CrashingFleet(Day(deadly=(part,), length_s=60.0), 4).run())
        self.assertGreaterEqual(2 * result.begun, result.judged)

    def test_entries_do_not_try_a_part_at_the_same_time(self) -> None:
        part = DeadlyPart("deadly", 0.8, requested=Span(4.0, 415.0))
        result = score(CrashingFleet(Day(deadly=(part,), length_s=420.0), 2).run())
        self.assertLessEqual(result.late["deadly"], 3)


if __name__ == "__main__":
    unittest.main()
