"""Simulates weight loading, within the limit that the weight store sets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from magnoliahold.httpclient import HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor

RETRY_DELAY_S = 0.5
STORE_TIMEOUT_S = 2.0


class WeightLoader:
    """Loads weights, each load in a slot that the weight store grants.

    Without a store a load starts at once.
    """

    def __init__(
        self, reactor: Reactor, engine: str, load_s: float, store_url: str
    ) -> None:
        self._reactor = reactor
        self._engine = engine
        self._load_s = load_s
        self._store = HttpClient(reactor, store_url) if store_url else None

    def load(self, version: str, on_loaded: Callable[[], None]) -> None:
        """Loads a version and calls `on_loaded` once it is loaded."""
        if self._store is None:
            self._reactor.callLater(self._load_s, on_loaded)
            return
        self._request_slot(self._store, version, on_loaded)

    def _request_slot(
        self, store: HttpClient, version: str, on_loaded: Callable[[], None]
    ) -> None:
        path = f"/weights/{quote(self._engine + ':' + version, safe='')}"

        def handle_answer(answer: HttpAnswer) -> None:
            if answer.status == 200:
                self._reactor.callLater(self._load_s, finish)
            else:
                retry()

        def retry(_failure: Failure | None = None) -> None:
            self._reactor.callLater(
                RETRY_DELAY_S, self._request_slot, store, version, on_loaded
            )

        def finish() -> None:
            releasing = store.send("DELETE", path, timeout_s=STORE_TIMEOUT_S)
            releasing.addErrback(lambda _failure: None)
            on_loaded()

        requesting = store.send("PUT", path, timeout_s=STORE_TIMEOUT_S)
        requesting.addCallbacks(handle_answer, retry)
