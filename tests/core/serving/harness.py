"""Runs the systems of a serving entry on a simulated clock and collects its effects."""

from __future__ import annotations

from random import Random
from typing import Any, TypeVar

from attrs import define, evolve, field

from magnoliahold.core.effects import CountMetric, LogDecision, RecordMetric
from magnoliahold.core.identity import Identity
from magnoliahold.core.policy import Policy
from magnoliahold.core.serving.configuration import (
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    Workspace,
)
from magnoliahold.core.serving.effects import (
    ListPrompts,
    LongPollFeed,
    ReadFeed,
    SendAttempt,
)
from magnoliahold.core.serving.entry import SERVING_SYSTEMS
from magnoliahold.core.serving.events import (
    AnswerHead,
    AnswerReceived,
    AttemptInterrupted,
    AttemptSent,
    FeedChanged,
    FeedRead,
    PiecesReceived,
    PromptsListed,
    RequestArrived,
    StreamEnded,
    StreamOpened,
)
from magnoliahold.core.serving.feeds import Feed, FeedRow
from magnoliahold.core.serving.requests import CallerRequest, PromptPart
from magnoliahold.core.serving.upstreams import UpstreamRecord
from magnoliahold.core.serving.world import ServingWorld
from magnoliahold.core.ticks import run_systems

E = TypeVar("E")

ENGINES = "engines"
CALLS = "calls"
CREDENTIAL = "credential-1"
UNCOLLECTED = (CountMetric, RecordMetric, LogDecision)


def make_route(kind: RouteKind, service: str, **changes: Any) -> Route:
    """Makes a route of one kind under a path prefix with the name of the kind."""
    route = Route(
        name=kind.value,
        host="host.example",
        prefix=f"/{kind.value}/",
        kind=kind,
        shares=(ServiceShare(service, 1.0),),
        timeout_s=25.0 if kind is RouteKind.STREAM else 1.5,
        goal_s=4.5 if kind is RouteKind.STREAM else 0.2,
        gap_goal_s=0.7,
        max_attempts=5 if kind is RouteKind.STREAM else 2,
        resumable=kind is RouteKind.STREAM,
    )
    return evolve(route, **changes)


def make_configuration(version: int = 1, **changes: Any) -> Configuration:
    """Makes a configuration with a route of each kind and one workspace."""
    configuration = Configuration(
        version=version,
        routes=(
            make_route(RouteKind.STREAM, ENGINES),
            make_route(RouteKind.IDEMPOTENT, CALLS),
            make_route(RouteKind.NOT_REPEATABLE, CALLS),
        ),
        services=(
            Service(
                ENGINES, keeps_copies=True, keeps_prompts=True, memory_tokens=88_000
            ),
            Service(CALLS),
        ),
        workspaces=(Workspace("workspace-1", (CREDENTIAL,)),),
    )
    return evolve(configuration, **changes)


def make_upstream(number: int, service: str, **changes: Any) -> UpstreamRecord:
    """Makes a registration; odd and even numbers are in different data centres."""
    record = UpstreamRecord(
        id=f"{service}-{number}",
        service=service,
        address=f"10.0.{1 if service == ENGINES else 2}.{number}",
        port=8000,
        data_centre=f"data-centre-{number % 2}",
        born_ms=1000 + number,
    )
    return evolve(record, **changes)


