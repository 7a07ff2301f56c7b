"""Tests that an error of the quarantine doesn't end an entry of the own deployment."""

from __future__ import annotations

import unittest
from random import Random
from unittest.mock import patch

from magnoliahold.core.effects import ReportError
from magnoliahold.core.entry import ENTRY_SYSTEMS
from magnoliahold.core.events import RowsRead
from magnoliahold.core.identity import Identity
from magnoliahold.core.quarantine import QUARANTINE_TABLE, SuspicionTable
from magnoliahold.core.systems import quarantine
from magnoliahold.core.ticks import run_systems
from magnoliahold.core.worlds import EntryWorld
from magnoliahold.storage.interfaces import Row

ERROR = KeyError("missing row")


class ContainedErrorTests(unittest.TestCase):
    # Failure: what entries read in the store ended each of their starts (review case 2,
    # seen in entries of the users' platform).
    def test_stored_row_that_leads_to_an_error_is_survived(self) -> None:
        world = EntryWorld(Identity("entry-1", "entry-1.a", "entry", "dc-1"), Random(1))
        run_systems(world, ENTRY_SYSTEMS, 0.0)
        next_scan_at = world.suspicions.next_scan_at
        rows = (Row(QUARANTINE_TABLE, "f1", 1, b"row"),)
        world.inbox.add_event(RowsRead(world.suspicions.scan_token, rows))
        with patch.object(quarantine, "decode_quarantine", side_effect=ERROR):
            effects = run_systems(world, ENTRY_SYSTEMS, 0.1)
        reported = [item.error for item in effects if isinstance(item, ReportError)]
        self.assertEqual(reported, [ERROR])
        self.assertEqual(world.suspicions, SuspicionTable(next_scan_at=next_scan_at))


if __name__ == "__main__":
    unittest.main()
