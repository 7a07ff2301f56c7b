"""Tests of requests whose upstream is lost while all the others are silent."""

from __future__ import annotations

import unittest
from itertools import product
from typing import TYPE_CHECKING

from attrs import define, evolve, field

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    DeliverAnswer,
    FinishAnswer,
    ProbeServingUpstream,
    RefuseCaller,
    SendAttempt,
)
from magnoliahold.core.serving.events import (
    AnswerHead,
    AnswerReceived,
    AttemptNotSent,
    AttemptSent,
    PiecesReceived,
    StreamEnded,
    StreamOpened,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
    UpstreamSignalled,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.systems.upstream_health import mark_suspected
from magnoliahold.core.serving.upstreams import UpstreamHealth
from tests.core.serving.harness import CALLS, ENGINES, ServingHarness, make_upstream

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import CallerRequest, ServedRequest
    from magnoliahold.core.serving.upstreams import Upstream, UpstreamRecord

TICK_S = 0.02
CONNECT_TIMEOUT_S = 0.25
PROBE_TIMEOUT_S = 0.2
TIMEOUT_S = 1.5
# What the request's own upstream is: it refuses connections, its registration is gone,
# another process has its address, or it only says nothing.
REFUSES, GONE, REPLACED, SILENT = "refuses", "gone", "replaced", "silent"
LOST = (REFUSES, GONE, REPLACED)
# It refuses connections as well, but has said that it is leaving.
LEAVING = "leaving"
# What the others are until they go on: they accept connections and say nothing, or
# can't be reached, or refuse connections.
FROZEN, UNREACHABLE, DEAD = "frozen", "unreachable", "dead"
# Kinds of requests, and whether they have begun.
STREAM, OPENING, CALL, ONCE = "stream", "opening stream", "call", "booking"
KINDS = {
    STREAM: (RouteKind.STREAM, ENGINES),
    OPENING: (RouteKind.STREAM, ENGINES),
    CALL: (RouteKind.IDEMPOTENT, CALLS),
    ONCE: (RouteKind.NOT_REPEATABLE, CALLS),
}
REPEATABLE = (STREAM, OPENING, CALL)
ANSWERS = (DeliverAnswer, FinishAnswer)
# When the others go on, in seconds: before they are probed again, or after that.
PROBED_S = 0.4
EARLY_S = 0.6
BACK_S = (EARLY_S, 0.8, 1.0, 1.2)
# A stream is silent so long before the others are suspected, in seconds.
QUIET_S = 0.1
# A call waits so long for its answer, and a probe tells what its upstream is.
LATEST_MOVE_S = 0.6
ENDS = (DeliverAnswer, FinishAnswer, RefuseCaller, AbortAnswer)


@define
class SilentService:
    """A service whose upstreams are all silent from the time 0 on, with one request.

    The others go on after `back_s`, None if they never do. `sent` holds where the
    request was sent after its first upstream, and `ended` its end and the seconds to
    it. `due` are events by the time at which they are posted. `holder` has a copy of
    the stream, and `resumed` is set if it was sent on from that.
    """

    kind: str
    own: str
    others: str
    back_s: float | None
    upstreams: int = 4
    timeout_s: float = TIMEOUT_S
    harness: ServingHarness = field(factory=ServingHarness)
    sent: list[str] = field(factory=list)
    ended: tuple[type, float] | None = None
    due: list[tuple[float, object]] = field(factory=list)
    held: list[SendAttempt] = field(factory=list)
    began_at: float = 0.0
    holder: str = ""
    resumed: bool = False
    first: SendAttempt = field(init=False)
    caller: CallerRequest = field(init=False)

    @property
    def elapsed_s(self) -> float:
        """The seconds since all fell silent."""
        return self.harness.now - self.began_at

    def start(self, without: str = "", leave_copy: bool = False) -> None:
        """Sends the request, and lets all upstreams fall silent.

        It may be `without` "budget" or "attempts" for a retry. If its upstream has to
        `leave_copy`, the others are found out together with it.
        """
        route, service = KINDS[self.kind]
        numbers = range(1, self.upstreams + 1)
        records = [make_upstream(number, service) for number in numbers]
        self.harness.start(upstreams=tuple(records))
        self.caller = self.harness.request(route, timeout_s=self.timeout_s)
        self.harness.report_no_prompts()
        self.first = self.harness.send()
        if self.kind == STREAM:
            self.harness.open(self.first, self.caller)
            self.harness.produce(self.first, 1)
        (attempt,) = self.harness.world.requests.attempts.values()
        if not leave_copy:
            self.harness.world.requests.set_copy_holder(attempt, None)
        elif attempt.copy_holder is not None:
            self.holder = attempt.copy_holder.id
        self.take_retries(attempt.request, without)
        self.began_at = self.harness.now
        if leave_copy:
            self.harness.advance(QUIET_S)
        self.harness.emitted.clear()
        for other in self.list_others():
            if leave_copy:
                mark_suspected(self.harness.world, other, "silent", self.harness.now)
            else:
                record = other.record
                self.harness.post(make_failure(record, self.others != DEAD))
        self.lose_own()

    def take_retries(self, request: ServedRequest, what: str) -> None:
        """Leaves a request without a retry."""
        world = self.harness.world
        if what == "budget":
            budget = evolve(world.serving_policy.budget, used_part=0.0)
            world.serving_policy = evolve(world.serving_policy, budget=budget)
        elif what == "attempts":
            request.route = evolve(request.route, max_attempts=1)

    def list_others(self) -> list[Upstream]:
        """Lists the entry's view of the upstreams that haven't had the request."""
        table = self.harness.world.upstreams.by_id
        own = self.first.upstream.id
        return [item for key, item in table.items() if key != own]

    def read_end(self) -> tuple[type, float]:
        """Returns how the request has ended, and after how many seconds."""
        assert self.ended is not None
        return self.ended

    def lose_own(self) -> None:
        """Tells the entry what has become of the request's upstream."""
        record = self.first.upstream
        if self.own == LEAVING:
            signal = UpstreamSignalled(record.id, record.born_ms, True, None)
            self.harness.post(signal)
        if self.own in (REFUSES, SILENT, LEAVING):
            silent = self.own == SILENT
            self.harness.post(make_failure(record, silent))
        elif self.own == GONE:
            self.harness.change(Feed.UPSTREAMS, {record.id: None})
        else:
            new = evolve(record, born_ms=record.born_ms + 1, leaving=True)
            self.harness.change(Feed.UPSTREAMS, {record.id: new})

    def play(self) -> None:
        """Runs until the request has ended."""
        while self.ended is None:
            self.step()

    def advance(self, seconds: float) -> None:
        """Runs for some seconds."""
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def step(self) -> None:
        """Runs one tick."""
        self.harness.now += TICK_S
        due = [item for at, item in self.due if at <= self.harness.now]
        self.due = [item for item in self.due if item[0] > self.harness.now]
        self.harness.post(*due, *self.answer_held())
        for probe in self.harness.pop_effects(ProbeServingUpstream):
            self.answer_probe(probe.upstream)
        for send in self.harness.pop_effects(SendAttempt):
            self.accept(send)
        for end in ENDS:
            if self.harness.pop_effects(end):
                self.ended = (end, self.elapsed_s)

    def is_back(self) -> bool:
        """Tells whether the others have gone on."""
        return self.back_s is not None and self.elapsed_s >= self.back_s

    def answer_probe(self, record: UpstreamRecord) -> None:
        """Answers a probe, now or once it times out."""
        key = (record.id, record.born_ms)
        is_own = record.id == self.first.upstream.id
        refused = (
            self.own in (REFUSES, REPLACED, LEAVING) if is_own else self.others == DEAD
        )
        if not is_own and self.is_back():
            self.post_later(UpstreamAnsweredProbe(*key), 0.0)
        elif refused:
            self.post_later(make_failure(record, silent=False), 0.0)
        else:
            self.post_later(make_failure(record, silent=True), PROBE_TIMEOUT_S)

    def accept(self, send: SendAttempt) -> None:
        """Takes an attempt, refuses it, or lets it time out."""
        number = send.attempt
        if send.upstream.id == self.first.upstream.id:
            refused = self.own in (REFUSES, REPLACED, LEAVING)
        else:
            self.sent.append(send.upstream.id)
            self.resumed = send.copy_source is not None
            refused = self.others == DEAD and not self.is_back()
        if refused:
            self.post_later(AttemptNotSent(number, "refused", False), 0.0)
        elif self.others == UNREACHABLE and not self.is_back():
            failed = AttemptNotSent(number, "timed out", True)
            self.post_later(failed, CONNECT_TIMEOUT_S)
        else:
            self.held.append(send)
            self.post_later(AttemptSent(number), 0.0)

    def answer_held(self) -> list[object]:
        """Answers what was accepted, once the others have gone on."""
        if not self.is_back():
            return []
        held, self.held = self.held, []
        head = AnswerHead(200, self.caller.request_id, signed=True)
        events: list[object] = []
        for send in held:
            if KINDS[self.kind][0] is RouteKind.STREAM:
                pieces = PiecesReceived(send.attempt, 2, 1)
                opened = StreamOpened(send.attempt, head)
                events += [opened, pieces, StreamEnded(send.attempt)]
            else:
                events.append(AnswerReceived(send.attempt, head))
        return events

    def post_later(self, event: object, delay_s: float) -> None:
        """Posts an event in a later tick."""
        self.due.append((self.harness.now + delay_s, event))


def make_failure(record: UpstreamRecord, silent: bool) -> UpstreamFailedProbe:
    """Makes the failure of a probe that was refused, or not answered at all."""
    return UpstreamFailedProbe(record.id, record.born_ms, "failed", silent)


def play(kind: str, own: str, others: str, back_s: float | None) -> SilentService:
    """Plays one case to its end."""
    service = SilentService(kind, own, others, back_s)
    service.start()
    service.play()
    return service


class LostUpstreamTests(unittest.TestCase):
    # Failure: a call of 1.5 s at a lost upstream got 504 though a silent one went on.
    def test_request_at_a_lost_upstream_is_answered_by_one_that_goes_on(self) -> None:
        for kind, own, back_s in product(REPEATABLE, LOST, BACK_S):
            with self.subTest(kind=kind, own=own, back_s=back_s):
                service = play(kind, own, FROZEN, back_s)
                end, seconds = service.read_end()
                self.assertIn(end, ANSWERS)
                self.assertLessEqual(seconds, max(back_s, LATEST_MOVE_S) + 2 * TICK_S)
                self.assertEqual(len(service.sent), 1)

    def test_request_that_no_other_one_accepts_is_not_given_up_sooner(self) -> None:
        for kind, own, others in product(REPEATABLE, LOST, (UNREACHABLE, DEAD)):
            with self.subTest(kind=kind, own=own, others=others):
                _, seconds = play(kind, own, others, None).read_end()
                self.assertGreaterEqual(seconds, TIMEOUT_S)
                end, seconds = play(kind, own, others, PROBED_S).read_end()
                self.assertIn(end, ANSWERS)

    def test_each_silent_upstream_gets_it_once(self) -> None:
        for kind, own in product(REPEATABLE, LOST):
            with self.subTest(kind=kind, own=own):
                service = play(kind, own, UNREACHABLE, None)
                self.assertEqual(len(service.sent), service.upstreams - 1)
                self.assertEqual(len(set(service.sent)), service.upstreams - 1)

    def test_request_stays_at_an_upstream_that_may_be_at_work_on_it(self) -> None:
        for kind, others in product(KINDS, (FROZEN, UNREACHABLE, DEAD)):
            for own in (SILENT, LEAVING):
                with self.subTest(kind=kind, own=own, others=others):
                    self.assertEqual(play(kind, own, others, None).sent, [])

    def test_booking_is_sent_to_no_other_one(self) -> None:
        for own, others, back_s in product(LOST, (FROZEN, UNREACHABLE), BACK_S):
            with self.subTest(own=own, others=others, back_s=back_s):
                service = play(ONCE, own, others, back_s)
                self.assertEqual(service.sent, [])
                self.assertEqual(service.read_end()[0], RefuseCaller)

    def test_it_goes_to_the_one_heard_of_last(self) -> None:
        for kind, own in product((OPENING, CALL), LOST):
            with self.subTest(kind=kind, own=own):
                service = SilentService(kind, own, FROZEN, EARLY_S)
                service.start()
                others = service.list_others()
                for number, other in enumerate(others):
                    other.last_received_at -= number
                service.play()
                self.assertEqual(service.sent, [others[0].id])

    def test_stream_goes_to_the_holder_of_its_copy_first(self) -> None:
        for own, upstreams in product(LOST, (2, 4)):
            with self.subTest(own=own, upstreams=upstreams):
                service = SilentService(STREAM, own, FROZEN, EARLY_S, upstreams)
                service.start(leave_copy=True)
                service.play()
                self.assertEqual(service.sent, [service.holder])
                self.assertTrue(service.resumed)

    def test_it_waits_for_the_probe_of_one_that_is_only_suspected(self) -> None:
        for kind in REPEATABLE:
            with self.subTest(kind=kind):
                service = SilentService(kind, REFUSES, FROZEN, EARLY_S)
                service.start()
                suspected = service.list_others()[-1]
                suspected.health = UpstreamHealth.SUSPECTED
                suspected.next_probe_at = 0.0
                suspected.last_received_at -= 10.0
                service.advance(PROBE_TIMEOUT_S - TICK_S)
                self.assertEqual(service.sent, [])
                service.play()
                self.assertEqual(len(service.sent), 1)

    def test_it_stays_without_a_retry(self) -> None:
        for kind, limit in product(REPEATABLE, ("budget", "attempts")):
            with self.subTest(kind=kind, limit=limit):
                service = SilentService(kind, REFUSES, FROZEN, EARLY_S)
                service.start(without=limit)
                service.play()
                self.assertEqual(service.sent, [])


if __name__ == "__main__":
    unittest.main()
