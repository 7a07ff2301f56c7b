"""Tests of streams that lost a silent engine and wait for room at others."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from magnoliahold.core.serving.effects import (
    ProbeServingUpstream,
    RefuseCaller,
    SendAttempt,
)
from magnoliahold.core.serving.events import UpstreamAnsweredProbe
from tests.core.serving.harness import ENGINES, make_upstream
from tests.core.serving.test_promised_room import SLOTS, RankedEntry
from tests.core.serving.test_sole_upstreams import make_failed_probe

if TYPE_CHECKING:
    from magnoliahold.core.serving.effects import SendAttempt as Send

# How long a stream usually runs; no room is then expected before the goal is missed.
RUN_S = 15.0
# For how long an engine is silent; streams then queue for room elsewhere.
SILENT_S = 2.5
# When the streams of this test could still start and end in time.
START_S = 24.0 - RUN_S


class HeldRetryTests(unittest.TestCase):
    def start(self) -> tuple[RankedEntry, list[Send]]:
        """Starts streams at an engine that falls silent until they wait for room.

        The other engine has none.
        """
        entry = RankedEntry()
        entry.start(SLOTS, False, 0)
        entry.harness.world.mean_run_by_service[ENGINES] = RUN_S
        entry.harness.post(make_failed_probe(make_upstream(1, ENGINES)))
        sends = self.play(entry, SILENT_S, answers=False)
        return entry, sends

    def play(self, entry: RankedEntry, seconds: float, answers: bool) -> list[Send]:
        """Lets the first engine answer probes or none; returns what was sent."""
        harness = entry.harness
        sends = []
        for _ in range(round(seconds / 0.02)):
            harness.advance(0.02)
            entry.write_pieces()
            for probe in harness.pop_effects(ProbeServingUpstream):
                record = probe.upstream
                event: object = UpstreamAnsweredProbe(record.id, record.born_ms)
                if record.id == f"{ENGINES}-1" and not answers:
                    event = make_failed_probe(record)
                harness.post(event)
            sends += harness.pop_effects(SendAttempt)
        return sends

    # Failure: streams that had left a silent engine got 502 while they waited for room.
    def test_stream_that_may_have_run_is_not_refused_for_want_of_room(self) -> None:
        entry, sends = self.start()
        self.assertEqual(sends, [])
        self.play(entry, START_S - SILENT_S - 1.0, answers=False)
        self.assertEqual(entry.harness.pop_effects(RefuseCaller), [])
        self.assertEqual(len(entry.harness.world.requests.waiting), SLOTS)

    # Failure: streams that had left a silent engine waited for room at others though
    # their engine was healthy again and idle.
    def test_streams_return_to_their_engine_once_it_is_heard_again(self) -> None:
        entry, sends = self.start()
        self.assertEqual(sends, [])
        sends = self.play(entry, 3.0, answers=True)
        self.assertEqual({send.upstream.id for send in sends}, {f"{ENGINES}-1"})
        self.assertEqual(len(sends), SLOTS)
        self.assertEqual(entry.harness.pop_effects(RefuseCaller), [])


if __name__ == "__main__":
    unittest.main()
