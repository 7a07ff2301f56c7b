"""Tests of calls: which ones are retried, and what their callers get."""

from __future__ import annotations

import unittest

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    CloseAttempt,
    DeliverAnswer,
    RefuseCaller,
    SendAttempt,
)
from magnoliahold.core.serving.events import AttemptNotSent, CallerDisconnected
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.peers import PeerRecord
from magnoliahold.core.serving.upstreams import UpstreamHealth
from tests.core.serving.harness import CALLS, ServingHarness, make_upstream

IDEMPOTENT = RouteKind.IDEMPOTENT
ONCE = RouteKind.NOT_REPEATABLE

DELIVERED = "delivered"
AGAIN = "again"
BAD_GATEWAY = 502
UNAVAILABLE = 503

# An upstream's answer and the outcome for an idempotent call and for another one.
ANSWERS = (
    ("success", {"status": 200}, DELIVERED, DELIVERED),
    ("failure", {"status": 500}, AGAIN, DELIVERED),
    ("caller's fault", {"status": 404}, DELIVERED, DELIVERED),
    ("unsigned success", {"status": 200, "signed": False}, AGAIN, BAD_GATEWAY),
    ("answer of another", {"status": 200, "request_id": "x"}, AGAIN, BAD_GATEWAY),
    ("success without an id", {"status": 200, "request_id": ""}, AGAIN, BAD_GATEWAY),
    ("503 that may have run", {"status": 503}, AGAIN, BAD_GATEWAY),
    ("429 that may have run", {"status": 429}, AGAIN, BAD_GATEWAY),
    (
        "rejected",
        {"status": 503, "not_run": True, "signed": False},
        AGAIN,
        AGAIN,
    ),
    (
        "another upstream",
        {"status": 421, "not_run": True, "misdirected": True},
        AGAIN,
        AGAIN,
    ),
    # Failure: an earlier refusal that was sent once more on a kept connection told
    # callers "not run" for what an engine had run (review case 1).
    (
        "rejection without an id",
        {"status": 400, "not_run": True, "request_id": "", "signed": False},
        AGAIN,
        BAD_GATEWAY,
    ),
    (
        "rejection of another request",
        {"status": 503, "not_run": True, "request_id": "x", "signed": False},
        AGAIN,
        BAD_GATEWAY,
    ),
    (
        "another upstream, without an id",
        {"status": 421, "not_run": True, "misdirected": True, "request_id": ""},
        AGAIN,
        BAD_GATEWAY,
    ),
)


def find_outcome(harness: ServingHarness) -> object:
    """Returns DELIVERED, the status of the refusal, AGAIN for a retry, or None."""
    if harness.pop_effects(DeliverAnswer):
        return DELIVERED
    refusals = harness.pop_effects(RefuseCaller)
    if refusals:
        return refusals[0].status
    return AGAIN if harness.pop_effects(SendAttempt) else None


def make_peer(number: int) -> PeerRecord:
    """Makes the registration of another entry."""
    return PeerRecord(f"entry-{number}", f"entry-{number}.a", "10.9.0.1", number)


