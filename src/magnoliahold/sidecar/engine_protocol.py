"""Requests, answers and errors of the protocol that model engines speak."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

JSON_HEADERS = (("content-type", "application/json"),)


class EndKind(Enum):
    """How a stream of an engine ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    VERSION_MISSING = "version_missing"
    CONNECTION_LOST = "connection_lost"
    BROKEN = "broken"


@frozen
class EngineRequest:
    """A generation to start or, with a prefix, to continue.

    `max_tokens` bounds the whole output, the tokens in `prefix` included. A smaller
    `priority` is more urgent.
    """

    prompt: str
    prefix: tuple[str, ...]
    max_tokens: int
    priority: int
    version: str
    workspace: str


@frozen
class EngineStreamEnd:
    """The end of a stream.

    `reason` is the engine's finish reason when the kind is FINISHED.
    """

    kind: EndKind
    reason: str


@frozen
class EngineState:
    """What an engine reports of itself; the load lags."""

    incarnation: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    running: int
    waiting: int
    fencing: int
    capacity: int


@frozen
class EngineOrder:
    """An order to an engine, such as "load_version", with a fencing number."""

    fencing: int
    kind: str
    value: str


class OrderOutcome(Enum):
    """What an engine made of an order."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REJECTED = "rejected"


@frozen
class CacheEvent:
    """A prompt prefix was stored ("stored") or evicted ("evicted")."""

    sequence: int
    kind: str
    prefix: str


@frozen
class CacheEvents:
    """Events after a sequence number; ask after `next` the next time."""

    events: tuple[CacheEvent, ...]
    next: int


class EngineUnavailable(Exception):  # noqa: N818
    """The engine gave no usable answer; probe it again later."""
