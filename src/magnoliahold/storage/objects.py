"""HTTP client of the platform's object store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from magnoliahold.storage.exchange import DEFAULT_TIMEOUT_S, PlatformExchange

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor


class ObjectClient:
    """Reads and writes objects over HTTP."""

    def __init__(self, exchange: PlatformExchange) -> None:
        self._exchange = exchange

    def put_object(self, name: str, content: bytes) -> Deferred[None]:
        """Stores an object, replacing an earlier one of that name."""
        answer = self._exchange.call("PUT", f"/objects/{quote(name)}", content)
        return answer.addCallback(lambda _answer: None)

    def get_object(self, name: str) -> Deferred[bytes | None]:
        """Reads an object, or None when it does not exist."""
        path = f"/objects/{quote(name)}"
        answer = self._exchange.call("GET", path, accepted=(200, 404))
        return answer.addCallback(_read_content)


def _read_content(answer: HttpAnswer) -> bytes | None:
    return answer.body if answer.status == 200 else None


def make_object_client(
    reactor: Reactor, base_url: str, timeout_s: float = DEFAULT_TIMEOUT_S
) -> ObjectClient:
    """Makes the client of the object store at `base_url`."""
    return ObjectClient(PlatformExchange(reactor, base_url, timeout_s))
