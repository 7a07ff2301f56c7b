"""Builds requests to upstreams and reads their answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec
from twisted.web.http_headers import Headers

from magnoliahold.core.serving.events import AnswerHead, UpstreamSignalled
from magnoliahold.headernames import HOP_BY_HOP_HEADERS, read_connection_options
from magnoliahold.logs import make_part_logger

if TYPE_CHECKING:
    from magnoliahold.core.serving.effects import SendAttempt
    from magnoliahold.core.serving.upstreams import UpstreamRecord
    from magnoliahold.httpconnections import HeaderPairs

REPORT_PATH = b"/-/report"
PROMPTS_PATH = "/-/kv-list"
COPY_PATH = "/-/kv-move"
MISDIRECTED = 421
UNAVAILABLE = 503
LEAVING_VALUE = b"1"
LIMIT_HEADER = "Server-Limit"
MAX_LOGGED_LENGTH = 100
MIN_DEADLINE_MS = 1
MS_PER_S = 1000.0

logger = make_part_logger("upstreams")

# Headers that each request needs, whatever the Connection header says.
NEEDED_HEADERS = frozenset(("host", "request-id"))
# Headers that only this system may set; those that a caller sends are removed.
RESERVED_HEADERS = frozenset(
    (
        "authorization",
        "deadline-ms",
        "expect-instance",
        "expect-version",
        "hold",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "pin-ms",
        "request-priority",
        "tenant",
        "wait-ms",
    )
)


def make_upstream_headers(received: Headers, send: SendAttempt) -> Headers:
    """Builds the headers of an upstream request from those that the caller sent."""
    headers = Headers()
    excluded = RESERVED_HEADERS | _list_hop_by_hop_headers(received)
    if send.resume_after is not None:
        excluded |= {"last-event-id"}
    for name, values in received.getAllRawHeaders():
        if name.decode("ascii").lower() not in excluded:
            headers.setRawHeaders(name, values)
    milliseconds = max(MIN_DEADLINE_MS, round(send.deadline_s * MS_PER_S))
    headers.setRawHeaders("Deadline-Ms", [str(milliseconds)])
    headers.setRawHeaders("Expect-Instance", [send.upstream.id])
    headers.setRawHeaders("Request-Priority", [str(send.priority)])
    if send.workspace:
        headers.setRawHeaders("Tenant", [send.workspace])
    if send.resume_after is not None:
        headers.setRawHeaders("Last-Event-Id", [str(send.resume_after)])
    if send.copy_to is not None:
        address, port = send.copy_to
        headers.setRawHeaders("Kv-Backup", [f"{address}:{port}"])
    source = send.copy_source
    if source is not None:
        location = f"{source.address}:{source.port}/{source.key}"
        headers.setRawHeaders("Kv-From", [location])
    return headers


def make_probe_headers(record: UpstreamRecord) -> Headers:
    """Builds the headers of a probe; any other upstream answers it with 421."""
    return Headers(
        {
            "Host": [f"{record.address}:{record.port}"],
            "Expect-Instance": [record.id],
        }
    )


def _list_hop_by_hop_headers(headers: Headers) -> frozenset[str]:
    """Lists the headers that concern one connection only."""
    return HOP_BY_HOP_HEADERS | (read_connection_options(headers) - NEEDED_HEADERS)


class _PromptList(msgspec.Struct):
    # Each item is an empty string, the id of the part, its tokens and the model.
    held: list[tuple[str, str, int, str]]


_prompts_decoder = msgspec.json.Decoder(_PromptList)


def read_prompt_list(body: bytes) -> tuple[str, ...]:
    """Reads the ids of the prompt parts in an upstream's prefix cache.

    Raises msgspec.MsgspecError when the answer can't be read.
    """
    return tuple(part for _, part, _, _ in _prompts_decoder.decode(body).held)


def make_copy_order(run_id: str, holder: UpstreamRecord) -> bytes:
    """Encodes the order to copy a run's KV cache while the run continues."""
    return msgspec.json.encode(
        {"id": run_id, "to": f"{holder.address}:{holder.port}", "final": False}
    )


class _CopyAnswer(msgspec.Struct):
    handle: str


_copy_decoder = msgspec.json.Decoder(_CopyAnswer)


def read_copy_key(body: bytes) -> str:
    """Reads the key of a completed copy.

    Raises msgspec.MsgspecError when the answer can't be read.
    """
    return _copy_decoder.decode(body).handle


def make_free_path(key: str) -> str:
    """Builds the path of the request that frees a copy."""
    return f"/-/kv-handle/{quote(key, safe='')}"


def read_answer_head(status: int, headers: Headers) -> AnswerHead:
    """Reads the status and the relevant headers of an upstream's answer."""
    return AnswerHead(
        status=status,
        request_id=_read_header(headers, "Request-Id"),
        signed=bool(_read_header(headers, "Response-Signature")),
        not_run=status == MISDIRECTED or headers.hasHeader("Not-Executed"),
        misdirected=status == MISDIRECTED,
        names_limit=headers.hasHeader(LIMIT_HEADER),
    )


def read_signal(
    record: UpstreamRecord, status: int, headers: Headers
) -> UpstreamSignalled | None:
    """Reads what an upstream says about itself in the headers of an answer.

    None if it says nothing, or if the answer is from another upstream. What can't be
    read is ignored, since the answer holds all the same.
    """
    if status == MISDIRECTED:
        return None
    said = headers.getRawHeaders(b"Server-Leaving", [b""])
    leaving = said[0].strip() == LEAVING_VALUE
    backoff_s = None
    if status == UNAVAILABLE:
        backoff_s = next(iter(_read_numbers(record, headers, "Retry-After")), None)
    limit_per_s = min(_read_numbers(record, headers, LIMIT_HEADER), default=None)
    if not leaving and backoff_s is None and limit_per_s is None:
        return None
    return UpstreamSignalled(record.id, record.born_ms, leaving, backoff_s, limit_per_s)


def read_signal_of_pairs(
    record: UpstreamRecord, status: int, pairs: HeaderPairs
) -> UpstreamSignalled | None:
    """Does the same as read_signal for headers as pairs of name and value."""
    headers = Headers()
    for name, value in pairs:
        headers.addRawHeader(name, value)
    return read_signal(record, status, headers)


def _read_numbers(record: UpstreamRecord, headers: Headers, name: str) -> list[float]:
    """Reads numbers from 0 on; malformed ones are logged and ignored."""
    numbers = []
    # The values needn't be text.
    for value in headers.getRawHeaders(name.encode(), []):
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if math.isfinite(number) and number >= 0:
            numbers.append(number)
        elif value.strip():
            logger.gather(
                f"{name} can't be read and is ignored.",
                upstream=record.id,
                value=value[:MAX_LOGGED_LENGTH].decode("ascii", "backslashreplace"),
            )
    return numbers


def _read_header(headers: Headers, name: str) -> str:
    values = headers.getRawHeaders(name)
    return values[0].strip() if values else ""


def is_event_stream(status: int, headers: Headers) -> bool:
    """Returns whether an answer is a stream of numbered pieces."""
    media_type = _read_header(headers, "Content-Type").partition(";")[0].strip().lower()
    return status == 200 and media_type == "text/event-stream"


def list_answer_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Lists the headers of an upstream's answer that are passed to the caller."""
    excluded = _list_hop_by_hop_headers(headers)
    return [
        (name, value)
        for name, values in headers.getAllRawHeaders()
        for value in values
        if name.decode("ascii").lower() not in excluded
    ]
