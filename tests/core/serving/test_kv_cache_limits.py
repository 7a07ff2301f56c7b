"""Tests of choosing among upstreams whose KV caches are nearly full."""

from __future__ import annotations

import unittest
from collections import Counter

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import SendAttempt
from magnoliahold.core.serving.events import CallerDisconnected
from magnoliahold.core.serving.loads import UpstreamLoad
from magnoliahold.core.serving.requests import PromptPart
from tests.core.serving.harness import ENGINES, ServingHarness


class KvCacheLimitTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.start()

    def fill(self, tokens: dict[int, int]) -> None:
        """Sets the tokens that other entries hold at upstreams, without other load."""
        self.harness.world.other_entries.loads = {
            f"{ENGINES}-{number}": UpstreamLoad(f"{ENGINES}-{number}", tokens=held)
            for number, held in tokens.items()
        }

    def send_streams(
        self, count: int = 12
    ) -> tuple[Counter[str], Counter[tuple[str, int]]]:
        """Sends streams one at a time; counts them by upstream and by copy holder."""
        upstreams: Counter[str] = Counter()
        holders: Counter[tuple[str, int]] = Counter()
        for _ in range(count):
            caller = self.harness.request(RouteKind.STREAM)
            sent = self.harness.pop_effect(SendAttempt)
            upstreams[sent.upstream.id] += 1
            assert sent.copy_to is not None
            holders[sent.copy_to] += 1
            self.harness.post(CallerDisconnected(caller.handle))
        return upstreams, holders

    def test_full_upstreams_get_neither_streams_nor_copies(self) -> None:
        self.fill({1: 70_000, 2: 70_000, 3: 60_000, 4: 0})
        upstreams, holders = self.send_streams()
        self.assertEqual(set(upstreams), {"engines-3", "engines-4"})
        self.assertEqual({address for address, _ in holders}, {"10.0.1.3", "10.0.1.4"})

    def test_streams_are_sent_even_if_all_upstreams_are_full(self) -> None:
        self.fill(dict.fromkeys(range(1, 5), 80_000))
        self.assertEqual(sum(self.send_streams()[0].values()), 12)

    def test_own_streams_and_copies_count(self) -> None:
        """Nine streams of 8,200 tokens and their copies fill two of four upstreams."""
        self.fill({3: 74_000, 4: 74_000})
        for _ in range(9):
            self.harness.request(RouteKind.STREAM)
        held = {
            item.id: sum(a.request.prompt_tokens for a in item.attempts.values())
            + item.copied_tokens
            for item in self.harness.world.upstreams.list_service(ENGINES)
        }
        self.assertLessEqual(held["engines-1"], 88_000 * 0.85)
        self.assertLessEqual(held["engines-2"], 88_000 * 0.85)

    def test_ended_streams_free_their_tokens(self) -> None:
        parts = (PromptPart("own", 60_000),)
        caller = self.harness.request(RouteKind.STREAM, prompt=parts)
        self.harness.post(CallerDisconnected(caller.handle))
        for item in self.harness.world.upstreams.list_service(ENGINES):
            self.assertEqual((item.copies, item.copied_tokens), (0, 0))


if __name__ == "__main__":
    unittest.main()
