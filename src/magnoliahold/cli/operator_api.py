"""A client of the operator API, for use by commands."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING, Any, TypeVar, cast
from urllib.parse import quote

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import react

from magnoliahold.core.administration import ErrorDocument
from magnoliahold.errors import (
    OperatorRefusedError,
    OperatorUnreachableError,
    UsageError,
    VersionConflictError,
)
from magnoliahold.httpclient import HttpClient, HttpExchangeError
from magnoliahold.logs import configure_logging, register_secret
from magnoliahold.settings.documents import read_text

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from magnoliahold.errors import MagnoliaholdError
    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Clock

T = TypeVar("T")

REQUEST_TIMEOUT_S = 10.0
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.5
HTTP_OK = 200
HTTP_UNAUTHORIZED = 401
HTTP_CONFLICT = 409
CONFLICT_CODE = "version_conflict"


class OperatorApi:
    """Sends requests to the operator API of one entry.

    Every request is safe to retry: reads, drains, and applies that include an apply id.
    A request that gets no response is therefore sent again.
    """

    def __init__(
        self, clock: Clock, client: HttpClient, base_url: str, credential: str
    ) -> None:
        self._clock = clock
        self._base_url = base_url
        self._client = client
        self._headers = (
            ("authorization", f"Bearer {credential}"),
            ("content-type", "application/json"),
        )

    async def get(self, path: str) -> bytes:
        """Sends a GET request and returns the body of the response."""
        return await self._request("GET", path, b"")

    async def post(self, path: str, content: object = None) -> bytes:
        """Sends a POST request and returns the body of the response."""
        body = msgspec.json.encode(content) if content is not None else b"{}"
        return await self._request("POST", path, body)

    async def _request(self, method: str, path: str, body: bytes) -> bytes:
        answer = await self._send_until_answered(method, path, body)
        if answer.status == HTTP_OK:
            return answer.body
        raise make_refusal_error(answer, path)

    async def _send_until_answered(
        self, method: str, path: str, body: bytes
    ) -> HttpAnswer:
        reason = ""
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._wait(RETRY_DELAY_S)
            try:
                return await self._client.send(
                    method, path, body, self._headers, REQUEST_TIMEOUT_S
                )
            except HttpExchangeError as error:
                reason = error.reason
        raise OperatorUnreachableError(
            f"{self._base_url} gave no answer ({reason}); check that it is the "
            "operator port of a running entry, or name another entry"
        )

    def _wait(self, delay_s: float) -> Deferred[None]:
        waited: Deferred[None] = Deferred()
        self._clock.callLater(delay_s, waited.callback, None)
        return waited


def make_operator_api(reactor: Any, base_url: str, credential: str) -> OperatorApi:
    """Creates a client of the operator API at a URL."""
    return OperatorApi(reactor, HttpClient(reactor, base_url), base_url, credential)


def make_refusal_error(answer: HttpAnswer, path: str) -> MagnoliaholdError:
    """Returns the error for a response that refuses a request."""
    try:
        detail = msgspec.json.decode(answer.body, type=ErrorDocument).error
    except msgspec.DecodeError:
        return OperatorRefusedError(
            f"{path} was answered with status {answer.status} in an unknown format; "
            "check that the URL is the operator port of an entry"
        )
    if answer.status == HTTP_CONFLICT and detail.code == CONFLICT_CODE:
        return VersionConflictError(path.split("/")[3], detail.current_version)
    remedy = detail.remedy or suggest_remedy(answer.status)
    return OperatorRefusedError(f"{detail.message}; {remedy}")


def suggest_remedy(status: int) -> str:
    """Returns a remedy for a response that contains none."""
    if status == HTTP_UNAUTHORIZED:
        return "name the file of an operator's credential with --credential-file"
    return "correct the request, or try again later"


def decode_answer(body: bytes, kind: type[T]) -> T:
    """Decodes the body of a response."""
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise OperatorRefusedError(
            f"the answer has an unknown format ({error}); use the command of the "
            "same version as the entry"
        ) from None


def quote_segment(name: str) -> str:
    """Percent-encodes a name as one path segment."""
    return quote(name, safe="")


def call_operator_api(
    base_url: str, credential_file: Path, operation: Callable[[OperatorApi], Any]
) -> Any:
    """Runs one operation against the operator API and returns its result."""
    credential = read_text(credential_file).strip()
    if not credential or not credential.isascii() or not credential.isprintable():
        raise UsageError(
            f"{credential_file} holds no credential; name a file with one on one line"
        )
    if not base_url.startswith(("http://", "https://")):
        raise UsageError(
            f"{base_url!r} is not an HTTP URL; write one such as http://127.0.0.1:8081"
        )
    register_secret(credential)
    configure_logging("command", "critical")
    logging.getLogger("twisted").setLevel(logging.CRITICAL + 1)
    return run_until_done(
        lambda reactor: operation(make_operator_api(reactor, base_url, credential))
    )


def run_until_done(operation: Callable[[Any], Awaitable[T]]) -> T:
    """Runs the reactor until an operation completes and returns its result."""
    results: list[T] = []
    errors: list[BaseException] = []

    async def run(reactor: Any) -> None:
        try:
            results.append(await operation(reactor))
        except Exception as error:  # raised again outside the reactor
            errors.append(error)

    with contextlib.suppress(SystemExit):
        react(cast("Any", lambda reactor: ensureDeferred(run(reactor))))
    if errors:
        raise errors[0]
    if not results:
        raise KeyboardInterrupt
    return results[0]
