"""HTTP requests with bounded bodies, and parsing of the callers' JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import xxhash
from attrs import frozen
from twisted.web.server import Request, Site

from magnoliahold.decoding import translate_errors
from magnoliahold.entry.answers import RequestRejected, make_malformed_rejection
from magnoliahold.entry.untaken import UntakenAnswers

if TYPE_CHECKING:
    from twisted.web.resource import Resource

    from magnoliahold.core.events import EventId

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 131_072
BEARER = "Bearer "
IDLE_CONNECTION_TIMEOUT_S = 60


class BoundedRequest(Request):
    """A request that discards body bytes beyond the site's limit."""

    body_bytes = 0

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Stores a chunk of the body unless the limit is exceeded."""
        self.body_bytes += len(data)
        if not self.is_too_large:
            super().handleContentChunk(data)  # type: ignore[no-untyped-call]

    @property
    def is_too_large(self) -> bool:
        """Whether the body is larger than the site allows."""
        site: Any = self.channel.site  # type: ignore[attr-defined]
        return self.body_bytes > int(site.max_body_bytes)


class BoundedSite(Site):
    """A site whose requests have bounded bodies.

    `untaken` tells what its callers still have to take.
    """

    def __init__(self, resource: Resource, max_body_bytes: int, reactor: Any) -> None:
        super().__init__(  # type: ignore[no-untyped-call]
            resource,
            requestFactory=BoundedRequest,
            timeout=IDLE_CONNECTION_TIMEOUT_S,
            reactor=reactor,
        )
        self.max_body_bytes = max_body_bytes
        self.noisy = False
        self.untaken = UntakenAnswers(reactor)

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Makes a connection."""
        protocol: Any = super().buildProtocol(addr)  # type: ignore[no-untyped-call]
        self.untaken.add_connection(protocol._channel)
        return protocol


@frozen
class CompletionBody:
    """The fields of `POST /v1/completions` that are read; others are ignored.

    `prefix` holds the texts of all events received so far, in order. A caller that
    sends them with Last-Event-ID can resume its generation even when both the entry and
    the upstream were lost.
    """

    model: str
    prompt: str | list[str]
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    prefix: tuple[str, ...] = ()


_completion_decoder = msgspec.json.Decoder(CompletionBody)


def read_completion(request: BoundedRequest) -> CompletionBody:
    """Parses a completion request; raises RequestRejected when it is malformed."""
    content = read_body(request)
    with translate_errors(make_malformed_rejection):
        body = _completion_decoder.decode(content)
    if not 1 <= body.max_tokens <= MAX_TOKENS_LIMIT:
        message = f"max_tokens must be from 1 to {MAX_TOKENS_LIMIT}"
        raise RequestRejected(400, "malformed_request", message)
    if isinstance(body.prompt, list) and len(body.prompt) != 1:
        message = "prompt must be one text or a list of one text"
        raise RequestRejected(400, "malformed_request", message)
    return body


def check_resume_point(body: CompletionBody, resume_from: EventId | None) -> None:
    """Checks that prefix, Last-Event-ID and max_tokens are consistent.

    Raises RequestRejected when they aren't.
    """
    offset = resume_from.offset if resume_from else 0
    if offset > body.max_tokens:
        message = "Last-Event-ID lies beyond max_tokens"
        raise RequestRejected(400, "malformed_event_id", message)
    if body.prefix and len(body.prefix) != offset:
        message = "prefix must hold one text for each event up to Last-Event-ID"
        raise RequestRejected(400, "malformed_request", message)


def read_prompt(body: CompletionBody) -> str:
    """Returns the prompt of a request, which may be a list of one text."""
    return body.prompt if isinstance(body.prompt, str) else body.prompt[0]


def read_body(request: BoundedRequest) -> bytes:
    """Reads the body; raises RequestRejected when it is too large."""
    if request.is_too_large:
        raise RequestRejected(413, "body_too_large", "the body is too large")
    content: Any = request.content
    return bytes(content.read())


def read_credential(request: Request) -> str:
    """Returns the bearer credential, or an empty string."""
    header = read_header(request, "authorization")
    return header[len(BEARER) :] if header.startswith(BEARER) else ""


def read_header(request: Request, name: str) -> str:
    """Returns the value of a header, or an empty string."""
    value = request.getHeader(name.encode())
    if value is None:
        return ""
    return value.decode("utf-8", "replace") if isinstance(value, bytes) else value


def make_fingerprint(*parts: str | bytes) -> str:
    """Hashes the parts by which two requests count as identical."""
    digest = xxhash.xxh3_128()
    for part in parts:
        content = part.encode() if isinstance(part, str) else part
        digest.update(len(content).to_bytes(8, "big"))
        digest.update(content)
    return digest.hexdigest()
