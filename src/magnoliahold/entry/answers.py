"""JSON documents and headers of the callers' API."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, Any

import msgspec
from attrs import frozen

from magnoliahold.core.events import EventId

if TYPE_CHECKING:
    from twisted.web.http import Request

    from magnoliahold.core.effects import RefuseRequest

EVENT_ID_SEPARATOR = "~"
EVENT_ID_PARTS = 4
OFFSET_PATTERN = re.compile(r"[0-9]{1,9}")
JSON_TYPE = b"application/json"
EVENT_STREAM_TYPE = b"text/event-stream"
REMEDIES = {
    "unauthorized": "send the workspace's credential as 'Authorization: Bearer ...'",
    "unknown_work": "name a work of the workspace's template as model",
    "unknown_service": "name a service of the workspace's template",
    "malformed_request": "send the documented JSON fields",
    "body_too_large": "send a smaller body",
    "memory_full": "send the request again after the time in Retry-After",
    "malformed_event_id": "send back an event id unchanged, or leave the header out",
    "may_have_run": "check the effect before sending the call again",
}
DEFAULT_REMEDY = "send the request again after the time in Retry-After"
NOT_RUN = "not_run"
NO_REMEDY = "correct the request before sending it again"


class RequestRejected(Exception):  # noqa: N818
    """Raised to answer a request with an error without posting an event."""

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


def make_malformed_rejection(reason: str) -> RequestRejected:
    """Makes the rejection of a request whose body can't be read."""
    return RequestRejected(400, "malformed_request", reason)


@frozen
class ErrorDocument:
    """The error document of a request; `ran` says whether a call ran."""

    code: str
    message: str
    remedy: str
    ran: str
    retry_after_s: float | None = None


def make_error(refusal: RefuseRequest) -> ErrorDocument:
    """Builds the error document of a refused request."""
    fallback = NO_REMEDY if refusal.retry_after_s is None else DEFAULT_REMEDY
    return ErrorDocument(
        code=refusal.code,
        message=refusal.message,
        remedy=REMEDIES.get(refusal.code, fallback),
        ran=refusal.ran,
        retry_after_s=refusal.retry_after_s,
    )


def encode_error(error: ErrorDocument) -> bytes:
    """Encodes an error as the API's JSON document."""
    return msgspec.json.encode({"error": error})


def write_error(request: Request, status: int, error: ErrorDocument) -> None:
    """Answers a request with an error, with Retry-After when one is set."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", JSON_TYPE)
    if error.retry_after_s is not None:
        seconds = max(1, math.ceil(error.retry_after_s))
        request.setHeader(b"retry-after", str(seconds).encode())
    request.write(encode_error(error))
    request.finish()


def encode_rejection(code: str, sentence: str) -> bytes:
    """Encodes why a request was rejected that has not run."""
    remedy = REMEDIES.get(code, NO_REMEDY)
    return encode_error(ErrorDocument(code, sentence, remedy, NOT_RUN))


def reject_request(request: Request, rejection: RequestRejected) -> None:
    """Answers a request that was rejected before an event was posted."""
    remedy = REMEDIES.get(rejection.code, NO_REMEDY)
    error = ErrorDocument(rejection.code, str(rejection), remedy, NOT_RUN)
    write_error(request, rejection.status, error)


def format_event_id_prefix(event_id: EventId) -> str:
    """Formats the part of an event id before its offset."""
    parts = (event_id.lineage, event_id.sidecar, event_id.version, "")
    return EVENT_ID_SEPARATOR.join(parts)


def parse_event_id(text: str) -> EventId:
    """Parses Last-Event-ID; raises RequestRejected when it is malformed."""
    parts = text.split(EVENT_ID_SEPARATOR)
    if len(parts) != EVENT_ID_PARTS or not OFFSET_PATTERN.fullmatch(parts[-1]):
        raise RequestRejected(
            400, "malformed_event_id", "Last-Event-ID is not an id of this API"
        )
    lineage, sidecar, version, offset = parts
    return EventId(lineage, sidecar, int(offset), version)


def make_completion(
    request_id: str, work: str, text: str, reason: str | None, created: int
) -> dict[str, Any]:
    """Builds a completion document, either complete or one chunk of a stream.

    The format is that of the OpenAI completions API, which callers' clients parse.
    """
    choice = {"index": 0, "text": text, "logprobs": None, "finish_reason": reason}
    return {
        "id": request_id,
        "object": "text_completion",
        "created": created,
        "model": work,
        "choices": [choice],
    }
