"""Reads callers' requests and builds the headers of refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_hexdigest, xxh32_intdigest

from magnoliahold.core.serving.requests import CallerRequest, PromptPart

if TYPE_CHECKING:
    from twisted.web.http_headers import Headers

READY_PATH = "/-/readyz"
CREDENTIAL_SCHEME = "token "
MS_PER_S = 1000.0


class BadRequest(Exception):  # noqa: N818
    """A caller's request lacks a header; the message says which one to send."""


def read_caller_request(
    handle: int, method: str, target: str, headers: Headers, body: bytes = b""
) -> CallerRequest:
    """Reads the parts of a request that the core needs.

    Raises BadRequest when it has no request id. Other headers that can't be read are
    treated as absent.
    """
    request_id = _read_header(headers, "Request-Id")
    if not request_id:
        raise BadRequest("send a Request-Id")
    host = _read_header(headers, "Host") or ""
    credential = _read_credential(headers)
    return CallerRequest(
        handle=handle,
        request_id=request_id,
        method=method,
        host=host.partition(":")[0].lower(),
        path=target.partition("?")[0],
        credential=credential,
        timeout_s=_read_timeout_s(headers),
        resume_after=_read_number_header(headers, "Last-Event-Id"),
        prompt=_read_prompt(headers),
        fingerprint=_make_fingerprint(method, host, target, credential, body),
    )


def _make_fingerprint(
    method: str, host: str, target: str, credential: str | None, body: bytes
) -> str:
    """Hashes what a request and its retries have in common."""
    head = "\n".join((method, host, target, credential or ""))
    return xxh3_64_hexdigest(body, seed=xxh32_intdigest(head.encode()))


def _read_header(headers: Headers, name: str) -> str | None:
    values = headers.getRawHeaders(name)
    return values[0].strip() if values else None


def _read_number_header(headers: Headers, name: str) -> int | None:
    text = _read_header(headers, name)
    if text is None or not text.isdecimal():
        return None
    return int(text)


def _read_timeout_s(headers: Headers) -> float | None:
    milliseconds = _read_number_header(headers, "Deadline-Ms")
    return None if milliseconds is None else milliseconds / MS_PER_S


def _read_credential(headers: Headers) -> str | None:
    text = _read_header(headers, "Authorization")
    if text is None or not text.lower().startswith(CREDENTIAL_SCHEME):
        return None
    return text[len(CREDENTIAL_SCHEME) :].strip()


def _read_prompt(headers: Headers) -> tuple[PromptPart, ...]:
    """Reads the parts of the prompt; the list ends before the first malformed one."""
    parts = []
    for entry in (_read_header(headers, "Prompt-Prefix") or "").split(","):
        part_id, separator, tokens = entry.strip().partition(":")
        if not separator or not tokens.isdecimal():
            break
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def make_refusal_headers(
    request_id: str | None, retry_after_s: float | None
) -> list[tuple[str, str]]:
    """Builds the headers of an answer with which the entry refuses a request."""
    headers = [("Content-Type", "text/plain; charset=utf-8")]
    if request_id:
        headers.append(("Request-Id", request_id))
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    return headers
