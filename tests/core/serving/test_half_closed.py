"""Tests of the requests of callers that have closed their writing side.

Failure: such a request was cancelled and its caller got no final answer.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from magnoliahold.core.invariants import InvariantViolated
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    CloseAttempt,
    DeliverAnswer,
    RefuseCaller,
    SendAttempt,
)
from magnoliahold.core.serving.events import (
    AnswerHead,
    AnswerReceived,
    AttemptNotSent,
    AttemptSent,
    CallerDisconnected,
    CallerHalfClosed,
)
from tests.core.serving.harness import ServingHarness

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.requests import CallerRequest

IDEMPOTENT = RouteKind.IDEMPOTENT
ONCE = RouteKind.NOT_REPEATABLE
STREAM = RouteKind.STREAM
GOES_ON = None
TICK_S = 0.02


def start(kind: RouteKind) -> tuple[ServingHarness, CallerRequest]:
    """Starts an entry that has a request of one kind."""
    harness = ServingHarness()
    harness.start()
    caller = harness.request(kind)
    harness.report_no_prompts()
    return harness, caller


def close_waiting(kind: RouteKind) -> ServingHarness:
    """Closes a caller's writing side while no upstream is known."""
    harness = ServingHarness()
    harness.start(upstreams=())
    caller = harness.request(kind)
    harness.post(CallerHalfClosed(caller.handle))
    return harness


def close_at_arrival(kind: RouteKind) -> ServingHarness:
    """Closes it in the tick after the one in which the request was routed."""
    harness, caller = start(kind)
    harness.post(CallerHalfClosed(caller.handle))
    return harness


def close_while_sent(kind: RouteKind) -> ServingHarness:
    """Closes it in the tick that learns that the request was sent."""
    harness, caller = start(kind)
    attempt = harness.pop_effect(SendAttempt)
    harness.post(CallerHalfClosed(caller.handle), AttemptSent(attempt.attempt))
    return harness


def close_while_not_sent(kind: RouteKind) -> ServingHarness:
    """Closes it in the tick that learns that the request couldn't be sent."""
    harness, caller = start(kind)
    attempt = harness.pop_effect(SendAttempt)
    failed = AttemptNotSent(attempt.attempt, "connection refused")
    harness.post(CallerHalfClosed(caller.handle), failed)
    return harness


def close_at_upstream(kind: RouteKind) -> ServingHarness:
    """Closes it while an upstream works on the request."""
    harness, caller = start(kind)
    harness.send()
    harness.post(CallerHalfClosed(caller.handle))
    return harness


def close_before_rejection(kind: RouteKind) -> ServingHarness:
    """Closes it before the upstream rejects the request as not run."""
    harness, caller = start(kind)
    attempt = harness.send()
    harness.post(CallerHalfClosed(caller.handle))
    harness.answer(attempt, caller, 503, not_run=True)
    return harness


def close_with_rejection(kind: RouteKind) -> ServingHarness:
    """Closes it in the tick that learns of a rejection."""
    harness, caller = start(kind)
    attempt = harness.send()
    head = AnswerHead(503, caller.request_id, signed=True, not_run=True)
    rejection = AnswerReceived(attempt.attempt, head)
    harness.post(CallerHalfClosed(caller.handle), rejection)
    return harness


def close_before_loss(kind: RouteKind) -> ServingHarness:
    """Closes it before the connection to the upstream breaks."""
    harness, caller = start(kind)
    attempt = harness.send()
    harness.post(CallerHalfClosed(caller.handle))
    harness.interrupt(attempt)
    return harness


def close_before_deadline(kind: RouteKind) -> ServingHarness:
    """Closes it at an upstream that doesn't answer until the deadline."""
    harness, caller = start(kind)
    harness.send()
    harness.post(CallerHalfClosed(caller.handle))
    harness.advance(1.6)
    return harness


def close_after_deadline(kind: RouteKind) -> ServingHarness:
    """Closes it at the deadline of a request that an upstream works on."""
    harness, caller = start(kind)
    harness.send()
    deadline_at = harness.world.requests.by_handle[caller.handle].deadline_at
    harness.advance(deadline_at - harness.now - TICK_S)
    harness.now = deadline_at - TICK_S / 2
    harness.post()
    harness.now = deadline_at
    harness.post(CallerHalfClosed(caller.handle))
    return harness


# What happens, and the statuses of refusals of an idempotent call, a call that may not
# be repeated, and a stream.
REFUSALS: tuple[
    tuple[Callable[[RouteKind], ServingHarness], tuple[int | None, ...]], ...
] = (
    (close_waiting, (503, 503, 503)),
    (close_at_arrival, (503, 503, 503)),
    (close_while_sent, (502, GOES_ON, 502)),
    (close_while_not_sent, (503, 503, 503)),
    (close_at_upstream, (502, GOES_ON, 502)),
    (close_before_rejection, (502, 503, 502)),
    (close_with_rejection, (503, 503, 503)),
    (close_before_loss, (502, 502, 502)),
    (close_before_deadline, (502, 504, 502)),
    (close_after_deadline, (504, 504, 504)),
)


