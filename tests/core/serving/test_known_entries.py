"""Tests of the retry budget while the list of entries is read again."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from magnoliahold.core.serving.events import FeedFailed, FeedHistoryGone
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.peers import PeerRecord
from tests.core.serving.harness import ServingHarness

if TYPE_CHECKING:
    from collections.abc import Callable

PEER = PeerRecord("entry-2", "entry-2.a", "10.0.9.1", 9000)
OTHERS = (("alone", {}), ("with another", {PEER.name: PEER}))
LOSSES: tuple[tuple[str, Callable[[int], object]], ...] = (
    ("history gone", lambda call: FeedHistoryGone(Feed.PEERS, call, 1)),
    ("store restored", lambda call: FeedFailed(Feed.PEERS, call, "restored", 2)),
)


class KnownEntriesTests(unittest.TestCase):
    def test_second_read_of_the_entries_takes_no_retries_away(self) -> None:
        for loss, make_event in LOSSES:
            for name, peers in OTHERS:
                with self.subTest(loss, others=name):
                    harness = ServingHarness()
                    harness.start()
                    harness.change(Feed.PEERS, peers)
                    harness.world.store_epoch.number = 1
                    before = harness.world.count_entries()
                    harness.post(make_event(harness.find_call(Feed.PEERS)))
                    self.assertIsNone(harness.world.feeds[Feed.PEERS].version)
                    self.assertEqual(harness.world.count_entries(), before)

    def test_entry_that_has_read_no_list_assumes_many(self) -> None:
        world = ServingHarness().world
        unknown = world.serving_policy.budget.unknown_entries
        self.assertEqual(world.count_entries(), unknown)


if __name__ == "__main__":
    unittest.main()
