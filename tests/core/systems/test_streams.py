"""Tests of engines that produce what was not asked for."""

from __future__ import annotations

import unittest

from magnoliahold.core.events import StreamProduced
from tests.core.systems.test_returns import TOKENS, make_small_fleet, start_caller


class StreamTests(unittest.TestCase):
    def test_unwanted_output_breaks_the_stream_only(self) -> None:
        excess = {
            "more tokens than asked for": (0, ("x",) * (TOKENS + 1)),
            "tokens after a gap": (7, ("x",)),
            "tokens before the start": (-1, ("x",)),
        }
        for name, (ahead, tokens) in excess.items():
            with self.subTest(name):
                fleet = make_small_fleet()
                caller = start_caller(fleet)
                fleet.run_for(1.0)
                place = caller.last_event
                assert place is not None
                node = fleet.find_node(place.sidecar)
                stream = node.world.streams.by_lineage[place.lineage]
                offset = len(stream.tokens) + ahead
                node.post_event(StreamProduced(stream.handle, offset, tokens))
                fleet.run_for(10.0)
                self.assertEqual(len(caller.tokens), TOKENS)
                self.assertIsNone(caller.find_break())
                self.assertIn(place.sidecar, fleet.network.processes)
