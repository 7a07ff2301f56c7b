"""Bounds the number of connections at an address."""

from __future__ import annotations

from collections import Counter
from enum import IntEnum
from typing import Any, Protocol

from attrs import define, field

from magnoliahold.logs import make_part_logger

# Room is made for so large a part of the limit, so that it isn't looked for each time.
BATCH_SHARE = 1 / 32

logger = make_part_logger("intake")


class Closability(IntEnum):
    """What a connection would lose by its close, the least first."""

    ENDING = 0
    UNUSED = 1
    IDLE = 2
    READING = 3
    BUSY = 4


class Closable(Protocol):
    """A connection that may be closed to make room for another."""

    @property
    def closability(self) -> Closability:
        """What it would lose; BUSY if it mustn't be closed."""

    @property
    def quiet_since(self) -> float:
        """When it last sent or took something."""

    def close_for_room(self) -> None:
        """Closes it at once."""


@define(eq=False)
class ConnectionTable:
    """The connections at one address, at most `most` of them.

    One more takes the place of those that lose least by their close, and among them of
    those that have been quiet for longest. Where all are busy it is closed itself.
    `closed` counts those that were closed for that, by what they lost, and `rejected`
    the requests that weren't read to their end, by the code of the answer.
    """

    address: str
    most: int
    channels: set[Any] = field(factory=set)
    closed: Counter[str] = field(factory=Counter)
    rejected: Counter[str] = field(factory=Counter)

    def add(self, channel: Closable) -> None:
        """Adds a connection; closes others, or else itself, if that is one too many."""
        self.channels.add(channel)
        if len(self.channels) > self.most:
            self._make_room(channel)

    def discard(self, channel: Closable) -> None:
        """Removes a connection that has ended."""
        self.channels.discard(channel)

    def _make_room(self, newest: Closable) -> None:
        found = [item for item in self.channels if item is not newest]
        found = [item for item in found if item.closability is not Closability.BUSY]
        found.sort(key=lambda item: (item.closability, item.quiet_since))
        count = max(1, int(self.most * BATCH_SHARE))
        closed = found[:count] or [newest]
        for channel in closed:
            self.closed[channel.closability.name.lower()] += 1
            channel.close_for_room()
        logger.gather(
            "Connections are closed to make room for others.",
            kind=self.address,
            address=self.address,
            connections=self.most,
            closed=len(closed),
        )
