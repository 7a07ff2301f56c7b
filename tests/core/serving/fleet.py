"""Several serving entries with one store and the upstreams of one plain service.

They run on one simulated clock. Upstreams answer according to the behaviour of their
version. The store may be unreachable, notices between entries may be lost, and entries
may stop for good.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field, frozen

from magnoliahold.core.moves import ENDED_STATES
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    CloseAttempt,
    LongPollFeed,
    ReadFeed,
    RegisterEntry,
    SendAttempt,
    SendNotice,
    WriteMove,
)
from magnoliahold.core.serving.events import (
    AnswerHead,
    AnswerReceived,
    AttemptSent,
    EntryRegistered,
    FeedChanged,
    FeedFailed,
    FeedRead,
    MoveWritten,
    NoticeReceived,
    RequestArrived,
)
from magnoliahold.core.serving.feeds import Feed, FeedRow
from magnoliahold.core.serving.moves import MoveOrder
from magnoliahold.core.serving.peers import PeerRecord
from magnoliahold.core.serving.requests import CallerRequest
from tests.core.serving.harness import (
    CALLS,
    CREDENTIAL,
    ServingHarness,
    make_configuration,
    make_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliahold.core.moves import MoveState

STEP_S = 0.02
STORE_DELAY_S = 0.01
STORE_CLOCK_OFFSET_S = 1000.0
REGISTRATION_DELAY_S = 0.3
TIME_LIMIT_S = 0.4
OLD, NEW = "v1", "v2"


@frozen
class Behaviour:
    """How the upstreams of a version answer from `bad_from_s` after the order on.

    Before that they answer like those of the old version. Of their answers `slow_share`
    take `latency_factor` as long.
    """

    failures: float = 0.0
    latency_factor: float = 1.0
    slow_share: float = 1.0
    bad_from_s: float = 0.0


OLD_BEHAVIOUR = Behaviour(failures=0.02)


@frozen
class Outage:
    """A period, in seconds since the order, in which the store is unreachable."""

    start_s: float = 0.0
    end_s: float = 0.0

    def covers(self, seconds: float) -> bool:
        """Tells whether the period includes a time."""
        return self.start_s <= seconds < self.end_s


@frozen
class Sent:
    """A request sent to an upstream, with the seconds since the order."""

    at_s: float
    version: str


@define
class FakeStore:
    """Rows of the order and of the move's record, with one version counter."""

    order: MoveOrder | None = None
    record: Any = None
    record_version: int = 0
    version: int = 10
    history: list[Any] = field(factory=list)
    upstreams: list[tuple[str, int, Any]] = field(factory=list)

    def write(self, effect: WriteMove) -> MoveWritten:
        """Writes a record if its row has the expected version."""
        if effect.expected_version != self.record_version:
            return MoveWritten(effect.record, 0, "answered 412")
        self.version += 1
        self.record = effect.record
        self.record_version = self.version
        self.history.append(effect.record)
        return MoveWritten(effect.record, self.version)

    def list_rows(self, feed: Feed) -> list[tuple[str, int, Any]]:
        """Lists the rows of a table that change in these tests."""
        if feed is Feed.UPSTREAMS:
            return self.upstreams
        if feed is Feed.MOVES and self.record is not None:
            return [(CALLS, self.record_version, self.record)]
        if feed is Feed.CONFIGURATION and self.order is not None:
            return [("order", self.order.row_version, self.order)]
        return []


