"""Several serving entries before engines with little room, on one paused clock.

An engine has a number of places; a stream takes one for as long as it runs, and one
more is rejected. Callers that are refused return once, when they are told to.
"""

from __future__ import annotations

from random import Random

from attrs import define, evolve, field, frozen

from magnoliahold.core.serving.configuration import RouteKind, Service, Workspace
from magnoliahold.core.serving.effects import (
    CloseAttempt,
    ProbeServingUpstream,
    RefuseCaller,
    SendAttempt,
    SendNotice,
)
from magnoliahold.core.serving.events import (
    AnswerHead,
    AnswerReceived,
    AttemptNotSent,
    AttemptSent,
    NoticeReceived,
    PiecesReceived,
    RequestArrived,
    StreamEnded,
    StreamOpened,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.peers import PeerRecord
from magnoliahold.core.serving.requests import CallerRequest, PromptPart
from tests.core.serving.harness import (
    ENGINES,
    ServingHarness,
    make_configuration,
    make_route,
    make_upstream,
)

STEP_S = 0.02
NOTICE_S = 0.04
PREFILL_S = 0.5
RUN_S = 2.0
GOAL_S = 3.0
DEADLINE_S = 20.0
TOKENS = 1000
DAY_S = 86_400.0
WORKSPACES = ("small", "large")


@frozen
class Demand:
    """Streams of one rank that arrive in a period, in seconds since the start."""

    rank: int
    per_s: float
    start_s: float = 0.0
    end_s: float = 10.0
    workspace: str = "small"


@define
class Caller:
    """A caller's request, and when what became of it, in seconds since the start.

    It doesn't wait for longer than a third of the time that it has left to return.
    """

    demand: Demand
    number: int
    asked_at: float
    arrived_at: float
    entry: int
    began_at: float | None = None
    ended_at: float | None = None
    refused_at: list[float] = field(factory=list)
    may_return_at: float = 0.0

    @property
    def is_on_time(self) -> bool:
        """Whether the first piece came within the goal of the last try."""
        return self.began_at is not None and self.began_at - self.arrived_at <= GOAL_S


@define
class Crowd:
    """The entries, the engines and the callers.

    The engines in `dark` are silent for a period; entries in `gone` end at a time, and
    notices between the pairs in `cut` are lost.
    """

    demands: tuple[Demand, ...]
    entries: int = 3
    engines: int = 6
    places: int = 4
    seed: int = 1
    ranks: tuple[int, ...] = (0, 1, 2)
    dark: dict[int, tuple[float, float]] = field(factory=dict)
    gone: dict[int, float] = field(factory=dict)
    cut: frozenset[tuple[int, int]] = frozenset()
    returns_at_once: bool = False
    now: float = 0.0
    callers: dict[str, Caller] = field(factory=dict)
    running: dict[tuple[int, int], tuple[int, str]] = field(factory=dict)
    rejections: int = 0
    harnesses: list[ServingHarness] = field(factory=list)
    _scheduled: list[tuple[float, int, object]] = field(factory=list)
    _random: Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        routes = tuple(
            make_route(
                RouteKind.STREAM,
                ENGINES,
                name=f"rank-{rank}",
                prefix=f"/rank-{rank}/",
                priority=rank,
                goal_s=GOAL_S,
                timeout_s=DEADLINE_S,
            )
            for rank in self.ranks
        )
        service = Service(ENGINES, keeps_prompts=True, slots=self.places)
        configuration = evolve(
            make_configuration(),
            routes=routes,
            services=(service,),
            workspaces=tuple(Workspace(name, (name,)) for name in WORKSPACES),
        )
        upstreams = tuple(make_upstream(n, ENGINES) for n in range(self.engines))
        peers = {
            f"entry-{n}": PeerRecord(f"entry-{n}", f"entry-{n}.a", "10.9.0.1", n)
            for n in range(self.entries)
        }
        for number in range(self.entries):
            harness = ServingHarness(f"entry-{number}", self.seed * 100 + number)
            policy = harness.world.serving_policy
            harness.world.serving_policy = evolve(
                policy, feeds=evolve(policy.feeds, proof_max_age_s=DAY_S)
            )
            harness.start(configuration, upstreams)
            harness.read(Feed.PEERS, peers)
            harness.emitted.clear()
            self.harnesses.append(harness)

    def run(self, seconds: float) -> None:
        """Advances the clock."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for demand in self.demands:
                self._add_arrivals(demand)
            due = [item for item in self._scheduled if item[0] <= self.now]
            self._scheduled = [item for item in self._scheduled if item[0] > self.now]
            for number, harness in enumerate(self.harnesses):
                harness.now += STEP_S
                if self._is_gone(number):
                    self._drop_streams(number)
                else:
                    harness.post(*(event for _, to, event in due if to == number))
                    self._perform(number, harness)

    def _is_gone(self, number: int) -> bool:
        return number in self.gone and self.now >= self.gone[number]

    def _drop_streams(self, number: int) -> None:
        for key in [key for key in self.running if key[0] == number]:
            del self.running[key]

    def _add_arrivals(self, demand: Demand) -> None:
        if not demand.start_s <= self.now < demand.end_s:
            return
        count = sum(self._random.random() < demand.per_s * STEP_S / 8 for _ in range(8))
        for _ in range(count):
            number = len(self.callers) + 1
            caller = Caller(demand, number, self.now, self.now, 0)
            self.callers[f"request-{number}"] = caller
            self._ask(caller, self.now)

    def _ask(self, caller: Caller, at: float) -> None:
        caller.arrived_at = at
        left = [n for n in range(self.entries) if not self._is_gone(n)]
        caller.entry = self._random.choice(left)
        request = CallerRequest(
            handle=caller.number * 2 + bool(caller.refused_at),
            request_id=f"request-{caller.number}",
            method="POST",
            host="host.example",
            path=f"/rank-{caller.demand.rank}/x",
            credential=caller.demand.workspace,
            timeout_s=caller.asked_at + DEADLINE_S - at,
            prompt=(PromptPart(f"own-{caller.number}", TOKENS),),
        )
        self._scheduled.append((at, caller.entry, RequestArrived(request)))

    def _perform(self, number: int, harness: ServingHarness) -> None:
        emitted, harness.emitted = harness.emitted, []
        for effect in emitted:
            if isinstance(effect, SendAttempt):
                self._run_stream(number, effect)
            elif isinstance(effect, CloseAttempt):
                self.running.pop((number, effect.attempt), None)
            elif isinstance(effect, RefuseCaller):
                self._return(effect)
            elif isinstance(effect, ProbeServingUpstream):
                self._answer_probe(number, effect)
            elif isinstance(effect, SendNotice):
                for other in range(self.entries):
                    if other != number and (number, other) not in self.cut:
                        event = NoticeReceived(effect.notice)
                        self._scheduled.append((self.now + NOTICE_S, other, event))

    def _is_dark(self, engine: int) -> bool:
        start_s, end_s = self.dark.get(engine, (0.0, 0.0))
        return start_s <= self.now < end_s

    def _answer_probe(self, number: int, effect: ProbeServingUpstream) -> None:
        engine = int(effect.upstream.id.rpartition("-")[2])
        start = (effect.upstream.id, effect.upstream.born_ms)
        event: object = UpstreamAnsweredProbe(*start)
        if self._is_dark(engine):
            event = UpstreamFailedProbe(*start, "no answer", True)
        self._scheduled.append((self.now + STEP_S, number, event))

    def _run_stream(self, number: int, effect: SendAttempt) -> None:
        engine = int(effect.upstream.id.rpartition("-")[2])
        caller = self.callers[f"request-{effect.handle // 2}"]
        name = f"request-{caller.number}"

        def schedule(delay_s: float, event: object) -> None:
            self._scheduled.append((self.now + delay_s, number, event))

        if self._is_dark(engine):
            schedule(0.25, AttemptNotSent(effect.attempt, "no answer", True))
            return
        schedule(0.0, AttemptSent(effect.attempt))
        if sum(busy == engine for busy, _ in self.running.values()) >= self.places:
            self.rejections += 1
            head = AnswerHead(503, name, signed=False, not_run=True)
            schedule(STEP_S, AnswerReceived(effect.attempt, head))
            return
        self.running[number, effect.attempt] = (engine, name)
        head = AnswerHead(200, name, signed=True)
        schedule(PREFILL_S, StreamOpened(effect.attempt, head))
        schedule(PREFILL_S, PiecesReceived(effect.attempt, 1, 1))
        schedule(RUN_S, StreamEnded(effect.attempt))
        caller.began_at = self.now + PREFILL_S
        caller.ended_at = self.now + RUN_S

    def _return(self, effect: RefuseCaller) -> None:
        caller = self.callers[f"request-{effect.handle // 2}"]
        caller.refused_at.append(self.now)
        if len(caller.refused_at) > 1 or effect.retry_after_s is None:
            return
        caller.may_return_at = self.now + effect.retry_after_s
        left_s = caller.asked_at + DEADLINE_S - self.now
        pause_s = 0.0 if self.returns_at_once else effect.retry_after_s
        self._ask(caller, self.now + min(pause_s, left_s / 3))

    def list_callers(self, rank: int) -> list[Caller]:
        """Lists the callers of a rank."""
        return [item for item in self.callers.values() if item.demand.rank == rank]

    def count_served_share(self, rank: int) -> float:
        """Returns the share of a rank's callers that were served, also when late."""
        callers = self.list_callers(rank)
        return sum(caller.ended_at is not None for caller in callers) / len(callers)

    @property
    def capacity_per_s(self) -> float:
        """How many streams a second the engines can run."""
        return self.engines * self.places / RUN_S
