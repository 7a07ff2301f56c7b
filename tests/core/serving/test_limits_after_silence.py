"""Tests that streams leave a silent engine only for requests within another's limit."""

from __future__ import annotations

import unittest

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    ProbeServingUpstream,
    SendAttempt,
)
from magnoliahold.core.serving.events import (
    AnswerHead,
    AttemptInterrupted,
    AttemptSent,
    PiecesReceived,
    StreamOpened,
    UpstreamAnsweredProbe,
    UpstreamSignalled,
)
from magnoliahold.core.serving.feeds import Feed
from tests.core.serving.harness import ENGINES, ServingHarness, make_upstream
from tests.core.serving.test_sole_upstreams import make_failed_probe

STREAMS = 6
# Each stream may leave once, and a few twice.
RETRIES = 8
LIMIT_PER_S = 1.0
# The other engine takes one stream after another in this time.
PLAYED_S = 10.0


class LimitsAfterSilenceTests(unittest.TestCase):
    def start(self) -> tuple[ServingHarness, dict[int, str]]:
        """Starts streams at an engine, beside one with a limit.

        Returns the ids of the requests by handle.
        """
        harness = ServingHarness()
        world = harness.world
        budget = evolve(
            world.serving_policy.budget, ratio=0.0, extra=RETRIES, used_part=1.0
        )
        world.serving_policy = evolve(world.serving_policy, budget=budget)
        first, second = (make_upstream(number, ENGINES) for number in (1, 2))
        harness.start(upstreams=(first,))
        ids = {}
        for _ in range(STREAMS):
            caller = harness.request(RouteKind.STREAM)
            harness.report_no_prompts()
            send = harness.send()
            harness.open(send, caller)
            harness.produce(send, 1)
            ids[send.handle] = caller.request_id
        harness.change(Feed.UPSTREAMS, {second.id: second})
        signal = UpstreamSignalled(second.id, second.born_ms, limit_per_s=LIMIT_PER_S)
        harness.post(signal)
        harness.emitted.clear()
        return harness, ids

    def play(self, harness: ServingHarness, ids: dict[int, str]) -> list[str]:
        """Lets the first engine be silent; returns where the streams were sent."""
        sent_to = []
        writing: dict[int, int] = {}
        until = harness.now + PLAYED_S
        while harness.now < until:
            harness.advance(0.02)
            for probe in harness.pop_effects(ProbeServingUpstream):
                record = probe.upstream
                event: object = UpstreamAnsweredProbe(record.id, record.born_ms)
                if record.id == f"{ENGINES}-1":
                    event = make_failed_probe(record)
                harness.post(event)
            for send in harness.pop_effects(SendAttempt):
                sent_to.append(send.upstream.id)
                harness.post(AttemptSent(send.attempt))
                if send.upstream.id == f"{ENGINES}-2":
                    head = AnswerHead(200, ids[send.handle], signed=True)
                    harness.post(StreamOpened(send.attempt, head))
                    writing[send.attempt] = send.resume_after or 0
            for number in writing:
                writing[number] += 1
                harness.post(PiecesReceived(number, writing[number], 1))
        return sent_to

    # Failure: all left after 1.5 s for one request within the limit; the others were
    # sent to the silent engine anew, and had no retry left when it died.
    def test_no_stream_is_sent_back_to_the_silent_engine_that_it_left(self) -> None:
        harness, ids = self.start()
        sent_to = self.play(harness, ids)
        with self.subTest("sent"):
            self.assertEqual(sent_to, [f"{ENGINES}-2"] * STREAMS)
        lost = [
            attempt.number
            for attempt in harness.world.requests.attempts.values()
            if attempt.upstream.id == f"{ENGINES}-1"
        ]
        for number in lost:
            harness.post(AttemptInterrupted(number, "connection lost", True))
        self.play(harness, ids)
        with self.subTest("cut"):
            self.assertEqual(harness.pop_effects(AbortAnswer), [])


if __name__ == "__main__":
    unittest.main()
