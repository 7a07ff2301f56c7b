"""The engine's prefix cache and the events that it publishes."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import xxhash
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from random import Random

    from magnoliahold.runtime import Clock

BLOCK_TOKENS = 16
MAX_EVENTS = 10_000


@frozen
class CacheEvent:
    """Reports that a block of a prompt was stored or evicted.

    `prefix` is the hash of all tokens up to the end of the block.
    """

    sequence: int
    kind: str
    prefix: str


@frozen
class CacheEventPage:
    """Events after a sequence number; the next page is the one after `next`."""

    events: tuple[CacheEvent, ...]
    next: int


def hash_blocks(tokens: Sequence[str]) -> list[str]:
    """Returns, for each complete block, a hash of all tokens up to its end."""
    hashes = []
    digest = xxhash.xxh64()
    whole = len(tokens) - len(tokens) % BLOCK_TOKENS
    for start in range(0, whole, BLOCK_TOKENS):
        block = " ".join(tokens[start : start + BLOCK_TOKENS]) + " "
        digest.update(block.encode())
        hashes.append(digest.hexdigest())
    return hashes


class CacheEventLog:
    """Publishes cache events with a delay, and loses some of them at random."""

    def __init__(self, clock: Clock, random: Random, lag_s: float, loss: float) -> None:
        self._clock = clock
        self._random = random
        self._lag_s = lag_s
        self._loss = loss
        self._sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)

    def append(self, kind: str, prefix: str) -> None:
        """Records an event, unless it is lost at random.

        A lost event consumes a sequence number too, which leaves a gap.
        """
        self._sequence += 1
        if self._random.random() < self._loss:
            return
        visible_at = self._clock.seconds() + self._lag_s
        self._events.append((visible_at, CacheEvent(self._sequence, kind, prefix)))

    def read(self, after: int) -> CacheEventPage:
        """Returns the published events after a sequence number."""
        now = self._clock.seconds()
        events = tuple(
            event
            for visible_at, event in self._events
            if visible_at <= now and event.sequence > after
        )
        return CacheEventPage(events, events[-1].sequence if events else after)


class PrefixCache:
    """Caches blocks of tokens up to a capacity, evicting the least recently used."""

    def __init__(self, capacity_tokens: int, log: CacheEventLog) -> None:
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._log = log

    def count_cached_tokens(self, tokens: Sequence[str]) -> int:
        """Counts the leading tokens that are cached, and marks their blocks as used."""
        cached = 0
        for name in hash_blocks(tokens):
            if name not in self._blocks:
                break
            self._blocks.move_to_end(name)
            cached += BLOCK_TOKENS
        return cached

    def store(self, tokens: Sequence[str]) -> None:
        """Stores the complete blocks of `tokens`, evicting the least recently used."""
        self._store_blocks(hash_blocks(tokens))

    def _store_blocks(self, names: Iterable[str]) -> None:
        for name in names:
            if name in self._blocks:
                self._blocks.move_to_end(name)
                continue
            self._blocks[name] = None
            self._log.append("stored", name)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._log.append("evicted", evicted)
