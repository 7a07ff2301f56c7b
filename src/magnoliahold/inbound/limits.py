"""Limits on what all who connect to a process can make it hold or compute."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

from attrs import field, frozen
from attrs.validators import gt

if TYPE_CHECKING:
    from attrs import Attribute

MIB = 1024 * 1024
# What a process may take where nobody tells: the smallest instances have so much.
DEFAULT_MEMORY_MB = 128.0
DEFAULT_DESCRIPTORS = 1600
# Descriptors that are kept for files, and the sockets of everything but callers.
RESERVED_DESCRIPTORS = 200
MIN_CONNECTIONS = 16


def _positive(default: float) -> float:
    return field(default=default, validator=gt(0))


def _positive_int(default: int) -> int:
    return field(default=default, validator=gt(0))


def _check_share(_: object, attribute: Attribute[float], value: float) -> None:
    """Raises ValueError for what is no share."""
    if not 0 < value <= 1:
        raise ValueError(f"{attribute.name} must be above 0 and at most 1")


def _share(default: float) -> float:
    return field(default=default, validator=_check_share)


@frozen
class IntakePolicy:
    """How much of a process those who connect to it may take.

    Requests that aren't answered yet, and answers that nobody takes, hold at most
    `held_share` of the memory, beside the largest of them. Whole requests that wait for
    their answers hold at most `whole_share` of that, short ones all of it. Answers that
    upstreams send hold at most `answer_share` of the memory until they are passed on.
    Who has sent and taken nothing for `stalled_s` makes no progress. Requests of up to
    `short_bytes` are short; longer ones must come from callers who may be served.
    Connections use at most `connection_share` of the memory, of which each is taken to
    need `connection_bytes`, and at most `descriptor_share` of the descriptors.
    Addresses that serve no callers take at most `other_connections` each.

    Reading is counted in parts: chunks, header lines and requests. A connection reads
    at most `parts_per_turn` before others get their turn, and all together read at most
    `parts_per_pass` in one iteration of the reactor. Refused callers may retry after
    `retry_after_s`.
    """

    held_share: float = _share(0.15)
    answer_share: float = _share(0.125)
    whole_share: float = _share(0.5)
    stalled_s: float = _positive(1.0)
    short_bytes: int = _positive_int(64 * 1024)
    connection_share: float = _share(1 / 32)
    connection_bytes: int = _positive_int(4096)
    descriptor_share: float = _share(0.5)
    other_connections: int = _positive_int(64)
    parts_per_turn: int = _positive_int(256)
    parts_per_pass: int = _positive_int(4096)
    retry_after_s: float = _positive(1.0)


@frozen
class IntakeLimits:
    """The limits of one process.

    At most `held_bytes` are held for all connections together, and `whole_bytes` of
    that for whole requests. At most `answer_bytes` are held of the answers of
    upstreams, beside the oldest. `connections` is the most at the address for callers.
    """

    held_bytes: int
    whole_bytes: int
    answer_bytes: int
    connections: int


def make_intake_limits(
    policy: IntakePolicy, memory_mb: float | None, descriptors: int | None
) -> IntakeLimits:
    """Derives the limits from the memory and descriptors that a process may take."""
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * MIB
    held_bytes = int(memory_bytes * policy.held_share)
    by_memory = memory_bytes * policy.connection_share / policy.connection_bytes
    spare = (descriptors or find_default_descriptors()) - RESERVED_DESCRIPTORS
    by_descriptors = spare * policy.descriptor_share
    return IntakeLimits(
        held_bytes=held_bytes,
        whole_bytes=int(held_bytes * policy.whole_share),
        answer_bytes=int(memory_bytes * policy.answer_share),
        connections=max(MIN_CONNECTIONS, int(min(by_memory, by_descriptors))),
    )


def find_default_descriptors() -> int:
    """Finds the default, or what the system allows this process if that is less."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return DEFAULT_DESCRIPTORS
    return min(allowed, DEFAULT_DESCRIPTORS)
