"""HTTP client of a plain service, whose calls may not be idempotent."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import frozen

from magnoliahold.httpclient import HttpClient, HttpExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.httpconnections import HeaderPairs
    from magnoliahold.runtime import Reactor

NONCE_HEADER = "X-Call-Nonce"
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class ServiceOutcomeKind(Enum):
    """How a call ended, as far as the client can tell."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    LOST = "lost"


@frozen
class ServiceRequest:
    """A call to a service; `path` starts with a slash and may include a query."""

    method: str
    path: str
    headers: HeaderPairs
    body: bytes


@frozen
class ServiceOutcome:
    """The end of a call.

    NOT_SENT means that no byte was written to a socket, so the call did not run. LOST
    means that it may have run. `status`, `headers` and `body` are set for ANSWERED,
    `reason` for the other two.
    """

    kind: ServiceOutcomeKind
    status: int = 0
    headers: HeaderPairs = ()
    body: bytes = b""
    reason: str = ""


class ServiceClient:
    """Client of one service; each call is sent once, on its own connection."""

    def __init__(self, reactor: Reactor, base_url: str) -> None:
        self._http = HttpClient(reactor, base_url)
        self._calls: dict[str, Deferred[HttpAnswer]] = {}

    def start_call(
        self,
        nonce: str,
        request: ServiceRequest,
        on_end: Callable[[ServiceOutcome], None],
    ) -> None:
        """Sends a call; `on_end` is called once. Only connecting has a timeout."""
        if nonce in self._calls:
            raise ValueError(f"call {nonce} is already running; use another nonce")
        call = self._http.send(
            request.method,
            request.path,
            request.body,
            (*_remove_nonce(request.headers), (NONCE_HEADER, nonce)),
            max_body_bytes=MAX_ANSWER_BYTES,
        )
        self._calls[nonce] = call
        outcome = call.addCallbacks(_build_answered, _classify_failure)
        outcome.addCallback(self._finish_call, nonce, on_end)

    def cancel_call(self, nonce: str) -> None:
        """Closes a call's connection; the call ends as NOT_SENT or LOST."""
        call = self._calls.get(nonce)
        if call is not None:
            call.cancel()

    def probe(self, timeout_s: float) -> Deferred[bool]:
        """Checks whether the service answers over a new connection, with any status."""
        answer = self._http.send("GET", "/-/health", timeout_s=timeout_s)
        return answer.addCallbacks(lambda _answer: True, lambda _failure: False)

    def _finish_call(
        self,
        outcome: ServiceOutcome,
        nonce: str,
        on_end: Callable[[ServiceOutcome], None],
    ) -> None:
        self._calls.pop(nonce, None)
        on_end(outcome)


def make_service_client(reactor: Reactor, base_url: str) -> ServiceClient:
    """Makes the client of the service at `base_url`."""
    return ServiceClient(reactor, base_url)


def _remove_nonce(headers: HeaderPairs) -> HeaderPairs:
    return tuple(pair for pair in headers if pair[0].lower() != NONCE_HEADER.lower())


def _build_answered(answer: HttpAnswer) -> ServiceOutcome:
    return ServiceOutcome(
        ServiceOutcomeKind.ANSWERED, answer.status, answer.headers, answer.body
    )


def _classify_failure(failure: Failure) -> ServiceOutcome:
    error = failure.value
    sent = not isinstance(error, HttpExchangeError) or error.sent
    kind = ServiceOutcomeKind.LOST if sent else ServiceOutcomeKind.NOT_SENT
    return ServiceOutcome(kind, reason=failure.getErrorMessage())
