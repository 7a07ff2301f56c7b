"""Fake callers of generations and calls, and the caller port that serves them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import define, evolve, field, frozen

from magnoliahold.core.effects import (
    AnswerCall,
    DeliverTokens,
    FinishGeneration,
    RefuseRequest,
)
from magnoliahold.core.events import (
    CallerDisconnected,
    EventId,
)
from magnoliahold.standins.chain import find_chain_break

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.task import Clock

    from magnoliahold.core.events import (
        CallArrived,
        GenerationArrived,
    )

FINAL_EFFECTS = (FinishGeneration, RefuseRequest, AnswerCall)


class Session(Protocol):
    """One open request of a fake caller."""

    def receive(self, effect: object) -> None:
        """Handles an effect of the caller port."""

    def handle_disconnect(self) -> None:
        """Handles a reset of the connection to the entry."""


class LoadBalancer(Protocol):
    """Chooses entries for callers and transmits their requests."""

    def choose_entry(self) -> str | None:
        """Returns the name of a live entry, or None when there is none."""

    def send_request(
        self, entry: str, event: GenerationArrived | CallArrived, session: Session
    ) -> str:
        """Sends a request to an entry and returns its request id."""

    def disconnect_caller(self, entry: str, request_id: str) -> None:
        """Closes a caller's connection."""


@define(eq=False)
class FakeCallerPort:
    """The caller port of one entry; a final answer ends its session."""

    clock: Clock
    delay_s: float
    sessions: dict[str, Session] = field(factory=dict)
    live: bool = True

    def deliver_tokens(self, effect: DeliverTokens) -> None:
        """Delivers tokens to a caller after its network delay."""
        self._deliver_later(effect.request_id, effect)

    def finish_generation(self, effect: FinishGeneration) -> None:
        """Ends a caller's stream of tokens."""
        self._deliver_later(effect.request_id, effect)

    def refuse_request(self, effect: RefuseRequest) -> None:
        """Delivers a refusal to a caller."""
        self._deliver_later(effect.request_id, effect)

    def answer_call(self, effect: AnswerCall) -> None:
        """Delivers the answer of a plain service to a caller."""
        self._deliver_later(effect.request_id, effect)

    def reset_connections(self) -> None:
        """Resets every caller's connection, as when the entry is killed."""
        self.live = False
        for session in self.sessions.values():
            self.clock.callLater(self.delay_s, session.handle_disconnect)
        self.sessions.clear()

    def _deliver_later(self, request_id: str, effect: object) -> None:
        session = self.sessions.get(request_id)
        if session is not None:
            self.clock.callLater(self.delay_s, self._receive, request_id, effect)

    def _receive(self, request_id: str, effect: object) -> None:
        session = self.sessions.get(request_id)
        if session is None or not self.live:
            return
        if isinstance(effect, FINAL_EFFECTS):
            del self.sessions[request_id]
        session.receive(effect)


@define(eq=False)
class GenerationCaller:
    """Requests one generation and records what it receives.

    Reconnects after the connection to its entry is reset: with the last event id,
    unless `resumes` is false, and with the tokens received so far, unless
    `sends_prefix` is false. Retries a refusal that has a retry time. `token_times`
    holds the arrival time of each token in `tokens`, and `progress` the first arrival
    time at each offset, on the simulated clock.
    """

    clock: Clock
    load_balancer: LoadBalancer
    request: GenerationArrived
    reconnect_s: float = 0.2
    max_refusals: int = 50
    resumes: bool = True
    sends_prefix: bool = True
    started_at: float = 0.0
    tokens: list[str] = field(factory=list)
    token_times: list[float] = field(factory=list)
    progress: list[float] = field(factory=list)
    finished_at: float | None = None
    finish_reason: str = ""
    refusals: list[RefuseRequest] = field(factory=list)
    gave_up: bool = False
    entry: str = ""
    request_id: str = ""
    last_event: EventId | None = None
    offsets_skipped: int = 0
    offsets_repeated: int = 0
    restarts: int = 0
    reconnects: int = 0
    on_done: Callable[[GenerationCaller], None] = field(default=lambda caller: None)

    @property
    def done(self) -> bool:
        """Whether the caller has its complete answer or has given up."""
        return self.finished_at is not None or self.gave_up

    def start_request(self) -> None:
        """Sends the request."""
        self.started_at = float(self.clock.seconds())
        self._send()

    def receive(self, effect: object) -> None:
        """Handles tokens, the end of the answer, or a refusal."""
        if self.done:
            return
        if isinstance(effect, DeliverTokens):
            self._add_tokens(effect)
        elif isinstance(effect, FinishGeneration):
            self.finish_reason = effect.reason
            self._end()
        elif isinstance(effect, RefuseRequest):
            self._handle_refusal(effect)

    def handle_disconnect(self) -> None:
        """Reconnects to a live entry after a delay."""
        if not self.done:
            self.reconnects += 1
            if not self.resumes:
                self.last_event = None
            self.clock.callLater(self.reconnect_s, self._send)

    def find_break(self) -> int | None:
        """Finds the first token that does not continue the chain of one generation."""
        return find_chain_break(self.request.prompt, self.tokens)

    def _send(self) -> None:
        entry = self.load_balancer.choose_entry()
        if entry is None:
            self.clock.callLater(self.reconnect_s, self._send)
            return
        prefix = tuple(self.tokens) if self.last_event and self.sends_prefix else ()
        event = evolve(self.request, resume_from=self.last_event, prefix=prefix)
        self.entry = entry
        self.request_id = self.load_balancer.send_request(entry, event, self)

    def _add_tokens(self, effect: DeliverTokens) -> None:
        expected = len(self.tokens)
        if effect.offset == 0 and expected and effect.lineage != self._lineage():
            self.restarts += 1
            self.tokens.clear()
            self.token_times.clear()
            expected = 0
        self.offsets_skipped += max(0, effect.offset - expected)
        self.offsets_repeated += max(0, expected - effect.offset)
        now = float(self.clock.seconds())
        self.tokens.extend(effect.tokens)
        self.token_times.extend(now for _ in effect.tokens)
        new_offsets = len(self.tokens) - len(self.progress)
        self.progress.extend(now for _ in range(new_offsets))
        offset = effect.offset + len(effect.tokens)
        self.last_event = EventId(
            effect.lineage, effect.sidecar, offset, effect.version
        )

    def _lineage(self) -> str:
        return self.last_event.lineage if self.last_event else ""

    def _handle_refusal(self, refusal: RefuseRequest) -> None:
        self.refusals.append(refusal)
        if refusal.retry_after_s is None or len(self.refusals) > self.max_refusals:
            self.gave_up = True
            self.on_done(self)
            return
        if refusal.code == "stream_lost":
            self.last_event = None
        self.clock.callLater(refusal.retry_after_s, self._send)

    def _end(self) -> None:
        self.finished_at = float(self.clock.seconds())
        self.on_done(self)


