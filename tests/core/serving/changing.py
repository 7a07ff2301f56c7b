"""Simulated upstreams, operators and peers that change everything at the same time.

The upstreams never break off: they fall silent and go on, have no room, back off and
leave.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field

from magnoliahold.core.events import LeaveRequested
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    RefuseCaller,
)
from magnoliahold.core.serving.events import (
    AnswerHead,
    AnswerReceived,
    AttemptSent,
    CallerDisconnected,
    NoticeReceived,
    RequestArrived,
    UpstreamAnsweredProbe,
    UpstreamFailedProbe,
    UpstreamSignalled,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.loads import UpstreamLoad
from magnoliahold.core.serving.moves import MoveOrder
from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
from magnoliahold.core.serving.policy import ServingPolicy
from magnoliahold.core.serving.queues import QueueReport
from magnoliahold.core.serving.requests import CallerRequest, PromptPart
from tests.core.serving.changing_configurations import (
    draw_configuration,
    make_wide_configuration,
)
from tests.core.serving.changing_store import STORE_CALLS, ChangingStore
from tests.core.serving.harness import (
    CALLS,
    CREDENTIAL,
    ENGINES,
    make_upstream,
)
from tests.core.serving.test_random import Environment

if TYPE_CHECKING:
    from magnoliahold.core.serving.effects import ProbeServingUpstream
    from magnoliahold.core.serving.requests import ServedRequest
    from magnoliahold.core.serving.upstreams import UpstreamRecord
    from tests.core.serving.test_random import Run

SERVICES = (ENGINES, CALLS)
PATHS = ("stream", "urgent", "idempotent", "not_repeatable", "gone")
CREDENTIALS = (CREDENTIAL, CREDENTIAL, CREDENTIAL, "credential-2")
SILENCE_S = (0.8, 1.5)
BAD_GATEWAY = 502


@define
class SoundEnvironment(Environment):
    """Callers, upstreams that never break off, operators, peers and a store.

    `served` holds what the entry knows of each admitted request, and `silent_until` the
    end of an upstream's silence. `rejected` are the requests of which an upstream has
    rejected an attempt. `quiet` is set for the end, when nothing is new.
    """

    store: ChangingStore = field(init=False)
    served: dict[int, ServedRequest] = field(factory=dict)
    silent_until: dict[str, float] = field(factory=dict)
    upstreams: dict[str, UpstreamRecord] = field(factory=dict)
    configuration_version: int = 0
    next_upstream: int = 20
    serial: int = 0
    leaving: bool = False
    leaving_chance: float = 0.0005
    quiet: bool = False
    rejected: set[int] = field(factory=set)
    rewrites: list[tuple[float, Feed, str, Any]] = field(factory=list)

    @store.default
    def _make_store(self) -> ChangingStore:
        return ChangingStore(self.random, self.harness)

    def start(self) -> None:
        """Writes the first rows; the entry reads them while requests arrive."""
        for service in SERVICES:
            for number in range(1, 5):
                self.register(make_upstream(number, service, version="v1"))
        self.write_configuration(whole=True)
        self.store.keep_copy()

    def register(self, record: UpstreamRecord) -> None:
        """Writes an upstream's registration."""
        self.upstreams[record.id] = record
        self.store.write(Feed.UPSTREAMS, record.id, record)

    def write_configuration(self, whole: bool = False) -> None:
        """Writes the next configuration."""
        self.configuration_version += 1
        value = make_wide_configuration(self.configuration_version)
        if not whole:
            value = draw_configuration(self.random, value)
        self.store.write(Feed.CONFIGURATION, "config", value)

    def step(self) -> None:
        """Runs one tick in which anything may change beside new requests."""
        if not self.quiet:
            self.change_something()
            while self.random.random() < 0.15:
                self.add_request()
        super().step()
        self.note_admitted()
        self.check_open_requests()

    def change_something(self) -> None:
        """Draws changes of operators, upstreams, peers and the store."""
        changes = (
            (0.02, self.write_configuration),
            (0.02, self.change_upstream),
            (0.01, self.silence_upstreams),
            (0.01, self.order_move),
            (0.01, self.notify),
            (0.005, self.reload),
            (0.005, self.store.keep_copy),
            (0.001, self.restore_store),
            (self.leaving_chance, self.leave),
        )
        for chance, change in changes:
            if self.random.random() < chance:
                change()
        for item in list(self.rewrites):
            if self.harness.now >= item[0]:
                self.rewrites.remove(item)
                self.store.write(*item[1:])

    def leave(self) -> None:
        """Stops the entry."""
        if not self.leaving:
            self.leaving = True
            self.harness.world.inbox.add_event(LeaveRequested("SIGTERM"))

    def reload(self) -> None:
        """Applies settings with another policy, as after SIGHUP; calls may be lost."""
        policy = ServingPolicy()
        attempts = evolve(
            policy.attempts,
            repeat_after_s=self.random.choice((0.2, 0.35, 5.0)),
            hold_share=self.random.choice((0.125, 0.5)),
        )
        budget = evolve(policy.budget, ratio=self.random.choice((0.1, 0.8)))
        policy = evolve(policy, attempts=attempts, budget=budget)
        self.harness.world.serving_policy = policy
        if self.random.random() < 0.5:
            for poll in self.store.polls:
                poll.due_at = self.harness.now + poll.effect.timeout_s

    def restore_store(self) -> None:
        """Restores the store; operators and upstreams write again what is missing."""
        before = self.store.restore()
        for feed in (Feed.CONFIGURATION, Feed.UPSTREAMS):
            for key, row in before[feed].items():
                listed = self.store.rows[feed].get(key)
                if listed is None or listed.value != row.value:
                    at = self.harness.now + self.random.uniform(0.0, 2.0)
                    self.rewrites.append((at, feed, key, row.value))

    def order_move(self) -> None:
        """Orders a move of a service, or removes the order."""
        service = self.random.choice(SERVICES)
        key = f"rollout/{service}"
        version = self.store.version + 1
        order = MoveOrder(
            service,
            self.random.choice(("v1", "v2")),
            self.random.choice((2.0, 6.0)),
            version,
        )
        value = order if self.random.random() < 0.8 else None
        self.store.write(Feed.CONFIGURATION, key, value)

    def change_upstream(self) -> None:
        """Adds an upstream, lets one leave, or removes one that has left."""
        choice = self.random.choice(("add", "leave", "leave", "remove"))
        if choice == "add":
            service = self.random.choice(SERVICES)
            self.next_upstream += 1
            version = self.random.choice(("v1", "v2"))
            self.register(make_upstream(self.next_upstream, service, version=version))
            return
        record = self.random.choice(list(self.upstreams.values()))
        busy = any(run.send.upstream.id == record.id for run in self.runs.values())
        if choice == "leave" and not record.leaving:
            self.register(evolve(record, leaving=True))
        elif record.leaving and not busy:
            self.remove_upstream(record)

    def remove_upstream(self, record: UpstreamRecord) -> None:
        """Removes a registration; its upstream is gone."""
        if len(self.upstreams) > 1:
            del self.upstreams[record.id]
            self.store.write(Feed.UPSTREAMS, record.id, None)

    def silence_upstreams(self) -> None:
        """Lets one upstream, or all, fall silent for a while."""
        ids = list(self.upstreams)
        if self.random.random() < 0.8:
            ids = [self.random.choice(ids)]
        for upstream_id in ids:
            silent_s = self.random.uniform(*SILENCE_S)
            self.silent_until[upstream_id] = self.harness.now + silent_s

    def is_silent(self, upstream_id: str) -> bool:
        """Tells whether an upstream is silent now."""
        return self.harness.now < self.silent_until.get(upstream_id, 0.0)

    def notify(self) -> None:
        """Lets a peer register, or send a notice."""
        name = self.random.choice(("entry-2", "entry-3"))
        peer = PeerRecord(name, f"{name}.a", "10.0.9.1", 9000)
        self.store.write(Feed.PEERS, name, peer)
        self.serial += 1
        ids = self.random.sample(list(self.upstreams), 1)
        notice = LoadNotice(
            name,
            peer.incarnation,
            self.serial,
            loads=tuple(
                UpstreamLoad(item, 2, 2, 1, self.random.choice((100, 90_000)))
                for item in ids
            ),
            down=self.random.choice(((), tuple(ids))),
            queues=(
                QueueReport(
                    ENGINES, self.random.randint(0, 2), 3, self.random.uniform(0, 9), 1
                ),
            ),
        )
        self.harness.world.inbox.add_event(NoticeReceived(notice))

    def add_request(self) -> None:
        """Adds a request to the events of the next tick."""
        draw = self.random
        handle = len(self.requests) + 1
        path = draw.choice(PATHS)
        own_part = PromptPart(f"own-{draw.randint(1, 40)}", 8000)
        caller = CallerRequest(
            handle=handle,
            request_id=f"request-{handle}",
            method="POST",
            host="host.example",
            path=f"/{path}/x",
            credential=draw.choice(CREDENTIALS),
            timeout_s=draw.choice((None, 0.0, 0.5, 1.5, 25.0)),
            prompt=draw.choice(((), (PromptPart("shared", 200), own_part))),
        )
        streams = ("stream", "urgent")
        kind = RouteKind.STREAM if path in streams else RouteKind.IDEMPOTENT
        if path == "not_repeatable":
            kind = RouteKind.NOT_REPEATABLE
        self.requests[handle] = caller
        self.kinds[handle] = kind
        self.harness.world.inbox.add_event(RequestArrived(caller))

    def note_admitted(self) -> None:
        """Notes what the entry knows of the requests that it has admitted."""
        for handle, request in self.harness.world.requests.by_handle.items():
            self.served.setdefault(handle, request)

    def draw_events(self) -> Any:
        """Draws the events of all attempts, callers and store calls."""
        for run in list(self.runs.values()):
            yield from self.draw_run(run)
        yield from self.draw_signals()
        open_handles = [key for key in self.requests if key not in self.final]
        if open_handles and self.random.random() < 0.01:
            handle = self.random.choice(open_handles)
            self.disconnected.add(handle)
            yield CallerDisconnected(handle)
        yield from self.store.draw_answers()

    def draw_signals(self) -> Any:
        """Draws what an upstream says about itself."""
        if self.quiet or self.random.random() > 0.01:
            return
        record = self.random.choice(list(self.upstreams.values()))
        yield UpstreamSignalled(
            record.id,
            record.born_ms,
            leaving=record.leaving,
            backoff_s=self.random.choice((None, 0.5, 3.0)),
            limit_per_s=self.random.choice((None, None, 0.0, 5.0)),
        )

    def draw_run(self, run: Run) -> Any:
        """Draws what a sound upstream does with one attempt."""
        number = run.send.attempt
        if not run.sent:
            run.sent = True
            yield AttemptSent(number)
            return
        if self.is_silent(run.send.upstream.id):
            return
        chance = self.random.random()
        if not run.opened and chance < 0.05:
            del self.runs[number]
            name = run.request.request_id
            self.rejected.add(run.request.handle)
            yield AnswerReceived(number, AnswerHead(503, name, not_run=True))
        elif self.kinds[run.request.handle] is RouteKind.STREAM:
            if chance > 0.5:
                yield from self.draw_stream(run)
        elif chance > 0.9:
            del self.runs[number]
            self.count_run(run)
            head = AnswerHead(200, run.request.request_id, signed=True)
            yield AnswerReceived(number, head)

    def answer_probe(self, effect: ProbeServingUpstream) -> None:
        """Answers a probe; a silent upstream may not."""
        record = effect.upstream
        answered = not self.is_silent(record.id) or self.random.random() < 0.5
        event: object = UpstreamAnsweredProbe(record.id, record.born_ms)
        if not answered:
            event = UpstreamFailedProbe(record.id, record.born_ms, "no answer", True)
        self.harness.world.inbox.add_event(event)

    def check_effects(self) -> None:
        """Passes calls to the store, and checks the other effects in order."""
        emitted = self.harness.emitted
        self.harness.emitted = [i for i in emitted if not isinstance(i, STORE_CALLS)]
        self.note_admitted()
        super().check_effects()
        for effect in emitted:
            if isinstance(effect, STORE_CALLS):
                self.store.take_call(effect)

    def check_send(self, effect: Any) -> None:
        """Checks also that only requests of repeatable routes are sent again."""
        super().check_send(effect)
        request = self.served.get(effect.handle)
        if request is not None and not request.route.repeatable:
            ran = self.may_have_run.get(effect.handle, 0)
            self.case.assertEqual(ran, 0, "it runs twice")

    def check_final(self, effect: Any) -> None:
        """Checks also that an answer ends early only for a reason."""
        super().check_final(effect)
        failed = isinstance(effect, RefuseCaller) and effect.status == BAD_GATEWAY
        if failed or isinstance(effect, AbortAnswer):
            self.check_failure(effect)

    def check_failure(self, effect: AbortAnswer | RefuseCaller) -> None:
        """Checks that a request is given up only at its deadline, or at the stop.

        One that was rejected may get 502 sooner if it isn't a stream that has begun.
        """
        if isinstance(effect, RefuseCaller) and effect.handle in self.rejected:
            return
        request = self.served[effect.handle]
        self.case.assertTrue(
            self.harness.now >= request.deadline_at or self.is_past_stop(),
            f"{request.id} is given up: {getattr(effect, 'reason', 'cut')},"
            f" {request.failure_reason}",
        )

    def is_past_stop(self) -> bool:
        """Tells whether the entry has to stop now."""
        since = self.harness.world.leaving_since
        limit_s = self.harness.world.serving_policy.leave.limit_s
        return since is not None and self.harness.now >= since + limit_s

    def check_end(self) -> None:
        """Checks that nothing is left of any request."""
        world = self.harness.world
        missing = set(self.requests) - set(self.final) - self.disconnected
        self.case.assertEqual(missing, set(), "requests without a final answer")
        table = world.requests
        for left in (table.by_handle, table.waiting, table.attempts, self.runs):
            self.case.assertEqual(left, {})
        for queue in world.queues.values():
            self.case.assertEqual(queue.held, {})
        for upstream in world.upstreams.by_id.values():
            counts = (upstream.attempts, upstream.copies, upstream.copied_tokens)
            self.case.assertEqual(counts, ({}, 0, 0), upstream.id)
