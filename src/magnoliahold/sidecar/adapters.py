"""Converts results of the upstream clients into events of the sidecar's node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.core.events import (
    CacheEventsRead,
    OrderFinished,
    ProbedState,
    ServiceAnswered,
    ServiceFailed,
    StreamBroke,
    StreamProduced,
    UpstreamProbed,
)
from magnoliahold.sidecar.engine_protocol import (
    EndKind,
    EngineOrder,
    EngineRequest,
    OrderOutcome,
)
from magnoliahold.sidecar.service_client import (
    ServiceOutcomeKind,
    ServiceRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from magnoliahold.core import effects
    from magnoliahold.sidecar.engine_client import EngineClient
    from magnoliahold.sidecar.engine_protocol import (
        CacheEvents,
        EngineState,
        EngineStreamEnd,
    )
    from magnoliahold.sidecar.service_client import (
        ServiceClient,
        ServiceOutcome,
    )

    Post = Callable[[object], None]

BREAK_REASONS = {
    EndKind.REFUSED: "refused",
    EndKind.VERSION_MISSING: "version_missing",
    EndKind.CONNECTION_LOST: "engine_died",
    EndKind.CANCELLED: "broken",
    EndKind.BROKEN: "broken",
}
ORDER_OUTCOMES = {
    OrderOutcome.ACCEPTED: "done",
    OrderOutcome.STALE: "stale_fencing",
    OrderOutcome.REJECTED: "failed",
}
SERVICE_CAPACITY = 64


@define(eq=False)
class EngineAdapter:
    """The engine port of a sidecar, implemented over HTTP."""

    client: EngineClient
    post: Post
    _offsets: dict[str, int] = field(factory=dict)

    def start_stream(self, effect: effects.StartEngineStream) -> None:
        """Starts a stream, or resumes one after its prefix."""
        handle = effect.handle
        self._offsets[handle] = len(effect.prefix)
        request = EngineRequest(
            prompt=effect.prompt,
            prefix=effect.prefix,
            max_tokens=effect.max_tokens,
            priority=effect.priority,
            version=effect.version,
            workspace=effect.workspace,
        )
        self.client.start_stream(
            handle,
            request,
            lambda offset, tokens: self._handle_tokens(handle, offset, tokens),
            lambda end: self._handle_end(handle, end),
        )

    def cancel_stream(self, handle: str) -> None:
        """Cancels a stream; its further output is ignored."""
        self._offsets.pop(handle, None)
        self.client.cancel_stream(handle)

    def pause_stream(self, handle: str) -> None:
        """Stops reading a stream."""
        self.client.pause_stream(handle)

    def resume_stream(self, handle: str) -> None:
        """Resumes reading a paused stream."""
        self.client.resume_stream(handle)

    def probe_upstream(self, timeout_s: float) -> None:
        """Reads the engine's state over a new connection."""
        answer = self.client.probe(timeout_s)
        answer.addCallbacks(self._handle_state, self._handle_probe_failure)

    def send_order(self, effect: effects.SendOrder) -> None:
        """Sends an order to the engine and posts its outcome."""
        order = EngineOrder(effect.fencing, effect.kind, effect.value)

        def handle_outcome(outcome: OrderOutcome) -> None:
            self.post(OrderFinished(effect.token, ORDER_OUTCOMES[outcome]))

        def handle_failure(failure: Failure) -> None:
            self.post(OrderFinished(effect.token, "lost"))

        self.client.send_order(order).addCallbacks(handle_outcome, handle_failure)

    def read_cache_events(self, after: int) -> None:
        """Reads cache events; nothing is posted when the engine doesn't answer."""
        answer = self.client.read_cache_events(after)
        answer.addCallbacks(self._handle_cache_events, lambda _: None)

    def _handle_tokens(self, handle: str, offset: int, tokens: tuple[str, ...]) -> None:
        if handle in self._offsets:
            self._offsets[handle] = offset + len(tokens)
            self.post(StreamProduced(handle, offset, tokens))

    def _handle_end(self, handle: str, end: EngineStreamEnd) -> None:
        offset = self._offsets.pop(handle, None)
        if offset is None:
            return
        if end.kind is EndKind.FINISHED:
            self.post(StreamProduced(handle, offset, (), end.reason))
        else:
            self.post(StreamBroke(handle, BREAK_REASONS[end.kind]))

    def _handle_state(self, state: EngineState) -> None:
        probed = ProbedState(
            incarnation=state.incarnation,
            versions=tuple(state.versions),
            adapters=tuple(state.adapters),
            role=state.role,
            running=state.running + state.waiting,
            capacity=state.capacity,
            fencing=state.fencing,
        )
        self.post(UpstreamProbed(probed))

    def _handle_probe_failure(self, failure: Failure) -> None:
        self.post(UpstreamProbed(None))

    def _handle_cache_events(self, events: CacheEvents) -> None:
        numbers = [event.sequence for event in events.events]
        stored = tuple(item.prefix for item in events.events if item.kind == "stored")
        evicted = tuple(item.prefix for item in events.events if item.kind == "evicted")
        first = min(numbers, default=events.next)
        last = max(numbers, default=events.next)
        self.post(CacheEventsRead(stored, evicted, first, last))


@define(eq=False)
class ServiceAdapter:
    """The service port of a sidecar, implemented over HTTP."""

    client: ServiceClient
    post: Post
    incarnation: str

    def start_call(self, effect: effects.StartServiceCall) -> None:
        """Starts one call and posts its outcome."""
        path = f"/{effect.path.lstrip('/')}"
        request = ServiceRequest(effect.method, path, effect.headers, effect.body)
        nonce = effect.nonce
        self.client.start_call(
            nonce, request, lambda outcome: self._handle_outcome(nonce, outcome)
        )

    def cancel_call(self, nonce: str) -> None:
        """Closes the connection of a call."""
        self.client.cancel_call(nonce)

    def probe_upstream(self, timeout_s: float) -> None:
        """Checks whether the service answers over a new connection."""
        self.client.probe(timeout_s).addCallback(self._handle_probe)

    def _handle_outcome(self, nonce: str, outcome: ServiceOutcome) -> None:
        if outcome.kind is ServiceOutcomeKind.ANSWERED:
            answered = ServiceAnswered(
                nonce, outcome.status, outcome.headers, outcome.body
            )
            self.post(answered)
            return
        not_sent = outcome.kind is ServiceOutcomeKind.NOT_SENT
        self.post(ServiceFailed(nonce, not_sent, outcome.reason))

    def _handle_probe(self, live: bool) -> None:
        state = ProbedState(self.incarnation, capacity=SERVICE_CAPACITY)
        self.post(UpstreamProbed(state if live else None))
