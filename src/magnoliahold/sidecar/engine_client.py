"""HTTP client of a model engine."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

import msgspec
from attrs import frozen
from twisted.internet.protocol import Protocol

from magnoliahold.httpclient import (
    DirectConnector,
    HttpClient,
    build_agent,
    describe_failure,
    start_request,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor

CONTROL_TIMEOUT_S = 2.0
MAX_CONTROL_BODY_BYTES = 1024 * 1024
MAX_LINE_BYTES = 1024 * 1024
JSON_HEADERS = (("content-type", "application/json"),)


class EndKind(Enum):
    """How a stream of an engine ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    VERSION_MISSING = "version_missing"
    CONNECTION_LOST = "connection_lost"
    BROKEN = "broken"


@frozen
class EngineRequest:
    """A generation to start or, with a prefix, to continue.

    `max_tokens` bounds the whole output, the tokens in `prefix` included. A smaller
    `priority` is more urgent.
    """

    prompt: str
    prefix: tuple[str, ...]
    max_tokens: int
    priority: int
    version: str
    workspace: str


@frozen
class EngineStreamEnd:
    """The end of a stream.

    `reason` is the engine's finish reason when the kind is FINISHED.
    """

    kind: EndKind
    reason: str


@frozen
class EngineState:
    """What an engine reports of itself; the load lags."""

    incarnation: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    running: int
    waiting: int
    fencing: int
    capacity: int


@frozen
class EngineOrder:
    """An order to an engine, such as "load_version", with a fencing number."""

    fencing: int
    kind: str
    value: str


