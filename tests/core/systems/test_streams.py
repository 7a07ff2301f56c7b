"""Tests of engines that produce tokens that were not requested."""

from __future__ import annotations

import unittest

from magnoliahold.core.events import StreamProduced
from tests.core.systems.test_reconnects import TOKENS, make_small_fleet, start_caller


class StreamTests(unittest.TestCase):
    def test_unrequested_tokens_fail_only_their_attempt(self) -> None:
        cases = {
            "more tokens than asked for": (0, ("x",) * (TOKENS + 1)),
            "tokens after a gap": (7, ("x",)),
            "tokens before the start": (-1, ("x",)),
        }
        for name, (ahead, tokens) in cases.items():
            with self.subTest(name):
                fleet = make_small_fleet()
                caller = start_caller(fleet)
                fleet.run_for(1.0)
                last_event = caller.last_event
                assert last_event is not None
                node = fleet.find_node(last_event.sidecar)
                stream = node.world.streams.by_lineage[last_event.lineage]
                offset = len(stream.tokens) + ahead
                node.post_event(StreamProduced(stream.handle, offset, tokens))
                fleet.run_for(10.0)
                self.assertEqual(len(caller.tokens), TOKENS)
                self.assertIsNone(caller.find_break())
                self.assertIn(last_event.sidecar, fleet.network.processes)
