"""Faked callers of generations and calls, and the caller port that serves them."""

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
    """One open request of a faked caller."""

    def receive(self, effect: object) -> None:
        """Takes an effect of the caller port."""

    def lose_connection(self) -> None:
        """Notices that the entry's connection was reset."""


class Door(Protocol):
    """The balancer: gives a caller a live entry."""

    def choose_entry(self) -> str | None:
        """Chooses a live entry by name, or None when there is none."""

    def send_request(
        self, entry: str, event: GenerationArrived | CallArrived, session: Session
    ) -> str:
        """Sends a request to an entry and returns its request id."""

    def drop_request(self, entry: str, request_id: str) -> None:
        """Closes a caller's connection."""


@define(eq=False)
class FakeCallerPort:
    """The caller port of one faked entry; a final answer ends its session."""

    clock: Clock
    delay_s: float
    sessions: dict[str, Session] = field(factory=dict)
    live: bool = True

    def deliver_tokens(self, effect: DeliverTokens) -> None:
        """Gives a caller tokens after the delay to it."""
        self._pass_on(effect.request_id, effect)

    def finish_generation(self, effect: FinishGeneration) -> None:
        """Closes a caller's answer."""
        self._pass_on(effect.request_id, effect)

    def refuse_request(self, effect: RefuseRequest) -> None:
        """Gives a caller its final answer without a result."""
        self._pass_on(effect.request_id, effect)

    def answer_call(self, effect: AnswerCall) -> None:
        """Gives a caller the answer of a plain service."""
        self._pass_on(effect.request_id, effect)

    def reset_connections(self) -> None:
        """Resets every caller's connection, as when the entry dies."""
        self.live = False
        for session in self.sessions.values():
            self.clock.callLater(self.delay_s, session.lose_connection)
        self.sessions.clear()

    def _pass_on(self, request_id: str, effect: object) -> None:
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
    """Asks for one generation and keeps what it receives.

    Reconnects after its entry is lost, with the last event id unless `resumes` is
    false and with the tokens it has unless `sends_prefix` is false. Comes back after a
    refusal that names a time. `token_times` holds the arrival of each kept token and
    `progress` the first arrival at each offset, on the rig's clock.
    """

    clock: Clock
    door: Door
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
        """Whether the caller has its whole answer or has given up."""
        return self.finished_at is not None or self.gave_up

    def start_request(self) -> None:
        """Sends the request."""
        self.started_at = float(self.clock.seconds())
        self._send()

    def receive(self, effect: object) -> None:
        """Takes tokens, the end of the answer or a refusal."""
        if self.done:
            return
        if isinstance(effect, DeliverTokens):
            self._take_tokens(effect)
        elif isinstance(effect, FinishGeneration):
            self.finish_reason = effect.reason
            self._end()
        elif isinstance(effect, RefuseRequest):
            self._take_refusal(effect)

    def lose_connection(self) -> None:
        """Comes back to another entry."""
        if not self.done:
            self.reconnects += 1
            if not self.resumes:
                self.last_event = None
            self.clock.callLater(self.reconnect_s, self._send)

    def find_break(self) -> int | None:
        """Finds where the received tokens are not one generation's chain."""
        return find_chain_break(self.request.prompt, self.tokens)

    def _send(self) -> None:
        entry = self.door.choose_entry()
        if entry is None:
            self.clock.callLater(self.reconnect_s, self._send)
            return
        prefix = tuple(self.tokens) if self.last_event and self.sends_prefix else ()
        event = evolve(self.request, resume_from=self.last_event, prefix=prefix)
        self.entry = entry
        self.request_id = self.door.send_request(entry, event, self)

    def _take_tokens(self, effect: DeliverTokens) -> None:
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
        fresh = len(self.tokens) - len(self.progress)
        self.progress.extend(now for _ in range(fresh))
        offset = effect.offset + len(effect.tokens)
        self.last_event = EventId(
            effect.lineage, effect.sidecar, offset, effect.version
        )

    def _lineage(self) -> str:
        return self.last_event.lineage if self.last_event else ""

    def _take_refusal(self, refusal: RefuseRequest) -> None:
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
class ToldRefusal:
    """One refusal of a call."""

    request_id: str
    sent_at: float
    told_at: float
    refusal: RefuseRequest


@define(eq=False)
class ServiceSending:
    """One sending of a call; only the latest one counts for its caller."""

    caller: ServiceCaller
    sent_at: float

    def receive(self, effect: object) -> None:
        """Takes the answer or the refusal."""
        if self.caller.sending is self:
            self.caller.receive(effect)

    def lose_connection(self) -> None:
        """Notices that the entry's connection was reset."""
        if self.caller.sending is self:
            self.caller.lose_connection()


@define(eq=False)
class ServiceCaller:
    """Sends one call and keeps its final answer.

    A call that may be sent again, up to `max_repeats` times, is sent to another entry
    after its connection was lost or a refusal that names a time. `races` marks one of
    two callers with the same key. `connection_lost` is set when the last entry died
    before it answered. `told` holds every refusal with the times at which its request
    was sent and it came, on the rig's clock.
    """

    clock: Clock
    door: Door
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
    sending: ServiceSending | None = None
    told: list[ToldRefusal] = field(factory=list)
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
        """Takes the answer or the refusal."""
        if self.done:
            return
        if isinstance(effect, AnswerCall):
            self.answer = effect
            self._end()
        elif isinstance(effect, RefuseRequest):
            now = float(self.clock.seconds())
            if self.sending is not None:
                sending = self.sending
                told = ToldRefusal(effect.request_id, sending.sent_at, now, effect)
                self.told.append(told)
            if effect.retry_after_s is None or not self._repeat(effect.retry_after_s):
                self.refusal = effect
                self._end()

    def lose_connection(self) -> None:
        """Sends the call again where that is allowed, or ends without an answer."""
        if not self.done and not self._repeat(self.repeat_s):
            self.connection_lost = True
            self._end()

    def _send(self) -> None:
        entry = self.door.choose_entry()
        if entry is None:
            self.lose_connection()
        else:
            self.sending = ServiceSending(self, float(self.clock.seconds()))
            self.request_id = self.door.send_request(entry, self.request, self.sending)

    def _repeat(self, delay_s: float) -> bool:
        self.sending = None
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
    "Door",
    "FakeCallerPort",
    "GenerationCaller",
    "ServiceCaller",
    "Session",
    "ToldRefusal",
]
