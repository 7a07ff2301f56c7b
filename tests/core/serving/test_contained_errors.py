"""Tests that an error of the quarantine ends neither a process nor its next start."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from magnoliahold.core.effects import ReportError
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import DeliverAnswer
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.suspicions import Clearance, QuarantineRecord
from magnoliahold.core.serving.systems import feeds, quarantine
from magnoliahold.core.serving.systems.crashes import add_clearance
from tests.core.serving.harness import ServingHarness

RECORD = QuarantineRecord("p1+p2", 90.0, 45.0)
ERROR = KeyError("missing row")
# The module, and the function in it that fails.
FAILING = ((quarantine, "find_convictions"), (feeds, "apply_quarantine_record"))


class ContainedErrorTests(unittest.TestCase):
    # Failure: an error in the evaluation of quarantines ended all entries, and what
    # they read in the store ended each of their starts anew (review case 2).
    def test_entry_serves_requests_after_an_error(self) -> None:
        for module, name in FAILING:
            with self.subTest(name), patch.object(module, name, side_effect=ERROR):
                for _ in ("first start", "second start"):
                    harness = self.start_entry()
                    reported = harness.pop_effects(ReportError)
                    self.assertEqual([item.error for item in reported], [ERROR])
                    self.assertEqual(harness.world.suspicions.quarantines, {})
                    self.check_serves(harness)

    def start_entry(self) -> ServingHarness:
        """Starts an entry that reads a quarantine and evaluates it once."""
        harness = ServingHarness()
        harness.world.raises_errors = False
        harness.start()
        harness.world.store_offset_s = 0.0
        harness.read(Feed.QUARANTINE, {RECORD.fingerprint: RECORD})
        clearance = Clearance("p2", harness.now)
        add_clearance(harness.world, clearance, harness.now)
        harness.advance(0.3)
        return harness

    def check_serves(self, harness: ServingHarness) -> None:
        """Checks that a call is answered."""
        caller = harness.request(RouteKind.IDEMPOTENT)
        harness.answer(harness.send(), caller, 200)
        self.assertEqual(len(harness.pop_effects(DeliverAnswer)), 1)

    def test_error_is_raised_in_tests(self) -> None:
        with (
            patch.object(feeds, "apply_quarantine_record", side_effect=ERROR),
            self.assertRaises(KeyError),
        ):
            harness = ServingHarness()
            harness.start()
            harness.world.store_offset_s = 0.0
            harness.read(Feed.QUARANTINE, {RECORD.fingerprint: RECORD})


if __name__ == "__main__":
    unittest.main()
