"""The site of an entry, and parsing of the callers' JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import xxhash
from attrs import frozen

from magnoliahold.decoding import translate_errors
from magnoliahold.entry.answers import (
    JSON_TYPE,
    RequestRejected,
    encode_rejection,
    make_malformed_rejection,
)
from magnoliahold.entry.untaken import UntakenAnswers
from magnoliahold.inbound.sites import BoundedSite, Rejection

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.resource import Resource
    from twisted.web.server import Request

    from magnoliahold.core.events import EventId
    from magnoliahold.inbound.connections import ConnectionTable
    from magnoliahold.inbound.intake import Intake

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 131_072
BEARER = "Bearer "


class EntrySite(BoundedSite):
    """A site of an entry: rejections are JSON documents.

    `untaken` tells what its callers still have to take. `check_credential` raises
    RequestRejected for a request whose credential isn't known.
    """

    rejection_type = JSON_TYPE.decode()

    def __init__(
        self,
        resource: Resource,
        intake: Intake,
        table: ConnectionTable,
        max_body_bytes: int,
        check_credential: Callable[[Request], object],
    ) -> None:
        super().__init__(resource, intake, table, max_body_bytes)
        self.untaken = UntakenAnswers(intake.clock)
        self._check_credential = check_credential

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Makes a connection."""
        channel: Any = super().buildProtocol(addr)  # type: ignore[no-untyped-call]
        self.untaken.add_connection(channel)
        return channel

    def find_rejection(self, request: Request) -> Rejection | None:
        """Rejects an unknown credential before a long body is read."""
        try:
            self._check_credential(request)
        except RequestRejected as rejected:
            return Rejection(rejected.status, rejected.code, str(rejected))
        return None

    def make_rejection(self, rejection: Rejection) -> bytes:
        """Makes the body of a rejection."""
        return encode_rejection(rejection.code, rejection.sentence)


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


def read_completion(request: Request) -> CompletionBody:
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


def read_body(request: Request) -> bytes:
    """Reads the body."""
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
