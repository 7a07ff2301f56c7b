"""Tests of a serving entry's decisions under random faults, checked from outside.

The checks use only what callers and upstreams would observe; the invariants of the
tables are checked in every tick as well. `MAGNOLIAHOLD_SEED` and
`MAGNOLIAHOLD_EXAMPLES` set other seeds.
"""

from __future__ import annotations

import os
import unittest
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, field

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    CloseAttempt,
    CopyKvCache,
    DeliverAnswer,
    DeliverPieces,
    FinishAnswer,
    ListPrompts,
    LongPollFeed,
    ProbeServingUpstream,
    ReadFeed,
    RefuseCaller,
    RegisterEntry,
    SendAttempt,
    SendNotice,
)
from magnoliahold.core.serving.events import (
    AnswerHead,
    AnswerReceived,
    AttemptInterrupted,
    AttemptNotSent,
    AttemptSent,
    CallerDisconnected,
    CallerHalfClosed,
    CopyFailed,
    FeedChanged,
    FeedFailed,
    KvCacheCopied,
    PiecesReceived,
    PromptListFailed,
    PromptsListed,
    StreamEnded,
    StreamOpened,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.feeds import Feed, FeedRow
from magnoliahold.core.serving.requests import CopyReference
from tests.core.serving.harness import CALLS, ENGINES, ServingHarness, make_upstream

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import CallerRequest

FIRST_SEED = int(os.environ.get("MAGNOLIAHOLD_SEED", "1"))
EXAMPLES = int(os.environ.get("MAGNOLIAHOLD_EXAMPLES", "25"))
STEP_S = 0.02
STEPS = 500
SETTLE_S = 26.0
STREAM_PIECES = 8
# Requests past their deadline are looked for in some ticks only.
SLACK_S = 0.1
FINAL = (DeliverAnswer, FinishAnswer, RefuseCaller, AbortAnswer)


@define
class Run:
    """An attempt as its upstream observes it."""

    send: SendAttempt
    request: CallerRequest
    sent: bool = False
    next_piece: int = 1
    opened: bool = False
    silent: bool = False


@define
class Environment:
    """Simulated callers, upstreams and store, and the checks of what they observe.

    `half_closing` draws which callers close their writing side, and when.
    """

    case: unittest.TestCase
    random: Random
    harness: ServingHarness = field(factory=ServingHarness)
    requests: dict[int, CallerRequest] = field(factory=dict)
    kinds: dict[int, RouteKind] = field(factory=dict)
    runs: dict[int, Run] = field(factory=dict)
    may_have_run: dict[int, int] = field(factory=dict)
    delivered: dict[int, int] = field(factory=dict)
    final: dict[int, object] = field(factory=dict)
    disconnected: set[int] = field(factory=set)
    half_closed: set[int] = field(factory=set)
    half_closing: Random = field(factory=Random)

    def start(self) -> None:
        """Starts the entry with six engines and three plain services."""
        engines = tuple(make_upstream(number, ENGINES) for number in range(1, 7))
        calls = tuple(make_upstream(number, CALLS) for number in range(1, 4))
        self.harness.start(upstreams=engines + calls)

    def step(self) -> None:
        """Runs one tick with randomly drawn events, then checks the effects."""
        self.harness.now += STEP_S
        events = list(self.draw_events())
        self.harness.post(*events)
        self.check_effects()

    def send_request(self) -> None:
        """Posts a request of a random kind."""
        kind = self.random.choice(list(RouteKind))
        caller = self.harness.request(kind)
        self.requests[caller.handle] = caller
        self.kinds[caller.handle] = kind
        self.check_effects()

    def draw_events(self) -> Any:
        """Draws the events of all attempts, callers and feeds."""
        for run in list(self.runs.values()):
            yield from self.draw_run(run)
        if self.random.random() < 0.01 and self.requests:
            handle = self.random.choice(list(self.requests))
            if handle not in self.final:
                self.disconnected.add(handle)
                yield CallerDisconnected(handle)
        yield from self.draw_half_close()
        for feed in Feed:
            yield from self.draw_feed(feed)

    def draw_half_close(self) -> Any:
        """Draws a caller that closes its writing side; it still gets its answer."""
        waiting = set(self.requests) - set(self.final) - self.disconnected
        if waiting and self.half_closing.random() < 0.01:
            handle = self.half_closing.choice(sorted(waiting))
            self.half_closed.add(handle)
            yield CallerHalfClosed(handle)

    def draw_run(self, run: Run) -> Any:
        """Draws what an upstream does with one attempt."""
        number = run.send.attempt
        chance = self.random.random()
        if not run.sent:
            if chance < 0.1:
                del self.runs[number]
                yield AttemptNotSent(number, "refused")
                return
            run.sent = True
            yield AttemptSent(number)
            return
        run.silent = run.silent or chance < 0.01
        if run.silent:
            return
        if chance < 0.03:
            del self.runs[number]
            self.count_run(run)
            yield AttemptInterrupted(number, "connection lost", True)
        elif chance < 0.06 and not run.opened:
            del self.runs[number]
            name = run.request.request_id
            yield AnswerReceived(number, AnswerHead(503, name, not_run=True))
        elif self.kinds[run.request.handle] is RouteKind.STREAM:
            yield from self.draw_stream(run)
        elif chance > 0.7:
            del self.runs[number]
            self.count_run(run)
            status = self.random.choice((200, 200, 200, 500, 503, 404))
            request_id = self.random.choice((run.request.request_id,) * 9 + ("other",))
            yield AnswerReceived(number, AnswerHead(status, request_id, signed=True))

    def draw_stream(self, run: Run) -> Any:
        """Draws the next event of a stream."""
        number = run.send.attempt
        if not run.opened:
            run.opened = True
            run.next_piece = (run.send.resume_after or 0) + 1
            head = AnswerHead(200, run.request.request_id, signed=True)
            yield StreamOpened(number, head)
        elif run.next_piece > STREAM_PIECES:
            del self.runs[number]
            self.count_run(run)
            yield StreamEnded(number)
        else:
            last = run.next_piece
            run.next_piece += 1
            yield PiecesReceived(number, last, 1)

    def draw_feed(self, feed: Feed) -> Any:
        """Draws an answer of the store."""
        call = self.harness.world.feeds[feed].call
        chance = self.random.random()
        if not call or chance > 0.03:
            return
        if chance < 0.005:
            yield FeedFailed(feed, call, "timeout")
            return
        rows: tuple[FeedRow, ...] = ()
        if feed is Feed.UPSTREAMS:
            record = make_upstream(self.random.randint(1, 6), ENGINES)
            removed = self.random.random() < 0.3
            rows = (FeedRow(record.id, 20, None if removed else record),)
        version = (self.harness.world.feeds[feed].version or 10) + 1
        yield FeedChanged(feed, call, rows, version, self.harness.now)

    def count_run(self, run: Run) -> None:
        """Counts that a request may have run."""
        handle = run.request.handle
        self.may_have_run[handle] = self.may_have_run.get(handle, 0) + 1

    def check_effects(self) -> None:
        """Handles the effects in order and checks each."""
        emitted, self.harness.emitted = self.harness.emitted, []
        for effect in emitted:
            if isinstance(effect, SendAttempt):
                self.check_send(effect)
            elif isinstance(effect, CloseAttempt):
                run = self.runs.pop(effect.attempt, None)
                if run is not None and run.sent:
                    self.count_run(run)
            elif isinstance(effect, DeliverPieces):
                self.check_pieces(effect)
            elif isinstance(effect, FINAL):
                self.check_final(effect)
            elif isinstance(effect, ProbeServingUpstream):
                self.answer_probe(effect)
            elif isinstance(effect, ListPrompts):
                self.answer_list(effect)
            elif isinstance(effect, CopyKvCache):
                self.answer_order(effect)
            else:
                expected = (ReadFeed, LongPollFeed, RegisterEntry, SendNotice)
                if isinstance(effect, expected):
                    continue

    def check_send(self, effect: SendAttempt) -> None:
        """Checks that no other attempt runs, and that a call can't run twice."""
        handle = effect.handle
        others = [run for run in self.runs.values() if run.request.handle == handle]
        self.case.assertEqual(others, [], "two attempts of one request")
        self.case.assertNotIn(handle, self.final)
        self.case.assertNotIn(handle, self.disconnected)
        self.case.assertNotIn(handle, self.half_closed)
        if self.kinds[handle] is RouteKind.NOT_REPEATABLE:
            self.case.assertEqual(self.may_have_run.get(handle, 0), 0, "it runs twice")
        self.case.assertGreater(effect.deadline_s, 0)
        self.case.assertEqual(effect.resume_after, self.delivered.get(handle))
        self.runs[effect.attempt] = Run(effect, self.requests[handle])

    def check_pieces(self, effect: DeliverPieces) -> None:
        """Checks that each piece is delivered once and in order."""
        last_piece = self.delivered.get(effect.handle)
        self.case.assertEqual(effect.after, last_piece)
        run = self.runs[effect.attempt]
        self.case.assertEqual(run.next_piece - 1, (last_piece or 0) + 1)
        self.delivered[effect.handle] = run.next_piece - 1

    def check_final(self, effect: Any) -> None:
        """Checks that a final answer is the only one, correct, and not cut short."""
        handle = effect.handle
        self.case.assertNotIn(handle, self.final, "two final answers")
        self.final[handle] = effect
        if isinstance(effect, FinishAnswer):
            self.case.assertEqual(self.delivered.get(handle), STREAM_PIECES)
        if isinstance(effect, RefuseCaller):
            ran = self.may_have_run.get(handle, 0)
            if effect.not_run:
                self.case.assertEqual(ran, 0, "it was reported as not run")
            if effect.status == 503:
                self.case.assertTrue(effect.not_run)
                self.case.assertIsNotNone(effect.retry_after_s)

    def check_open_requests(self) -> None:
        """Checks that each request without a final answer is known, and not overdue."""
        open_requests = self.harness.world.requests.by_handle
        limit_s = self.harness.world.serving_policy.leave.limit_s
        leaving_since = self.harness.world.leaving_since
        for handle in self.requests:
            if handle in self.final or handle in self.disconnected:
                continue
            self.case.assertIn(handle, open_requests, "it is lost")
            late_s = self.harness.now - open_requests[handle].deadline_at
            self.case.assertLess(late_s, SLACK_S, "it is overdue")
            if leaving_since is not None:
                late_s = self.harness.now - leaving_since - limit_s
                self.case.assertLess(late_s, SLACK_S, "it outlives the stop")

    def answer_probe(self, effect: ProbeServingUpstream) -> None:
        """Answers a probe, or lets it fail."""
        record = effect.upstream
        kinds: list[Any] = [
            UpstreamAnsweredProbe(record.id, record.born_ms),
            UpstreamFailedProbe(record.id, record.born_ms, "no answer"),
        ]
        self.harness.world.inbox.add_event(self.random.choices(kinds, (4, 1))[0])

    def answer_order(self, effect: CopyKvCache) -> None:
        """Completes an ordered copy, lets it fail, or never answers."""
        holder_id = effect.holder.id
        reference = CopyReference(
            effect.upstream.address, effect.upstream.port, "copy-1"
        )
        answer = self.random.choice(
            (
                KvCacheCopied(effect.attempt, holder_id, reference),
                CopyFailed(effect.attempt, holder_id, "no room"),
                None,
            )
        )
        if answer is not None:
            self.harness.world.inbox.add_event(answer)

    def answer_list(self, effect: ListPrompts) -> None:
        """Answers a request for prompts, or lets it fail."""
        upstream_id = effect.upstream.id
        part = f"own-{self.random.randint(1, 40)}"
        kinds: list[Any] = [
            PromptsListed(upstream_id, (part,)),
            PromptListFailed(upstream_id, "no answer"),
        ]
        self.harness.world.inbox.add_event(self.random.choices(kinds, (4, 1))[0])


class RandomTests(unittest.TestCase):
    def test_guarantees_hold_under_random_faults(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + EXAMPLES):
            with self.subTest(seed=seed):
                half_closing = Random(f"half-closing-{seed}")
                environment = Environment(self, Random(seed), half_closing=half_closing)
                environment.harness.world.random.seed(seed)
                environment.start()
                for _ in range(STEPS):
                    if environment.random.random() < 0.1:
                        environment.send_request()
                    environment.step()
                for _ in range(round(SETTLE_S / STEP_S)):
                    environment.step()
                missing = (
                    set(environment.requests)
                    - set(environment.final)
                    - environment.disconnected
                )
                self.assertEqual(missing, set(), "requests without a final answer")


if __name__ == "__main__":
    unittest.main()
