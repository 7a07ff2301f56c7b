"""Tests that streams wait for preferred engines no longer than it is worth."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import ProbeServingUpstream, SendAttempt
from magnoliahold.core.serving.events import UpstreamAnsweredProbe
from magnoliahold.core.serving.feeds import Feed
from tests.core.serving.harness import make_upstream
from tests.core.serving.test_promised_room import SLOTS, RankedEntry

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.upstreams import Upstream

GAP_S = 0.05


def make_slow(idle: Upstream, busy: Upstream, other: Upstream) -> None:
    """Makes an engine much slower than the others were."""
    idle.gap_s, busy.gap_s, other.gap_s = GAP_S * 10, GAP_S, GAP_S


def make_failing(idle: Upstream, busy: Upstream, other: Upstream) -> None:
    """Makes an engine one that has failed many requests."""
    idle.failures = 20.0


AVOIDED: tuple[tuple[str, Callable[[Upstream, Upstream, Upstream], None]], ...] = (
    ("slow", make_slow),
    ("failing", make_failing),
)


class AvoidedEngineTests(unittest.TestCase):
    # Failure: streams waited until their deadline while an engine that had been slow
    # was idle.
    def test_stream_takes_an_avoided_engine_that_is_idle(self) -> None:
        for name, avoid in AVOIDED:
            with self.subTest(name):
                entry = RankedEntry()
                entry.start(SLOTS, True, 0)
                harness = entry.harness
                entry.busy += [send for send, _ in entry.streams]
                third = make_upstream(3, "engines")
                harness.change(Feed.UPSTREAMS, {third.id: third})
                upstreams = harness.world.upstreams.by_id
                avoid(*(upstreams[f"engines-{number}"] for number in (3, 1, 2)))
                harness.request(RouteKind.STREAM)
                self.assertEqual(len(harness.world.requests.waiting), 1)
                sends = []
                for _ in range(50):
                    harness.advance(0.02)
                    entry.write_pieces()
                    for probe in harness.pop_effects(ProbeServingUpstream):
                        record = probe.upstream
                        harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
                    sends += harness.pop_effects(SendAttempt)
                self.assertEqual([send.upstream.id for send in sends], [third.id])


if __name__ == "__main__":
    unittest.main()
