"""Tests of valid registrations with an address where nothing answers.

Another writer may leave them among those of the sound upstreams. Requests that are sent
there first have still to be answered by a sound one, within their time.
"""

from __future__ import annotations

import unittest
from itertools import product
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field, frozen

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    CloseAttempt,
    DeliverAnswer,
    FinishAnswer,
    ListPrompts,
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
    PromptsListed,
    StreamEnded,
    StreamOpened,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.policy import AttemptPolicy
from tests.core.serving.harness import (
    CALLS,
    ENGINES,
    ServingHarness,
    make_route,
    make_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

TICK_S = 0.02
# How often the entry learns that its configuration is the newest.
PROOF_TICKS = 50
ANSWER_S = 0.04
PIECES = 3
PLAYED_S = 3.0
DRAINED_S = 3.0
CONNECT_TIMEOUT_S = AttemptPolicy().connect_timeout_s
# What a request takes at a sound upstream, with some ticks between its steps.
CALL_S = ANSWER_S + 4 * TICK_S
STREAM_S = ANSWER_S * (2 + PIECES) + 4 * TICK_S
SEEDS = range(5)
KINDS = tuple(RouteKind)
# Numbers of the registrations that nothing stands behind.
FIRST_ODD = 100


@frozen
class Case:
    """Numbers of sound and odd registrations, and the chance of requests each tick."""

    sound: int
    odd: int
    chance: float


CASES = (Case(1, 1, 0.05), Case(4, 4, 0.3), Case(20, 20, 0.05))


@define
class Play:
    """An entry with sound upstreams and addresses where nothing answers.

    `refuses` tells whether such an address refuses connections, instead of ignoring
    them. `answered_s` are the seconds to each answer, by kind of request.
    """

    seed: int
    refuses: bool
    harness: ServingHarness = field(init=False)
    random: Random = field(init=False)
    due: list[tuple[float, object]] = field(factory=list)
    open_requests: dict[int, tuple[RouteKind, str, float]] = field(factory=dict)
    answered_s: list[tuple[RouteKind, float]] = field(factory=list)
    failed: list[tuple[RouteKind, object]] = field(factory=list)
    unsent: int = 0

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        self.harness = ServingHarness(seed=self.seed)

    def send_requests(self, chance: float) -> None:
        """Sends a request of each kind with some chance."""
        for kind in KINDS:
            if self.random.random() < chance:
                caller = self.harness.request(kind)
                begun = (kind, caller.request_id, self.harness.now)
                self.open_requests[caller.handle] = begun

    def run(self, seconds: float, chance: float = 0.0) -> None:
        """Advances the clock; requests of each kind come with a chance each tick."""
        for number in range(round(seconds / TICK_S)):
            self.harness.now += TICK_S
            if number % PROOF_TICKS == 0:
                self.harness.change(Feed.CONFIGURATION, {})
            self.send_requests(chance)
            events = [event for at, event in self.due if at <= self.harness.now]
            self.due = [item for item in self.due if item[0] > self.harness.now]
            self.harness.post(*events)
            self.perform_effects()

    def perform_effects(self) -> None:
        """Carries out what the entry has decided."""
        emitted, self.harness.emitted = self.harness.emitted, []
        for effect in emitted:
            if isinstance(effect, SendAttempt):
                self.take_attempt(effect)
            elif isinstance(effect, CloseAttempt):
                self.due = [
                    item
                    for item in self.due
                    if getattr(item[1], "attempt", None) != effect.attempt
                ]
            elif isinstance(effect, ListPrompts):
                if not is_odd(effect.upstream):
                    self.post_later(0.01, PromptsListed(effect.upstream.id, ()))
            elif isinstance(effect, ProbeServingUpstream):
                self.answer_probe(effect)
            elif isinstance(effect, DeliverAnswer | FinishAnswer):
                kind, _, at = self.open_requests.pop(effect.handle)
                self.answered_s.append((kind, self.harness.now - at))
            elif isinstance(effect, RefuseCaller | AbortAnswer):
                kind, *_ = self.open_requests.pop(effect.handle)
                self.failed.append((kind, effect))

    def post_later(self, seconds: float, event: object) -> None:
        """Posts an event after some time."""
        self.due.append((self.harness.now + seconds, event))

    def take_attempt(self, effect: SendAttempt) -> None:
        """Answers an attempt, or fails to connect."""
        number = effect.attempt
        if is_odd(effect.upstream):
            self.unsent += 1
            delay_s = 0.001 if self.refuses else effect.connect_timeout_s
            self.post_later(delay_s, AttemptNotSent(number, "gone", not self.refuses))
            return
        head = AnswerHead(200, effect.request_id, signed=True)
        self.post_later(0.0, AttemptSent(number))
        if effect.upstream.service == CALLS:
            self.post_later(ANSWER_S, AnswerReceived(number, head))
            return
        self.post_later(ANSWER_S, StreamOpened(number, head))
        for piece in range(1, PIECES + 1):
            self.post_later(ANSWER_S * (1 + piece), PiecesReceived(number, piece, 1))
        self.post_later(ANSWER_S * (2 + PIECES), StreamEnded(number))

    def answer_probe(self, effect: ProbeServingUpstream) -> None:
        """Answers a probe, or lets it fail."""
        record = effect.upstream
        answered = UpstreamAnsweredProbe(record.id, record.born_ms)
        failed = UpstreamFailedProbe(
            record.id, record.born_ms, "gone", not self.refuses
        )
        if not is_odd(record):
            self.post_later(ANSWER_S, answered)
        elif self.refuses:
            self.post_later(0.001, failed)
        else:
            self.post_later(effect.timeout_s, failed)


def is_odd(record: Any) -> bool:
    """Tells whether nothing answers at the address of a registration."""
    return record.born_ms >= 1000 + FIRST_ODD


def make_records(sound: int, odd: int) -> dict[str, Any]:
    """Makes registrations of each service."""
    numbers = (*range(1, 1 + sound), *range(FIRST_ODD, FIRST_ODD + odd))
    records = [make_upstream(n, name) for n in numbers for name in (ENGINES, CALLS)]
    return {record.id: record for record in records}


class UnansweredAddressTests(unittest.TestCase):
    def start(self, case: Case, seed: int, refuses: bool) -> Play:
        """Starts an entry that reads all registrations at once."""
        play = Play(seed, refuses)
        records = make_records(case.sound, case.odd)
        play.harness.start(upstreams=tuple(records.values()))
        play.perform_effects()
        return play

    def start_before_odd(self, case: Case, seed: int, refuses: bool) -> Play:
        """Starts an entry, and registers the odd addresses later."""
        play = self.start(evolve(case, odd=0), seed, refuses)
        play.run(PLAYED_S, case.chance)
        play.harness.change(Feed.UPSTREAMS, make_records(case.sound, case.odd))
        play.perform_effects()
        return play

    def play_all(self, start: Any) -> Iterator[tuple[str, Play]]:
        """Plays each case to its end; returns the plays with their names."""
        for case, refuses, seed in product(CASES, (False, True), SEEDS):
            play = start(case, seed, refuses)
            play.run(PLAYED_S, case.chance)
            play.run(DRAINED_S)
            yield f"{case}, refuses={refuses}, seed={seed}", play

    # Failure: requests were sent to one address after the other at which nothing
    # answered; calls waited for up to 1.4 s or were refused for their deadline.
    def test_request_loses_no_time_at_more_than_one_address(self) -> None:
        for name, play in self.play_all(self.start_before_odd):
            with self.subTest(name):
                self.check_answered(play)
                for kind, seconds in play.answered_s:
                    usual_s = STREAM_S if kind is RouteKind.STREAM else CALL_S
                    self.assertLessEqual(seconds, usual_s + CONNECT_TIMEOUT_S)

    def test_entry_that_starts_beside_them_answers_each_request(self) -> None:
        for name, play in self.play_all(self.start):
            with self.subTest(name):
                self.check_answered(play)
                for kind, seconds in play.answered_s:
                    self.assertLess(seconds, make_route(kind, CALLS).timeout_s)

    def check_answered(self, play: Play) -> None:
        """Checks that each request was answered, though some were sent to odd ones."""
        self.assertTrue(play.unsent)
        self.assertEqual(play.failed, [])
        self.assertFalse(play.open_requests)

    def test_request_is_refused_truthfully_where_no_other_upstream_is(self) -> None:
        for refuses in (False, True):
            for seed in SEEDS:
                with self.subTest(refuses=refuses, seed=seed):
                    play = self.start(Case(0, 4, 0.1), seed, refuses)
                    play.run(PLAYED_S, 0.1)
                    play.run(DRAINED_S)
                    self.assertTrue(play.failed)
                    self.assertEqual(play.answered_s, [])
                    for _, effect in play.failed:
                        assert isinstance(effect, RefuseCaller)
                        self.assertEqual((effect.status, effect.not_run), (503, True))


if __name__ == "__main__":
    unittest.main()
