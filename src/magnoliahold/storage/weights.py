"""HTTP client of the platform's weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from magnoliahold.storage.exchange import (
    DEFAULT_TIMEOUT_S,
    PlatformExchange,
    decode_answer,
)

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor


@frozen
class _FreeLoads:
    free: int


class WeightClient:
    """Reads the free capacity of the weight store over HTTP."""

    def __init__(self, exchange: PlatformExchange) -> None:
        self._exchange = exchange

    def count_free_loads(self) -> Deferred[int]:
        """Reads how many loads of weights may start now."""
        return self._exchange.call("GET", "/weights").addCallback(_read_free)


def _read_free(answer: HttpAnswer) -> int:
    loads: _FreeLoads = decode_answer(answer, _FreeLoads)
    return loads.free


def make_weight_client(
    reactor: Reactor, base_url: str, timeout_s: float = DEFAULT_TIMEOUT_S
) -> WeightClient:
    """Makes the client of the weight store at `base_url`."""
    return WeightClient(PlatformExchange(reactor, base_url, timeout_s))
