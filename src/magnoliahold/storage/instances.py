"""HTTP client of the platform's list of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from magnoliahold.storage.exchange import (
    DEFAULT_TIMEOUT_S,
    PlatformExchange,
    decode_answer,
)
from magnoliahold.storage.interfaces import InstanceList

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from magnoliahold.runtime import Reactor
    from magnoliahold.storage.interfaces import Instance


class InstanceClient:
    """Reads the list of instances over HTTP and registers this instance in it."""

    def __init__(self, exchange: PlatformExchange) -> None:
        self._exchange = exchange

    def list_instances(self) -> Deferred[InstanceList]:
        """Reads the current list."""
        answer = self._exchange.call("GET", "/instances")
        return answer.addCallback(decode_answer, InstanceList)

    def put_instance(self, instance: Instance) -> Deferred[None]:
        """Registers an instance, or marks it as leaving."""
        path = f"/instances/{quote(instance.name, safe='')}"
        answer = self._exchange.call("PUT", path, msgspec.json.encode(instance))
        return answer.addCallback(lambda _answer: None)


def make_instance_client(
    reactor: Reactor, base_url: str, timeout_s: float = DEFAULT_TIMEOUT_S
) -> InstanceClient:
    """Makes the client of the instance list at `base_url`."""
    return InstanceClient(PlatformExchange(reactor, base_url, timeout_s))
