"""HTTP requests to the platform's services, with typed JSON answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from magnoliahold.decoding import translate_errors
from magnoliahold.httpclient import HttpClient
from magnoliahold.storage.interfaces import PlatformUnavailable

if TYPE_CHECKING:
    from collections.abc import Collection

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor

DEFAULT_TIMEOUT_S = 2.0
JSON_HEADERS = (("content-type", "application/json"),)


class PlatformExchange:
    """Sends requests to one service of the platform and never retries one."""

    def __init__(self, reactor: Reactor, base_url: str, timeout_s: float) -> None:
        self._http = HttpClient(reactor, base_url, persistent=True)
        self._timeout_s = timeout_s

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        accepted: Collection[int] = (200,),
    ) -> Deferred[HttpAnswer]:
        """Sends a request.

        Fails with `PlatformUnavailable` when no answer comes or its status is not
        `accepted`.
        """
        headers = JSON_HEADERS if body else ()
        answer = self._http.send(method, path, body, headers, self._timeout_s)
        answer.addCallbacks(_check_status, _raise_unavailable, (accepted,))
        return answer


def decode_answer(answer: HttpAnswer, kind: Any) -> Any:
    """Decodes a JSON answer; raises `PlatformUnavailable` when it is malformed."""
    with translate_errors(make_malformed_error):
        return msgspec.json.decode(answer.body, type=kind)


def make_malformed_error(reason: str) -> PlatformUnavailable:
    """Makes the error of an answer that can't be read."""
    return PlatformUnavailable(f"malformed answer: {reason}")


def _check_status(answer: HttpAnswer, accepted: Collection[int]) -> HttpAnswer:
    if answer.status not in accepted:
        raise PlatformUnavailable(f"answered with status {answer.status}")
    return answer


def _raise_unavailable(failure: Failure) -> HttpAnswer:
    raise PlatformUnavailable(failure.getErrorMessage())