class HalfClosedTests(unittest.TestCase):
    def test_final_answer_says_not_run_only_if_that_is_certain(self) -> None:
        for close, statuses in REFUSALS:
            for kind, status in zip((IDEMPOTENT, ONCE, STREAM), statuses, strict=True):
                with self.subTest(close.__name__, kind=kind.value):
                    harness = close(kind)
                    refusals = harness.pop_effects(RefuseCaller)
                    if status is GOES_ON:
                        self.assertEqual(refusals, [])
                        continue
                    self.assertEqual([item.status for item in refusals], [status])
                    self.assertEqual(refusals[0].not_run, status == 503)
                    self.assertEqual(harness.world.requests.by_handle, {})
                    self.assertEqual(harness.world.requests.half_closed, {})

    def test_nothing_is_sent_afterwards(self) -> None:
        for close, statuses in REFUSALS:
            for kind, status in zip((IDEMPOTENT, ONCE, STREAM), statuses, strict=True):
                with self.subTest(close.__name__, kind=kind.value):
                    harness = close(kind)
                    sent = [item.attempt for item in harness.pop_effects(SendAttempt)]
                    closed = harness.pop_effects(CloseAttempt)
                    self.assertLessEqual(len(sent), 1)
                    harness.advance(0.5)
                    self.assertEqual(harness.pop_effects(SendAttempt), [])
                    if status is not GOES_ON:
                        self.assertLessEqual(set(sent), {i.attempt for i in closed})

    def test_call_that_may_not_be_repeated_has_its_real_answer(self) -> None:
        harness, caller = start(ONCE)
        attempt = harness.send()
        harness.post(CallerHalfClosed(caller.handle))
        harness.advance(0.3)
        harness.answer(attempt, caller, 200)
        self.assertEqual(harness.pop_effect(DeliverAnswer).handle, caller.handle)
        self.assertEqual(harness.pop_effects(RefuseCaller), [])
        self.assertEqual(harness.world.requests.half_closed, {})

    def test_answer_that_comes_with_it_is_delivered(self) -> None:
        for kind in (IDEMPOTENT, ONCE):
            with self.subTest(kind=kind.value):
                harness, caller = start(kind)
                attempt = harness.send()
                head = AnswerHead(200, caller.request_id, signed=True)
                answer = AnswerReceived(attempt.attempt, head)
                harness.post(CallerHalfClosed(caller.handle), answer)
                harness.pop_effect(DeliverAnswer)
                self.assertEqual(harness.pop_effects(RefuseCaller), [])

    def test_stream_that_has_begun_is_aborted(self) -> None:
        harness, caller = start(STREAM)
        attempt = harness.send()
        harness.open(attempt, caller)
        harness.produce(attempt, 3, 3)
        harness.post(CallerHalfClosed(caller.handle))
        self.assertEqual(harness.pop_effect(AbortAnswer).handle, caller.handle)
        self.assertIn(CloseAttempt(attempt.attempt), harness.pop_effects(CloseAttempt))
        self.assertEqual(harness.pop_effects(RefuseCaller), [])

    def test_caller_that_ends_afterwards_is_gone(self) -> None:
        harness, caller = start(ONCE)
        attempt = harness.send()
        harness.post(CallerHalfClosed(caller.handle))
        harness.post(CallerDisconnected(caller.handle))
        self.assertEqual(harness.pop_effect(CloseAttempt).attempt, attempt.attempt)
        self.assertEqual(harness.world.requests.half_closed, {})

    def test_unknown_request_is_ignored(self) -> None:
        harness = ServingHarness()
        harness.start()
        harness.post(CallerHalfClosed(99))
        self.assertEqual(harness.world.requests.half_closed, {})

    def test_end_is_logged_as_that_of_a_caller_that_left(self) -> None:
        harness = close_at_upstream(IDEMPOTENT)
        (line,) = [item for item in harness.logged if item.component == "request"]
        self.assertEqual(line.fields["outcome"], "caller left")
        self.assertEqual(line.fields["status"], 502)

    def test_waiting_request_of_a_half_closed_caller_breaks_an_invariant(self) -> None:
        harness = ServingHarness()
        harness.start(upstreams=())
        caller = harness.request(IDEMPOTENT)
        request = harness.world.requests.by_handle[caller.handle]
        harness.world.requests.half_closed[99] = request
        with self.assertRaises(InvariantViolated):
            harness.post()