@define
class ServingHarness:
    """A world and the effects it has emitted, apart from log lines and metrics."""

    name: str = "entry-1"
    seed: int = 7
    now: float = 100.0
    suspended_s: float = 0.0
    emitted: list[object] = field(factory=list)
    logged: list[LogDecision] = field(factory=list)
    world: ServingWorld = field(init=False)
    next_handle: int = 1

    def __attrs_post_init__(self) -> None:
        self.world = ServingWorld(
            identity=Identity(self.name, f"{self.name}.a", "entry", "data-centre-0"),
            random=Random(self.seed),
            policy=Policy(tick_s=0.02),
            boot_clock=lambda: self.now + self.suspended_s,
        )
        self.world.checks_all_rows = True
        self.world.raises_errors = True
        self.post()
        self.world.started_at = self.now - 100.0

    def post(self, *events: object) -> None:
        """Posts events and runs one tick."""
        for event in events:
            self.world.inbox.add_event(event)
        for effect in run_systems(self.world, SERVING_SYSTEMS, self.now):
            if isinstance(effect, LogDecision):
                self.logged.append(effect)
            if not isinstance(effect, UNCOLLECTED):
                self.emitted.append(effect)

    def advance(self, seconds: float, step_s: float = 0.02) -> None:
        """Advances the clock, tick by tick."""
        for _ in range(round(seconds / step_s)):
            self.now += step_s
            self.post()

    def pop_effects(self, kind: type[E]) -> list[E]:
        """Removes the emitted effects of one kind and returns them."""
        found = [item for item in self.emitted if isinstance(item, kind)]
        self.emitted = [item for item in self.emitted if not isinstance(item, kind)]
        return found

    def pop_effect(self, kind: type[E]) -> E:
        """Removes the only emitted effect of a kind and returns it."""
        (found,) = self.pop_effects(kind)
        return found

    def find_call(self, feed: Feed) -> int:
        """Returns the number of a feed's call; waits until one is in progress."""
        while not self.world.feeds[feed].call:
            self.advance(0.02)
        return self.world.feeds[feed].call

    def start(
        self,
        configuration: Configuration | None = None,
        upstreams: tuple[UpstreamRecord, ...] | None = None,
    ) -> None:
        """Lets the entry read its configuration and its upstreams."""
        if upstreams is None:
            numbers = range(1, 5)
            upstreams = tuple(make_upstream(n, ENGINES) for n in numbers)
            upstreams += tuple(make_upstream(n, CALLS) for n in numbers)
        self.post()
        self.read(Feed.PEERS, {})
        self.read(Feed.CONFIGURATION, {"config": configuration or make_configuration()})
        self.read(Feed.UPSTREAMS, {record.id: record for record in upstreams})

    def read(
        self,
        feed: Feed,
        values: dict[str, Any],
        version: int = 10,
        left_out: frozenset[str] = frozenset(),
    ) -> None:
        """Answers a full read of a feed."""
        rows = tuple(FeedRow(key, version, value) for key, value in values.items())
        call = self.find_call(feed)
        sent_at = self.now + self.suspended_s
        read = FeedRead(feed, call, rows, version, sent_at, left_out=left_out)
        self.post(read)
        self.pop_effects(ReadFeed)

    def change(self, feed: Feed, values: dict[str, Any], version: int = 11) -> None:
        """Answers a long poll of a feed with changed rows."""
        rows = tuple(FeedRow(key, version, value) for key, value in values.items())
        call = self.find_call(feed)
        self.post(FeedChanged(feed, call, rows, version, self.now + self.suspended_s))
        self.pop_effects(LongPollFeed)

    def request(self, kind: RouteKind, **changes: Any) -> CallerRequest:
        """Posts a request of a caller."""
        handle = self.next_handle
        self.next_handle += 1
        caller = CallerRequest(
            handle=handle,
            request_id=f"request-{handle}",
            method="POST",
            host="host.example",
            path=f"/{kind.value}/x",
            credential=CREDENTIAL,
            timeout_s=25.0 if kind is RouteKind.STREAM else 1.5,
            prompt=(PromptPart("shared", 200), PromptPart(f"own-{handle}", 8000)),
        )
        caller = evolve(caller, **changes)
        self.post(RequestArrived(caller))
        return caller

    def send(self) -> SendAttempt:
        """Returns the only attempt that was started, and reports it as sent."""
        attempt = self.pop_effect(SendAttempt)
        self.post(AttemptSent(attempt.attempt))
        return attempt

    def open(self, attempt: SendAttempt, request: CallerRequest) -> None:
        """Starts an upstream's stream."""
        head = AnswerHead(200, request.request_id, signed=True)
        self.post(StreamOpened(attempt.attempt, head))

    def answer(
        self, attempt: SendAttempt, request: CallerRequest, status: int, **head: Any
    ) -> None:
        """Posts an upstream's answer."""
        values = {"request_id": request.request_id, "signed": True, **head}
        event = AnswerReceived(attempt.attempt, AnswerHead(status, **values))
        self.post(event)

    def produce(self, attempt: SendAttempt, last: int, count: int = 1) -> None:
        """Posts pieces of an upstream's stream."""
        self.post(PiecesReceived(attempt.attempt, last, count))

    def report_no_prompts(self) -> None:
        """Answers all prompt lookups with lists that hold no prompt."""
        asked = self.pop_effects(ListPrompts)
        self.post(*(PromptsListed(item.upstream.id, ()) for item in asked))

    def finish(self, attempt: SendAttempt) -> None:
        """Ends an upstream's stream regularly."""
        self.post(StreamEnded(attempt.attempt))

    def interrupt(self, attempt: SendAttempt, reset: bool = True) -> None:
        """Ends the connection of an attempt early."""
        self.post(AttemptInterrupted(attempt.attempt, "connection lost", reset))
