"""Requests, answers and errors of the HTTP protocol of model engines."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

JSON_HEADERS = (("content-type", "application/json"),)


class EndKind(Enum):
    """How a stream ended at the engine."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    VERSION_MISSING = "version_missing"
    CONNECTION_LOST = "connection_lost"
    BROKEN = "broken"


@frozen
class EngineRequest:
    """A generation to start or, with a prefix, to resume.

    `max_tokens` limits the complete output, including the tokens in `prefix`. A lower
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
    """The state that an engine reports; the load figures may be out of date."""

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
    """How an engine answered an order."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REJECTED = "rejected"


@frozen
class CacheEvent:
    """A change to the prefix cache: `kind` is "stored" or "evicted"."""

    sequence: int
    kind: str
    prefix: str


@frozen
class CacheEvents:
    """Events after a sequence number; the next read starts after `next`."""

    events: tuple[CacheEvent, ...]
    next: int


class EngineUnavailable(Exception):  # noqa: N818
    """The engine gave no valid answer; it may be probed again later."""
