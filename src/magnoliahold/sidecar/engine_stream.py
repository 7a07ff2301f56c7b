"""Reads one generation of a model engine as newline-delimited JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from attrs import frozen
from twisted.internet.protocol import Protocol

from magnoliahold.decoding import describe_error
from magnoliahold.httpanswers import AnswerTooLongError
from magnoliahold.httpconnections import (
    DirectConnector,
    build_agent,
    describe_failure,
    start_request,
)
from magnoliahold.sidecar.engine_protocol import (
    JSON_HEADERS,
    EndKind,
    EngineStreamEnd,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from magnoliahold.runtime import Reactor
    from magnoliahold.sidecar.engine_protocol import EngineRequest

MAX_LINE_BYTES = 1024 * 1024
# The framing of a line may take as many bytes as the line.
MAX_LINE_WIRE_BYTES = 2 * MAX_LINE_BYTES


@frozen
class _StreamLine:
    offset: int = -1
    tokens: tuple[str, ...] = ()
    finished: str = ""


class EngineStream:
    """One generation at the engine, on its own connection.

    `on_tokens` receives an offset and tokens; `on_end` is called once, at the end.
    """

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
        self._length = 0
        self._pending_response: Deferred[Any] | None = None

    def start(self, base_url: str, stream_id: str, request: EngineRequest) -> None:
        """Sends the request."""
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
        self._pending_response = start_request(
            self._agent, "POST", f"{base_url}/generate", body, JSON_HEADERS
        )
        self._pending_response.addCallbacks(
            self._read_answer, self._handle_lost_connection
        )

    def cancel(self) -> None:
        """Ends the stream as CANCELLED and closes its connection."""
        self._end(EndKind.CANCELLED, "cancelled by the caller")

    def pause(self) -> None:
        """Stops reading the connection."""
        self._paused = True
        if self._reader is not None:
            self._reader.pause()

    def resume(self) -> None:
        """Resumes reading the connection."""
        self._paused = False
        if self._reader is not None:
            self._reader.resume()

    def _read_answer(self, response: Any) -> None:
        if self._ended:
            return
        if response.code != 200:
            self._end(_classify_status(response.code), f"status {response.code}")
            return
        self._connector.allow_bytes(MAX_LINE_WIRE_BYTES)
        self._reader = _LineReader(
            self._handle_line, self._handle_long_line, self._end_unfinished
        )
        response.deliverBody(self._reader)
        if self._paused:
            self._reader.pause()

    def _handle_lost_connection(self, failure: Failure) -> None:
        rejection = self._connector.rejection
        too_long = rejection is not None and rejection.check(AnswerTooLongError)
        kind = EndKind.BROKEN if too_long else EndKind.CONNECTION_LOST
        self._end(kind, describe_failure(failure))

    def _handle_line(self, line: bytes) -> None:
        if self._ended:
            return
        try:
            parsed = msgspec.json.decode(line, type=_StreamLine)
        except Exception as error:
            self._end(EndKind.BROKEN, f"malformed line: {describe_error(error)}")
            return
        if parsed.finished:
            self._end(_classify_finish(parsed.finished), parsed.finished)
        elif parsed.offset < 0:
            self._end(EndKind.BROKEN, "line without an offset")
        elif parsed.tokens:
            self._count_tokens(parsed.offset + len(parsed.tokens))
            self._on_tokens(parsed.offset, parsed.tokens)

    def _count_tokens(self, length: int) -> None:
        """Allows the bytes of a further line if the output has grown."""
        if length > self._length:
            self._length = length
            self._connector.allow_bytes(MAX_LINE_WIRE_BYTES)

    def _handle_long_line(self, reason: str) -> None:
        self._end(EndKind.BROKEN, reason)

    def _end_unfinished(self, reason: str) -> None:
        """Ends a stream without a finish line; a rejected one is not lost."""
        rejection = self._connector.rejection
        if rejection is not None:
            self._end(EndKind.BROKEN, describe_failure(rejection))
        else:
            self._end(EndKind.CONNECTION_LOST, reason)

    def _end(self, kind: EndKind, reason: str) -> None:
        if self._ended:
            return
        self._ended = True
        self._connector.abort()
        if self._pending_response is not None:
            self._pending_response.cancel()
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
    """Splits a body into lines of bounded length."""

    def __init__(
        self,
        on_line: Callable[[bytes], None],
        on_long_line: Callable[[str], None],
        on_end: Callable[[str], None],
    ) -> None:
        self._on_line = on_line
        self._on_long_line = on_long_line
        self._on_end = on_end
        self._line = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        *ends, rest = data.split(b"\n")
        for end in ends:
            self._line += end
            line = bytes(self._line)
            self._line.clear()
            self._on_line(line)
        self._line += rest
        if len(self._line) > MAX_LINE_BYTES:
            self._on_long_line(f"line is longer than {MAX_LINE_BYTES} bytes")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._on_end(f"ended without a finish line: {describe_failure(reason)}")

    def pause(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.pauseProducing()

    def resume(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.resumeProducing()