class CallTests(unittest.TestCase):
    def test_answers_are_delivered_retried_or_refused(self) -> None:
        for name, head, repeatable, once in ANSWERS:
            for kind, expected in ((IDEMPOTENT, repeatable), (ONCE, once)):
                with self.subTest(name, kind=kind.value):
                    harness = ServingHarness()
                    harness.start()
                    caller = harness.request(kind)
                    harness.answer(harness.send(), caller, **head)  # type: ignore[arg-type]
                    self.assertEqual(find_outcome(harness), expected)

    def test_broken_connection_is_retried_only_if_idempotent(self) -> None:
        for kind, expected in ((IDEMPOTENT, AGAIN), (ONCE, BAD_GATEWAY)):
            with self.subTest(kind=kind.value):
                harness = ServingHarness()
                harness.start()
                harness.request(kind)
                harness.interrupt(harness.send())
                self.assertEqual(find_outcome(harness), expected)

    def test_call_that_was_not_sent_goes_to_another_upstream(self) -> None:
        harness = ServingHarness()
        harness.start()
        harness.request(ONCE)
        attempt = harness.pop_effect(SendAttempt)
        harness.post(AttemptNotSent(attempt.attempt, "refused"))
        second = harness.pop_effect(SendAttempt)
        self.assertNotEqual(second.upstream.id, attempt.upstream.id)

    def test_call_is_refused_soon_where_all_upstreams_refuse_connections(self) -> None:
        for kind in (IDEMPOTENT, ONCE):
            with self.subTest(kind=kind):
                harness = ServingHarness()
                harness.start()
                arrived_at = harness.now
                harness.request(kind)
                refused: list[RefuseCaller] = []
                while not refused:
                    for sent in harness.pop_effects(SendAttempt):
                        harness.advance(0.02)
                        failed = AttemptNotSent(sent.attempt, "connection refused")
                        harness.post(failed)
                    refused = harness.pop_effects(RefuseCaller)
                self.assertTrue(refused[0].not_run)
                self.assertLess(harness.now - arrived_at, 0.2)

    def test_rejected_call_is_refused_as_not_run(self) -> None:
        """A call that upstreams rejected is refused with a time to retry."""
        harness = ServingHarness()
        harness.start()
        caller = harness.request(ONCE)
        harness.answer(harness.send(), caller, 503, not_run=True)
        harness.answer(harness.send(), caller, 503, not_run=True)
        refusal = harness.pop_effect(RefuseCaller)
        self.assertEqual(refusal.status, UNAVAILABLE)
        self.assertTrue(refusal.not_run)
        self.assertGreater(refusal.retry_after_s or 0, 0)

    def test_repeat_at_the_same_upstream_takes_a_new_connection(self) -> None:
        """Its earlier refusal may come once more on a connection that it used."""
        harness = ServingHarness()
        harness.start(upstreams=(make_upstream(1, CALLS),))
        caller = harness.request(ONCE)
        first = harness.send()
        self.assertFalse(first.new_connection)
        harness.answer(first, caller, 503, not_run=True)
        harness.advance(1.0)
        self.assertTrue(harness.pop_effect(SendAttempt).new_connection)

    def test_silent_call_is_retried_only_if_idempotent(self) -> None:
        for kind, retries in ((IDEMPOTENT, 1), (ONCE, 0)):
            with self.subTest(kind=kind.value):
                harness = ServingHarness()
                harness.start()
                harness.request(kind)
                harness.send()
                harness.advance(0.6)
                self.assertEqual(len(harness.pop_effects(SendAttempt)), retries)

    def test_last_attempt_runs_until_the_deadline(self) -> None:
        """A call without attempts left keeps its last one until the deadline."""
        harness = ServingHarness()
        harness.start()
        caller = harness.request(IDEMPOTENT)
        harness.send()
        harness.advance(0.5)
        last = harness.send()
        harness.advance(0.6)
        self.assertFalse(harness.pop_effects(RefuseCaller))
        harness.answer(last, caller, 200)
        self.assertEqual(find_outcome(harness), DELIVERED)

    def test_deadline_ends_a_call_at_once(self) -> None:
        harness = ServingHarness()
        harness.start()
        harness.request(ONCE)
        attempt = harness.send()
        harness.advance(1.6)
        refusal = harness.pop_effect(RefuseCaller)
        self.assertEqual(refusal.status, 504)
        self.assertFalse(refusal.not_run)
        self.assertIn(CloseAttempt(attempt.attempt), harness.pop_effects(CloseAttempt))

    def test_second_upstream_gets_the_remaining_time(self) -> None:
        harness = ServingHarness()
        harness.start()
        harness.request(IDEMPOTENT)
        harness.send()
        harness.advance(0.5)
        self.assertLess(harness.pop_effect(SendAttempt).deadline_s, 1.2)

    def test_attempt_is_closed_when_the_caller_disconnects(self) -> None:
        harness = ServingHarness()
        harness.start()
        caller = harness.request(IDEMPOTENT)
        attempt = harness.send()
        harness.post(CallerDisconnected(caller.handle))
        self.assertEqual(harness.pop_effect(CloseAttempt).attempt, attempt.attempt)
        self.assertFalse(harness.pop_effects(SendAttempt))
        self.assertFalse(harness.world.requests.attempts)

    def test_service_with_all_upstreams_down_is_still_tried(self) -> None:
        harness = ServingHarness()
        harness.start(upstreams=(make_upstream(1, CALLS), make_upstream(2, CALLS)))
        for upstream in harness.world.upstreams.by_id.values():
            upstream.health = UpstreamHealth.DOWN
            upstream.next_probe_at = harness.now + 100
        harness.request(ONCE)
        harness.pop_effect(SendAttempt)

    def test_retries_stay_within_the_budget(self) -> None:
        harness = ServingHarness()
        harness.start()
        harness.read(Feed.PEERS, {f"entry-{n}": make_peer(n) for n in range(1, 16)})
        policy = harness.world.serving_policy.budget
        extra = policy.extra / 15
        calls = 40
        sent = 0
        for _ in range(calls):
            harness.request(IDEMPOTENT)
            harness.interrupt(harness.send())
            sent += len(harness.pop_effects(SendAttempt))
        self.assertLessEqual(sent, policy.used_part * (extra + policy.ratio * calls))
        self.assertGreaterEqual(sent, policy.used_part * extra)


if __name__ == "__main__":
    unittest.main()
