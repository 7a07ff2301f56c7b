"""Sends a single request to an entry and checks its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from attrs import define, field, frozen
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone

from magnoliahold.httpconnections import (
    DirectConnector,
    build_agent,
    start_request,
)
from magnoliahold.measure.load.answers import (
    StreamAnswer,
    find_echo_fault,
    find_text_fault,
    read_error_code,
    read_text,
)
from magnoliahold.measure.load.mix import GENERATION_PATH

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from magnoliahold.measure.load.mix import PlannedRequest

REQUEST_TIMEOUT_S = 60.0
JSON_HEADER = ("content-type", "application/json")


@frozen
class LoadTarget:
    """URL and credential for the load, and the template's `model` and `service`."""

    url: str
    credential: str
    model: str
    service: str


@frozen
class Outcome:
    """Result of a request; `error` is empty when its answer was complete.

    `broken` marks an answer with a fault in what the caller received. `first_s`, the
    time to the first text of a stream or to a whole body, is None when none arrived.
    Times are in seconds.
    """

    request: PlannedRequest
    error: str
    broken: bool
    first_s: float | None
    total_s: float
    gaps_s: tuple[float, ...]
    characters: int


@define(eq=False)
class Exchange:
    """One request in progress; `on_end` is called once, with its outcome."""

    reactor: Any
    target: LoadTarget
    request: PlannedRequest
    on_end: Callable[[Outcome], None]
    started_at: float = 0.0
    first_at: float | None = None
    last_at: float = 0.0
    gaps_s: list[float] = field(factory=list)
    status: int = 0
    body: bytearray = field(factory=bytearray)
    ended: bool = False
    _stream: StreamAnswer | None = None
    _connector: Any = None
    _timeout: Any = None
    _pending_response: Any = None

    def start(self) -> None:
        """Sends the request on a new connection."""
        self.started_at = self.reactor.seconds()
        self._connector = DirectConnector(self.reactor)
        self._timeout = self.reactor.callLater(REQUEST_TIMEOUT_S, self.end, "timeout")
        agent = build_agent(self.reactor, self._connector)
        method, path, body, headers = self._build_request()
        self._pending_response = start_request(
            agent, method, self.target.url + path, body, headers
        )
        self._pending_response.addCallbacks(self._handle_response, self._handle_failure)

    def end(self, error: str, *, broken: bool = False) -> None:
        """Ends the exchange; `error` is empty for a complete answer."""
        if self.ended:
            return
        self.ended = True
        if self._timeout.active():
            self._timeout.cancel()
        self._connector.abort()
        self._pending_response.cancel()
        first_s = None if self.first_at is None else self.first_at - self.started_at
        total_s = self.reactor.seconds() - self.started_at
        characters = len(self._stream.text) if self._stream else len(self.body)
        gaps = tuple(self.gaps_s)
        self.on_end(
            Outcome(self.request, error, broken, first_s, total_s, gaps, characters)
        )

    def _build_request(self) -> tuple[str, str, bytes, tuple[tuple[str, str], ...]]:
        """Returns the method, path, body and headers of the request."""
        request = self.request
        credential = ("authorization", f"Bearer {self.target.credential}")
        if request.max_tokens:
            document = {
                "model": self.target.model,
                "prompt": request.prompt,
                "max_tokens": request.max_tokens,
                "stream": request.kind.stream,
            }
            body = msgspec.json.encode(document)
            return "POST", GENERATION_PATH, body, (credential, JSON_HEADER)
        path = f"/v1/services/{self.target.service}{self._call_path}"
        if request.kind.name == "lookup":
            return "GET", path, b"", (credential,)
        key = ("idempotency-key", f"load-{request.prompt.split()[2]}")
        return "POST", path, request.prompt.encode(), (credential, key)

    @property
    def _call_path(self) -> str:
        return f"/{self.request.kind.name}/{self.request.serial}"

    def _handle_response(self, response: Any) -> None:
        if self.ended:
            return
        self.status = response.code
        if self.status == 200 and self.request.kind.stream:
            self._stream = StreamAnswer(self._record_text)
        response.deliverBody(_BodyReader(self._handle_data, self._finish))

    def _record_text(self) -> None:
        now = self.reactor.seconds()
        if self.first_at is None:
            self.first_at = now
        else:
            self.gaps_s.append(now - self.last_at)
        self.last_at = now

    def _handle_data(self, data: bytes) -> None:
        if self._stream is not None:
            self._stream.add_data(data)
        else:
            self.body.extend(data)

    def _finish(self, complete: bool) -> None:
        if self.ended:
            return
        content = bytes(self.body)
        if self.status != 200:
            self.end(read_error_code(content))
        elif not complete:
            self.end("connection_lost", broken=self._stream is not None)
        elif self._stream is not None:
            self._finish_stream(self._stream)
        else:
            self._finish_body(content)

    def _finish_stream(self, answer: StreamAnswer) -> None:
        request = self.request
        if answer.error:
            self.end(answer.error)
            return
        fault = find_text_fault(request.prompt, answer.text, request.max_tokens)
        fault = fault or ("" if answer.done else "no_closing_event")
        self.end(fault, broken=bool(fault))

    def _finish_body(self, content: bytes) -> None:
        request = self.request
        self.first_at = self.reactor.seconds()
        if request.max_tokens:
            text = read_text(content) or ""
            fault = find_text_fault(request.prompt, text, request.max_tokens)
        else:
            body = request.prompt if request.kind.name == "booking" else ""
            fault = find_echo_fault(self._call_path, body, content)
        self.end(fault, broken=bool(fault))

    def _handle_failure(self, failure: Failure) -> None:
        self.end("no_connection" if not self._connector.connected else "no_answer")


class _BodyReader(Protocol):
    """Forwards a response body as it arrives."""

    def __init__(
        self, on_data: Callable[[bytes], None], on_end: Callable[[bool], None]
    ) -> None:
        self._on_data = on_data
        self._on_end = on_end

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._on_data(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._on_end(bool(reason.check(ResponseDone)))
