"""HTTP client of the platform's list of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from magnoliahold.decoding import describe_error
from magnoliahold.logs import make_part_logger
from magnoliahold.storage.exchange import (
    DEFAULT_TIMEOUT_S,
    PlatformExchange,
    decode_answer,
)
from magnoliahold.storage.interfaces import Instance, InstanceList

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from magnoliahold.httpclient import HttpAnswer
    from magnoliahold.runtime import Reactor

logger = make_part_logger("membership")


class _UndecodedList(msgspec.Struct):
    instances: list[msgspec.Raw]


_instance_decoder = msgspec.json.Decoder(Instance)


class InstanceClient:
    """Reads the list of instances over HTTP and registers this instance in it."""

    def __init__(self, exchange: PlatformExchange) -> None:
        self._exchange = exchange

    def list_instances(self) -> Deferred[InstanceList]:
        """Reads the current list, without the instances that can't be read."""
        answer = self._exchange.call("GET", "/instances")
        return answer.addCallback(_decode_list)

    def put_instance(self, instance: Instance) -> Deferred[None]:
        """Registers an instance, or marks it as leaving."""
        path = f"/instances/{quote(instance.name, safe='')}"
        answer = self._exchange.call("PUT", path, msgspec.json.encode(instance))
        return answer.addCallback(lambda _answer: None)


def _decode_list(answer: HttpAnswer) -> InstanceList:
    undecoded: _UndecodedList = decode_answer(answer, _UndecodedList)
    decoded = (_decode_instance(raw) for raw in undecoded.instances)
    return InstanceList(tuple(item for item in decoded if item is not None))


def _decode_instance(raw: msgspec.Raw) -> Instance | None:
    """Decodes an instance; one that can't be read doesn't decide over the others."""
    try:
        return _instance_decoder.decode(raw)
    except Exception as error:
        logger.gather(
            "Instance is invalid and is left out.", reason=describe_error(error)
        )
        return None


def make_instance_client(
    reactor: Reactor, base_url: str, timeout_s: float = DEFAULT_TIMEOUT_S
) -> InstanceClient:
    """Makes the client of the instance list at `base_url`."""
    return InstanceClient(PlatformExchange(reactor, base_url, timeout_s))
