"""HTTP client of a model engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from magnoliahold.decoding import translate_errors
from magnoliahold.httpclient import HttpClient
from magnoliahold.sidecar.engine_protocol import (
    JSON_HEADERS,
    CacheEvent,
    CacheEvents,
    EndKind,
    EngineOrder,
    EngineRequest,
    EngineState,
    EngineStreamEnd,
    EngineUnavailable,
    OrderOutcome,
)
from magnoliahold.sidecar.engine_stream import EngineStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "EndKind",
    "EngineClient",
    "EngineOrder",
    "EngineRequest",
    "EngineState",
    "EngineStreamEnd",
    "EngineUnavailable",
    "OrderOutcome",
    "make_engine_client",
]

CONTROL_TIMEOUT_S = 2.0
MAX_CONTROL_BODY_BYTES = 1024 * 1024


class EngineClient:
    """Client of one engine; each stream uses its own connection."""

    def __init__(self, reactor: Reactor, base_url: str) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip("/")
        self._http = HttpClient(reactor, base_url)
        self._streams: dict[str, EngineStream] = {}

    def start_stream(
        self,
        stream_id: str,
        request: EngineRequest,
        on_tokens: Callable[[int, tuple[str, ...]], None],
        on_end: Callable[[EngineStreamEnd], None],
    ) -> None:
        """Starts a generation; `on_end` is called once, also after a failure.

        Only connecting has a timeout.
        """
        if stream_id in self._streams:
            raise ValueError(f"stream {stream_id} is already running; use another id")

        def remove_stream(end: EngineStreamEnd) -> None:
            self._streams.pop(stream_id, None)
            on_end(end)

        stream = EngineStream(self._reactor, on_tokens, remove_stream)
        self._streams[stream_id] = stream
        stream.start(self._base_url, stream_id, request)

    def cancel_stream(self, stream_id: str) -> None:
        """Closes a stream's connection, which cancels the generation at the engine.

        The stream ends as CANCELLED. An unknown stream is ignored. A cancel request is
        also sent on a new connection, since the stream's connection may no longer
        transmit anything.
        """
        stream = self._streams.get(stream_id)
        if stream is None:
            return
        stream.cancel()
        cancellation = self._http.send(
            "DELETE", f"/generate/{stream_id}", timeout_s=CONTROL_TIMEOUT_S
        )
        cancellation.addErrback(lambda _failure: None)

    def pause_stream(self, stream_id: str) -> None:
        """Stops reading a stream, which applies backpressure to the engine."""
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.pause()

    def resume_stream(self, stream_id: str) -> None:
        """Resumes reading a paused stream."""
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.resume()

    def probe(self, timeout_s: float) -> Deferred[EngineState]:
        """Reads the engine's state over a new connection.

        Fails with `EngineUnavailable`.
        """
        return self._call("GET", "/state", b"", timeout_s).addCallback(
            _decode_answer, EngineState
        )

    def send_order(self, order: EngineOrder) -> Deferred[OrderOutcome]:
        """Sends an order; after `EngineUnavailable` it may have been executed."""
        body = msgspec.json.encode(order)
        return self._call("POST", "/orders", body, CONTROL_TIMEOUT_S).addCallback(
            _classify_order_answer
        )

    def read_cache_events(self, after: int) -> Deferred[CacheEvents]:
        """Reads the cache events after a sequence number."""
        path = f"/cache-events?after={after}"
        return self._call("GET", path, b"", CONTROL_TIMEOUT_S).addCallback(
            _decode_answer, CacheEvents
        )

    def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> Deferred[HttpAnswer]:
        headers = JSON_HEADERS if body else ()
        answer = self._http.send(
            method, path, body, headers, timeout_s, MAX_CONTROL_BODY_BYTES
        )
        return answer.addErrback(_raise_unavailable)


def make_engine_client(reactor: Reactor, base_url: str) -> EngineClient:
    """Makes the client of the engine at `base_url`."""
    return EngineClient(reactor, base_url)


def _raise_unavailable(failure: Failure) -> HttpAnswer:
    raise EngineUnavailable(failure.getErrorMessage())


def _decode_answer(answer: HttpAnswer, kind: Any) -> Any:
    if answer.status != 200:
        raise EngineUnavailable(f"engine answered with status {answer.status}")
    with translate_errors(_make_malformed_error):
        return msgspec.json.decode(answer.body, type=kind)


def _make_malformed_error(reason: str) -> EngineUnavailable:
    return EngineUnavailable(f"engine sent a malformed answer: {reason}")


def _classify_order_answer(answer: HttpAnswer) -> OrderOutcome:
    if answer.status == 200:
        return OrderOutcome.ACCEPTED
    if answer.status == 409:
        return OrderOutcome.STALE
    if 400 <= answer.status < 500:
        return OrderOutcome.REJECTED
    raise EngineUnavailable(f"engine answered an order with status {answer.status}")