@frozen
class ReceivedRefusal:
    """A refusal of a call, with the times of its request and its arrival."""

    request_id: str
    sent_at: float
    received_at: float
    refusal: RefuseRequest


@define(eq=False)
class CallSend:
    """One send of a call; only the latest counts for its caller."""

    caller: ServiceCaller
    sent_at: float

    def receive(self, effect: object) -> None:
        """Handles the answer or the refusal."""
        if self.caller.latest_send is self:
            self.caller.receive(effect)

    def handle_disconnect(self) -> None:
        """Handles a reset of the connection to the entry."""
        if self.caller.latest_send is self:
            self.caller.handle_disconnect()


@define(eq=False)
class ServiceCaller:
    """Sends one call and keeps its final answer.

    Repeats the call up to `max_repeats` times, after a lost connection or a refusal
    that has a retry time. `races` marks one of two concurrent callers with the same
    idempotency key. `connection_lost` is set when the last connection was lost before
    an answer. `refusals` holds every refusal with the times at which its request was
    sent and the refusal arrived, on the simulated clock.
    """

    clock: Clock
    load_balancer: LoadBalancer
    request: CallArrived
    max_repeats: int = 0
    races: bool = False
    repeat_s: float = 0.1
    started_at: float = 0.0
    answered_at: float | None = None
    answer: AnswerCall | None = None
    refusal: RefuseRequest | None = None
    connection_lost: bool = False
    repeats: int = 0
    request_id: str = ""
    latest_send: CallSend | None = None
    refusals: list[ReceivedRefusal] = field(factory=list)
    on_done: Callable[[ServiceCaller], None] = field(default=lambda caller: None)

    @property
    def done(self) -> bool:
        """Whether the caller has a final answer."""
        return self.answered_at is not None

    def start_request(self) -> None:
        """Sends the call to a live entry."""
        self.started_at = float(self.clock.seconds())
        self._send()

    def receive(self, effect: object) -> None:
        """Handles the answer or the refusal."""
        if self.done:
            return
        if isinstance(effect, AnswerCall):
            self.answer = effect
            self._end()
        elif isinstance(effect, RefuseRequest):
            now = float(self.clock.seconds())
            if self.latest_send is not None:
                latest_send = self.latest_send
                received = ReceivedRefusal(
                    effect.request_id, latest_send.sent_at, now, effect
                )
                self.refusals.append(received)
            if effect.retry_after_s is None or not self._repeat(effect.retry_after_s):
                self.refusal = effect
                self._end()

    def handle_disconnect(self) -> None:
        """Repeats the call if it may be repeated, or else ends without an answer."""
        if not self.done and not self._repeat(self.repeat_s):
            self.connection_lost = True
            self._end()

    def _send(self) -> None:
        entry = self.load_balancer.choose_entry()
        if entry is None:
            self.handle_disconnect()
        else:
            self.latest_send = CallSend(self, float(self.clock.seconds()))
            self.request_id = self.load_balancer.send_request(
                entry, self.request, self.latest_send
            )

    def _repeat(self, delay_s: float) -> bool:
        self.latest_send = None
        if self.repeats >= self.max_repeats:
            return False
        self.repeats += 1
        self.clock.callLater(delay_s, self._send)
        return True

    def _end(self) -> None:
        self.answered_at = float(self.clock.seconds())
        self.on_done(self)


__all__ = [
    "CallerDisconnected",
    "FakeCallerPort",
    "GenerationCaller",
    "LoadBalancer",
    "ReceivedRefusal",
    "ServiceCaller",
    "Session",
]
