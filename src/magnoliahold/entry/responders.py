"""Keeps the open requests of callers and writes their answers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
from attrs import define, field
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from magnoliahold.core.events import CallerPaused, CallerResumed, EventId
from magnoliahold.entry.answers import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    encode_error,
    format_event_id_prefix,
    make_completion,
    make_error,
    write_error,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core import effects

TEXT_NAME = b'"text":'
EMPTY_TEXT = TEXT_NAME + b'""'
UNFORWARDED_RESPONSE_HEADERS = frozenset(
    {"connection", "content-length", "transfer-encoding", "keep-alive", "server"}
)


class Responder(Protocol):
    """Writes the answer of one request."""

    def deliver_tokens(self, effect: effects.DeliverTokens) -> None:
        """Writes or buffers tokens."""

    def finish_generation(self, effect: effects.FinishGeneration) -> None:
        """Ends the answer."""

    def refuse_request(self, effect: effects.RefuseRequest) -> None:
        """Answers with an error."""

    def answer_call(self, effect: effects.AnswerCall) -> None:
        """Forwards the answer of a plain service."""


@implementer(IPushProducer)
class StreamResponder:
    """Writes a generation as server-sent events, with backpressure from the caller."""

    def __init__(
        self, request: Any, request_id: str, work: str, post: Callable[[object], None]
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._work = work
        self._post = post
        self._created = int(time.time())
        self._started = False
        self._last_id = b""
        self._chunk_start, self._chunk_end = self._split_chunk()

    def deliver_tokens(self, effect: effects.DeliverTokens) -> None:
        """Writes each token as its own event, all in one write."""
        self._start()
        event_id = EventId(effect.lineage, effect.sidecar, 0, effect.version)
        id_prefix = format_event_id_prefix(event_id)
        events = []
        for offset, token in enumerate(effect.tokens, effect.offset + 1):
            text = msgspec.json.encode(token)
            self._last_id = f"id: {id_prefix}{offset}\n".encode()
            events.append(self._last_id + self._chunk_start + text + self._chunk_end)
        self._request.write(b"".join(events))

    def finish_generation(self, effect: effects.FinishGeneration) -> None:
        """Writes the finish reason and the closing event."""
        self._start()
        chunk = self._make_chunk("", effect.reason)
        ending = b"data: " + chunk + b"\n\ndata: [DONE]\n\n"
        self._request.write(self._last_id + ending)
        self._close()

    def refuse_request(self, effect: effects.RefuseRequest) -> None:
        """Answers with an error, as an event when the stream has started."""
        error = make_error(effect)
        if not self._started:
            write_error(self._request, effect.status, error)
            return
        self._request.write(b"event: error\ndata: " + encode_error(error) + b"\n\n")
        self._close()

    def answer_call(self, effect: effects.AnswerCall) -> None:
        """Does nothing: generations have no such answer."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Reports that the caller reads too slowly."""
        self._post(CallerPaused(self._request_id))

    def resumeProducing(self) -> None:  # noqa: N802
        """Reports that the caller reads again."""
        self._post(CallerResumed(self._request_id))

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: `notifyFinish` reports the end of the connection."""

    def _start(self) -> None:
        if self._started:
            return
        self._started = True
        self._request.setHeader(b"content-type", EVENT_STREAM_TYPE)
        self._request.setHeader(b"cache-control", b"no-store")
        self._request.registerProducer(self, True)

    def _close(self) -> None:
        self._request.unregisterProducer()
        self._request.finish()

    def _make_chunk(self, text: str, reason: str | None) -> bytes:
        document = make_completion(
            self._request_id, self._work, text, reason, self._created
        )
        return msgspec.json.encode(document)

    def _split_chunk(self) -> tuple[bytes, bytes]:
        """Encodes the parts before and after the text, which all chunks share."""
        chunk = self._make_chunk("", None)
        start, _, end = chunk.rpartition(EMPTY_TEXT)
        return b"data: " + start + TEXT_NAME, end + b"\n\n"


class BufferedResponder:
    """Buffers a generation and writes it as one JSON body."""

    def __init__(self, request: Any, request_id: str, work: str) -> None:
        self._request = request
        self._request_id = request_id
        self._work = work
        self._lineage = ""
        self._tokens: list[str] = []

    def deliver_tokens(self, effect: effects.DeliverTokens) -> None:
        """Buffers tokens, discarding those of an abandoned lineage."""
        if effect.lineage != self._lineage and effect.offset == 0:
            self._tokens.clear()
        self._lineage = effect.lineage
        self._tokens.extend(effect.tokens)

    def finish_generation(self, effect: effects.FinishGeneration) -> None:
        """Writes the complete answer."""
        text = "".join(self._tokens)
        created = int(time.time())
        document = make_completion(
            self._request_id, self._work, text, effect.reason, created
        )
        document["usage"] = {"completion_tokens": len(self._tokens)}
        self._request.setHeader(b"content-type", JSON_TYPE)
        self._request.write(msgspec.json.encode(document))
        self._request.finish()

    def refuse_request(self, effect: effects.RefuseRequest) -> None:
        """Answers with an error."""
        write_error(self._request, effect.status, make_error(effect))

    def answer_call(self, effect: effects.AnswerCall) -> None:
        """Does nothing: generations have no such answer."""


class CallResponder:
    """Writes the answer of a plain service."""

    def __init__(self, request: Any) -> None:
        self._request = request

    def deliver_tokens(self, effect: effects.DeliverTokens) -> None:
        """Does nothing: calls have no tokens."""

    def finish_generation(self, effect: effects.FinishGeneration) -> None:
        """Does nothing: calls have no tokens."""

    def refuse_request(self, effect: effects.RefuseRequest) -> None:
        """Answers with an error."""
        write_error(self._request, effect.status, make_error(effect))

    def answer_call(self, effect: effects.AnswerCall) -> None:
        """Forwards status, headers and body."""
        self._request.setResponseCode(effect.status)
        for name, value in effect.headers:
            if name.lower() not in UNFORWARDED_RESPONSE_HEADERS:
                self._request.setHeader(name.lower().encode(), value.encode())
        self._request.write(effect.body)
        self._request.finish()


@define(eq=False)
class OpenRequests:
    """The caller port of an entry, which keeps responders by request id."""

    responders: dict[str, Responder] = field(factory=dict)

    def deliver_tokens(self, effect: effects.DeliverTokens) -> None:
        """Sends tokens to a caller."""
        responder = self.responders.get(effect.request_id)
        if responder is not None:
            responder.deliver_tokens(effect)

    def finish_generation(self, effect: effects.FinishGeneration) -> None:
        """Completes a caller's answer after its last token."""
        responder = self.responders.pop(effect.request_id, None)
        if responder is not None:
            responder.finish_generation(effect)

    def refuse_request(self, effect: effects.RefuseRequest) -> None:
        """Answers a caller with an error."""
        responder = self.responders.pop(effect.request_id, None)
        if responder is not None:
            responder.refuse_request(effect)

    def answer_call(self, effect: effects.AnswerCall) -> None:
        """Sends the answer of a plain service to a caller."""
        responder = self.responders.pop(effect.request_id, None)
        if responder is not None:
            responder.answer_call(effect)