class OrderOutcome(Enum):
    """What an engine made of an order."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REJECTED = "rejected"


@frozen
class CacheEvent:
    """A prompt prefix was stored ("stored") or evicted ("evicted")."""

    sequence: int
    kind: str
    prefix: str


@frozen
class CacheEvents:
    """Events after a sequence number; ask after `next` the next time."""

    events: tuple[CacheEvent, ...]
    next: int


class EngineUnavailable(Exception):  # noqa: N818
    """The engine gave no usable answer; probe it again later."""


@frozen
class _StreamLine:
    offset: int = -1
    tokens: tuple[str, ...] = ()
    finished: str = ""


class EngineClient:
    """Speaks to one engine; each stream has a connection of its own."""

    def __init__(self, reactor: Reactor, base_url: str) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip("/")
        self._http = HttpClient(reactor, base_url)
        self._streams: dict[str, _EngineStream] = {}

    def start_stream(
        self,
        stream_id: str,
        request: EngineRequest,
        on_tokens: Callable[[int, tuple[str, ...]], None],
        on_end: Callable[[EngineStreamEnd], None],
    ) -> None:
        """Starts a generation; `on_end` is called once, also after a failure.

        There is no timeout but that for connecting.
        """
        if stream_id in self._streams:
            raise ValueError(f"stream {stream_id} runs already; use another id")

        def forget_stream(end: EngineStreamEnd) -> None:
            self._streams.pop(stream_id, None)
            on_end(end)

        stream = _EngineStream(self._reactor, on_tokens, forget_stream)
        self._streams[stream_id] = stream
        stream.start(self._base_url, stream_id, request)

    def cancel_stream(self, stream_id: str) -> None:
        """Drops a stream's connection, which cancels the generation at the engine.

        The stream ends as CANCELLED. An unknown stream is ignored. The engine is told
        on a new connection besides, since the stream's may have gone silent.
        """
        stream = self._streams.get(stream_id)
        if stream is None:
            return
        stream.cancel()
        telling = self._http.send(
            "DELETE", f"/generate/{stream_id}", timeout_s=CONTROL_TIMEOUT_S
        )
        telling.addErrback(lambda _failure: None)

    def pause_stream(self, stream_id: str) -> None:
        """Stops reading a stream, so that the engine's side fills up."""
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.pause()

    def resume_stream(self, stream_id: str) -> None:
        """Reads a paused stream again."""
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
        """Sends an order; after `EngineUnavailable` it may have been carried out."""
        body = msgspec.json.encode(order)
        return self._call("POST", "/orders", body, CONTROL_TIMEOUT_S).addCallback(
            _judge_order
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
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise EngineUnavailable(f"malformed answer of the engine: {error}") from error


def _judge_order(answer: HttpAnswer) -> OrderOutcome:
    if answer.status == 200:
        return OrderOutcome.ACCEPTED
    if answer.status == 409:
        return OrderOutcome.STALE
    if 400 <= answer.status < 500:
        return OrderOutcome.REJECTED
    raise EngineUnavailable(f"engine answered an order with status {answer.status}")


class _EngineStream:
    """One generation at the engine."""

    def __init__(
        self,
        reactor: Reactor,
        on_tokens: Callable[[int, tuple[str, ...]], None],
        on_end: Callable[[EngineStreamEnd], None],
    ) -> None:
        self._connector = DirectConnector(reactor)
        self._agent = build_agent(reactor, self._connector)
        self._on_tokens = on_tokens
        self._on_end = on_end
        self._reader: _LineReader | None = None
        self._paused = False
        self._ended = False
        self._waiting: Deferred[Any] | None = None

    def start(self, base_url: str, stream_id: str, request: EngineRequest) -> None:
        body = msgspec.json.encode(
            {
                "id": stream_id,
                "prompt": request.prompt,
                "prefix": request.prefix,
                "max_tokens": request.max_tokens,
                "priority": request.priority,
                "version": request.version,
                "workspace": request.workspace,
            }
        )
        self._waiting = start_request(
            self._agent, "POST", f"{base_url}/generate", body, JSON_HEADERS
        )
        self._waiting.addCallbacks(self._read_answer, self._lose_connection)

    def cancel(self) -> None:
        self._end(EndKind.CANCELLED, "cancelled by the caller")

    def pause(self) -> None:
        self._paused = True
        if self._reader is not None:
            self._reader.pause()

    def resume(self) -> None:
        self._paused = False
        if self._reader is not None:
            self._reader.resume()

    def _read_answer(self, response: Any) -> None:
        if self._ended:
            return
        if response.code != 200:
            self._end(_classify_status(response.code), f"status {response.code}")
            return
        self._reader = _LineReader(self._take_line, self._finish_body)
        response.deliverBody(self._reader)
        if self._paused:
            self._reader.pause()

    def _lose_connection(self, failure: Failure) -> None:
        self._end(EndKind.CONNECTION_LOST, describe_failure(failure))

    def _take_line(self, line: bytes) -> None:
        if self._ended:
            return
        try:
            parsed = msgspec.json.decode(line, type=_StreamLine)
        except msgspec.MsgspecError as error:
            self._end(EndKind.BROKEN, f"malformed line: {error}")
            return
        if parsed.finished:
            self._end(_classify_finish(parsed.finished), parsed.finished)
        elif parsed.offset < 0:
            self._end(EndKind.BROKEN, "line without an offset")
        elif parsed.tokens:
            self._on_tokens(parsed.offset, parsed.tokens)

    def _finish_body(self, problem: EngineStreamEnd) -> None:
        self._end(problem.kind, problem.reason)

    def _end(self, kind: EndKind, reason: str) -> None:
        if self._ended:
            return
        self._ended = True
        self._connector.abort()
        if self._waiting is not None:
            self._waiting.cancel()
        self._on_end(EngineStreamEnd(kind, reason))


def _classify_status(status: int) -> EndKind:
    if status == 409:
        return EndKind.VERSION_MISSING
    if status == 503:
        return EndKind.REFUSED
    return EndKind.BROKEN


def _classify_finish(finished: str) -> EndKind:
    if finished in ("length", "stop"):
        return EndKind.FINISHED
    if finished == "cancelled":
        return EndKind.CANCELLED
    return EndKind.BROKEN


class _LineReader(Protocol):
    """Cuts a body into lines of bounded length."""

    def __init__(
        self,
        on_line: Callable[[bytes], None],
        on_problem: Callable[[EngineStreamEnd], None],
    ) -> None:
        self._on_line = on_line
        self._on_problem = on_problem
        self._rest = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            self._on_line(line)
        if len(self._rest) > MAX_LINE_BYTES:
            reason = f"line is longer than {MAX_LINE_BYTES} bytes"
            self._on_problem(EngineStreamEnd(EndKind.BROKEN, reason))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        description = describe_failure(reason)
        self._on_problem(
            EngineStreamEnd(
                EndKind.CONNECTION_LOST, f"ended without a finish: {description}"
            )
        )

    def pause(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.pauseProducing()

    def resume(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.resumeProducing()
