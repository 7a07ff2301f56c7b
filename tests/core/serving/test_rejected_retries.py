"""Tests of requests that left a silent upstream and are rejected by the next."""

from __future__ import annotations

import unittest

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import AbortAnswer, RefuseCaller, SendAttempt
from magnoliahold.core.serving.events import AttemptNotSent, AttemptSent
from magnoliahold.core.serving.upstreams import UpstreamHealth
from tests.core.serving.harness import (
    CALLS,
    ENGINES,
    ServingHarness,
    make_configuration,
    make_upstream,
)
from tests.core.serving.test_sole_upstreams import make_failed_probe

MAX_ATTEMPTS = 2
# For how long an upstream that rejects a request has no room.
FULL_S = 3.0
KINDS = (
    (RouteKind.STREAM, ENGINES),
    (RouteKind.IDEMPOTENT, CALLS),
)


class RejectedRetryTests(unittest.TestCase):
    def start(
        self, kind: RouteKind, service: str, max_attempts: int = MAX_ATTEMPTS
    ) -> ServingHarness:
        """Starts a request, whose upstream then is silent until it is given up."""
        whole = make_configuration()
        routes = tuple(
            evolve(item, max_attempts=max_attempts, timeout_s=25.0)
            for item in whole.routes
        )
        harness = ServingHarness()
        harness.start(
            evolve(whole, routes=routes),
            tuple(make_upstream(number, service) for number in range(1, 7)),
        )
        caller = harness.request(kind, timeout_s=25.0)
        harness.report_no_prompts()
        first = harness.send()
        if kind is RouteKind.STREAM:
            harness.open(first, caller)
            harness.produce(first, 1)
        return harness

    def play(self, harness: ServingHarness, rejections: int) -> list[str]:
        """Rejects the next attempts; returns where they were sent."""
        caller = next(iter(harness.world.requests.by_handle.values())).caller
        sent = []
        for _ in range(150):
            harness.advance(0.02)
            for send in harness.pop_effects(SendAttempt):
                sent.append(send.upstream.id)
                harness.post(AttemptSent(send.attempt))
                if len(sent) <= rejections:
                    harness.answer(send, caller, 503, not_run=True)
                elif caller.path.startswith("/stream/"):
                    harness.open(send, caller)
                    harness.produce(send, len(sent))
        return sent

    def test_rejection_after_silence_ends_no_answer(self) -> None:
        for kind, service in KINDS:
            with self.subTest(kind=kind):
                harness = self.start(kind, service)
                (first,) = harness.world.requests.attempts.values()
                second, *later = self.play(harness, 1)
                self.assertEqual(harness.pop_effects(AbortAnswer), [])
                self.assertEqual(harness.pop_effects(RefuseCaller), [])
                self.assertLessEqual(set(later), {first.upstream.id, second})
                self.assertEqual(len(later), 1)

    def test_rejections_without_end_end_an_answer(self) -> None:
        for kind, service in KINDS:
            with self.subTest(kind=kind):
                harness = self.start(kind, service)
                (first,) = harness.world.requests.attempts.values()
                sent = self.play(harness, 1000)
                self.assertLessEqual(len(set(sent) | {first.upstream.id}), MAX_ATTEMPTS)
                self.assertLessEqual(len(sent), 10)
                self.assertEqual(harness.world.requests.by_handle, {})

    def test_silent_upstream_gets_back_a_request_that_is_rejected(self) -> None:
        for kind, service in KINDS:
            with self.subTest(kind=kind):
                harness = self.start(kind, service)
                (first,) = harness.world.requests.attempts.values()
                while first.number in harness.world.requests.attempts:
                    harness.advance(0.02)
                harness.post(make_failed_probe(first.upstream.record))
                self.assertIs(first.upstream.health, UpstreamHealth.DOWN)
                (request,) = harness.world.requests.by_handle.values()
                for other in harness.world.upstreams.by_id.values():
                    if other is not first.upstream:
                        other.full_until = harness.now + FULL_S
                (second,) = harness.pop_effects(SendAttempt)
                harness.post(AttemptSent(second.attempt))
                harness.answer(second, request.caller, 503, not_run=True)
                harness.advance(0.02)
                (third,) = harness.pop_effects(SendAttempt)
                self.assertEqual(third.upstream, first.upstream.record)

    # Failure: an entry opened connections to a dead upstream without a pause.
    def test_refused_connections_end_an_answer_that_is_rejected(self) -> None:
        for kind, service in KINDS:
            with self.subTest(kind=kind):
                harness = self.start(kind, service)
                (request,) = harness.world.requests.by_handle.values()
                (first,) = harness.world.requests.attempts.values()
                sent = 0
                for _ in range(round(FULL_S / 0.02)):
                    harness.advance(0.02)
                    for send in harness.pop_effects(SendAttempt):
                        sent += 1
                        if send.upstream.id == first.upstream.id:
                            harness.post(AttemptNotSent(send.attempt, "refused", False))
                            continue
                        harness.post(AttemptSent(send.attempt))
                        harness.answer(send, request.caller, 503, not_run=True)
                        table = harness.world.upstreams.by_id
                        table[send.upstream.id].full_until = harness.now + FULL_S
                self.assertLessEqual(sent, 3)
                self.assertEqual(harness.world.requests.by_handle, {})

    def test_stream_that_returns_reaches_no_more_upstreams_than_allowed(self) -> None:
        for max_attempts in (3, 4):
            with self.subTest(max_attempts=max_attempts):
                harness = self.start(RouteKind.STREAM, ENGINES, max_attempts)
                (first,) = harness.world.requests.attempts.values()
                sent = self.play(harness, max_attempts - 1)
                reached = set(sent) | {first.upstream.id}
                self.assertLessEqual(len(reached), max_attempts)
                self.assertGreater(len(sent), max_attempts)


if __name__ == "__main__":
    unittest.main()