@define
class Fleet:
    """The entries, and the results of their requests.

    The requests of one route are `limited_share` of all, and whichever version runs
    them, they end without an answer at their time limit.
    """

    seed: int
    new: Behaviour
    entries: int = 3
    rate_per_s: float = 30.0
    over_s: float = 12.0
    store_outage: Outage = field(factory=Outage)
    stopped: dict[str, float] = field(factory=dict)
    limited_share: float = 0.0
    random: Random = field(init=False)
    store: FakeStore = field(factory=FakeStore)
    harnesses: list[ServingHarness] = field(factory=list)
    now: float = 100.0
    ordered_at: float = 0.0
    sent: list[Sent] = field(factory=list)
    bad_sends_s: list[float] = field(factory=list)
    done_at: float | None = None
    next_request: int = 1
    _limited: set[int] = field(factory=set)
    _scheduled: list[tuple[float, ServingHarness, object]] = field(factory=list)
    _polls: list[tuple[float, ServingHarness, LongPollFeed]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        for number in range(1, self.entries + 1):
            harness = ServingHarness(
                name=f"entry-{number}", seed=self.seed * 100 + number
            )
            self.harnesses.append(harness)
        old = tuple(make_upstream(n, CALLS, version=OLD) for n in range(1, 5))
        for harness in self.harnesses:
            harness.start(make_configuration(), old)
            peers = {
                other.name: PeerRecord(other.name, f"{other.name}.a", "10.9.0.1", 7)
                for other in self.harnesses
            }
            harness.read(Feed.PEERS, peers)

    @property
    def since_order_s(self) -> float:
        """The seconds since the order, negative before it."""
        return self.now - self.ordered_at if self.ordered_at else -1.0

    def order_move(self) -> None:
        """Posts an operator's order to move the service to the new version."""
        self.ordered_at = self.now
        self.store.version += 1
        self.store.order = MoveOrder(CALLS, NEW, self.over_s, self.store.version)

    def _register_new_upstreams(self) -> None:
        """Registers the upstreams of the new version shortly after the order."""
        store = self.store
        if store.upstreams or self.since_order_s < REGISTRATION_DELAY_S:
            return
        store.version += 1
        for number in range(11, 15):
            record = make_upstream(number, CALLS, version=NEW)
            store.upstreams.append((record.id, store.version, record))

    def run(self, seconds: float) -> None:
        """Advances the clock."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._add_arrivals()
            self._register_new_upstreams()
            self._answer_polls()
            due = [item for item in self._scheduled if item[0] <= self.now]
            self._scheduled = [item for item in self._scheduled if item[0] > self.now]
            for harness in self.harnesses:
                if self._is_stopped(harness):
                    continue
                harness.now = self.now
                harness.post(*(event for _, to, event in due if to is harness))
                self._perform_effects(harness)

    def _is_stopped(self, harness: ServingHarness) -> bool:
        at_s = self.stopped.get(harness.name)
        return at_s is not None and self.since_order_s >= at_s

    def _add_arrivals(self) -> None:
        if self.random.random() >= self.rate_per_s * STEP_S:
            return
        harness = self.random.choice(self.harnesses)
        number = self.next_request
        self.next_request += 1
        kind = self._draw_kind(number)
        caller = CallerRequest(
            handle=number,
            request_id=f"request-{number}",
            method="POST",
            host="host.example",
            path=f"/{kind.value}/x",
            credential=CREDENTIAL,
            timeout_s=1.5,
        )
        self._scheduled.append((self.now, harness, RequestArrived(caller)))

    def _draw_kind(self, number: int) -> RouteKind:
        if not self.limited_share:
            return self.random.choice((RouteKind.IDEMPOTENT, RouteKind.NOT_REPEATABLE))
        if self.random.random() >= self.limited_share:
            return RouteKind.IDEMPOTENT
        self._limited.add(number)
        return RouteKind.NOT_REPEATABLE

    def _perform_effects(self, harness: ServingHarness) -> None:
        emitted, harness.emitted = harness.emitted, []
        for effect in emitted:
            if isinstance(effect, SendAttempt):
                self._answer_attempt(harness, effect)
            elif isinstance(effect, WriteMove):
                self._write(harness, effect)
            elif isinstance(effect, ReadFeed):
                self._read(harness, effect)
            elif isinstance(effect, LongPollFeed):
                self._polls.append((self.now + effect.wait_s, harness, effect))
            elif isinstance(effect, SendNotice):
                self._deliver_notice(harness, effect)
            elif isinstance(effect, RegisterEntry):
                self._scheduled.append((self.now, harness, EntryRegistered(True)))
            elif isinstance(effect, CloseAttempt):
                self._scheduled = [
                    item
                    for item in self._scheduled
                    if getattr(item[2], "attempt", None) != effect.attempt
                    or item[1] is not harness
                ]

    def _answer_attempt(self, harness: ServingHarness, effect: SendAttempt) -> None:
        version = effect.upstream.version
        self.sent.append(Sent(self.since_order_s, version))
        behaviour = OLD_BEHAVIOUR
        if version == NEW and self.since_order_s >= self.new.bad_from_s:
            behaviour = evolve(
                self.new, failures=max(self.new.failures, OLD_BEHAVIOUR.failures)
            )
        failed = self.random.random() < behaviour.failures
        slow = (
            behaviour.slow_share == 1.0 or self.random.random() < behaviour.slow_share
        )
        factor = behaviour.latency_factor if slow else 1.0
        if version == NEW and (failed or factor > 2):
            self.bad_sends_s.append(self.since_order_s)
        latency_s = 0.03 * self.random.lognormvariate(0, 0.4) * factor
        status = 500 if failed else 200
        if effect.handle in self._limited:
            status, latency_s = 504, TIME_LIMIT_S
        self._scheduled.append((self.now, harness, AttemptSent(effect.attempt)))
        request_id = f"request-{effect.handle}"
        head = AnswerHead(status, request_id, signed=True)
        answer = AnswerReceived(effect.attempt, head)
        self._scheduled.append((self.now + STEP_S + latency_s, harness, answer))

    def _write(self, harness: ServingHarness, effect: WriteMove) -> None:
        if self.store_outage.covers(self.since_order_s):
            event: object = MoveWritten(effect.record, 0, "no answer")
            self._scheduled.append((self.now + effect.timeout_s, harness, event))
            return
        written = self.store.write(effect)
        if written.row_version and written.record.state in ENDED_STATES:
            self.done_at = self.since_order_s
        self._scheduled.append((self.now + STORE_DELAY_S, harness, written))

    def _read(self, harness: ServingHarness, effect: ReadFeed) -> None:
        event: object = FeedFailed(effect.feed, effect.call, "no answer")
        if not self.store_outage.covers(self.since_order_s):
            event = FeedRead(
                effect.feed,
                effect.call,
                tuple(FeedRow(*row) for row in self.store.list_rows(effect.feed)),
                self.store.version,
                self.now,
                self.now + STORE_CLOCK_OFFSET_S,
            )
        self._scheduled.append((self.now + STORE_DELAY_S, harness, event))

    def _answer_polls(self) -> None:
        polls, self._polls = self._polls, []
        unreachable = self.store_outage.covers(self.since_order_s)
        for until, harness, effect in polls:
            rows = [
                row
                for row in self.store.list_rows(effect.feed)
                if row[1] > effect.after
            ]
            if unreachable or (not rows and self.now < until):
                if self.now < until + effect.timeout_s - effect.wait_s:
                    self._polls.append((until, harness, effect))
                    continue
                event: object = FeedFailed(effect.feed, effect.call, "no answer")
            else:
                event = FeedChanged(
                    effect.feed,
                    effect.call,
                    tuple(FeedRow(*row) for row in rows),
                    self.store.version,
                    self.now,
                    self.now + STORE_CLOCK_OFFSET_S,
                )
            self._scheduled.append((self.now + STORE_DELAY_S, harness, event))

    def _deliver_notice(self, harness: ServingHarness, effect: SendNotice) -> None:
        names = {peer.name for peer in effect.peers}
        for other in self.harnesses:
            lost = self.random.random() < 0.02
            if other.name in names and not self._is_stopped(other) and not lost:
                event = NoticeReceived(effect.notice)
                self._scheduled.append((self.now + STEP_S, other, event))

    def count_sent(self, version: str, periods: Iterable[tuple[float, float]]) -> int:
        """Counts requests sent to a version within periods since the order."""
        return sum(
            item.version == version
            for item in self.sent
            for start, end in periods
            if start <= item.at_s < end
        )

    @property
    def state(self) -> MoveState | None:
        """The state of the move in the store."""
        return self.store.record.state if self.store.record else None
