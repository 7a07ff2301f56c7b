"""Tests of begun streams whose engine is silent for seconds while others are full."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.effects import (
    AbortAnswer,
    ProbeServingUpstream,
    RefuseCaller,
    SendAttempt,
)
from magnoliahold.core.serving.events import UpstreamAnsweredProbe
from tests.core.serving.harness import ENGINES, make_upstream
from tests.core.serving.test_promised_room import SLOTS, RankedEntry
from tests.core.serving.test_sole_upstreams import make_failed_probe

SILENCES_S = (1.0, 2.0, 3.0, 4.0, 6.0)
AFTER_S = 3.0


class LongSilenceTests(unittest.TestCase):
    def play(self, entry: RankedEntry, silent_s: float) -> None:
        """Lets the first engine be silent for so long, and then answer probes."""
        harness = entry.harness
        silent_until = harness.now + silent_s
        while harness.now < silent_until + AFTER_S:
            harness.advance(0.02)
            entry.write_pieces()
            for probe in harness.pop_effects(ProbeServingUpstream):
                record = probe.upstream
                event: object = UpstreamAnsweredProbe(record.id, record.born_ms)
                if record.id == f"{ENGINES}-1" and harness.now < silent_until:
                    event = make_failed_probe(record)
                harness.post(event)

    def test_no_stream_is_cut_or_refused_for_a_silence(self) -> None:
        for begun in (True, False):
            for silent_s in SILENCES_S:
                with self.subTest(begun=begun, silent_s=silent_s):
                    entry = RankedEntry()
                    entry.start(SLOTS, begun, 0)
                    harness = entry.harness
                    harness.post(make_failed_probe(make_upstream(1, ENGINES)))
                    self.play(entry, silent_s)
                    ends = harness.pop_effects(AbortAnswer)
                    ends += harness.pop_effects(RefuseCaller)  # type: ignore[arg-type]
                    sends = harness.pop_effects(SendAttempt)
                    self.assertEqual((len(ends), len(sends) > SLOTS), (0, False))


if __name__ == "__main__":
    unittest.main()
