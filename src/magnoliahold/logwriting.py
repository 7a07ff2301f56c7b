"""Writes log lines without blocking, and limits their rate."""

from __future__ import annotations

import logging
import os
import time
from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.logs import FIELDS

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_BUFFERED_BYTES = 512 * 1024
MAX_LINES_PER_S = 400
MAX_PLAIN_LINES_PER_S = 200
RATE_WINDOW_S = 1.0
PLAIN_FIELD = "plain"


@define(eq=False)
class NonBlockingStream:
    """A stream over a file descriptor that discards lines when its buffer is full.

    Bytes that the descriptor doesn't accept at once are buffered, up to
    `max_buffered_bytes`. Lines beyond that are discarded whole. `unreported_drops`
    counts them until the next line that fits is preceded by a line with their number;
    `total_dropped` counts all.
    """

    descriptor: int
    max_buffered_bytes: int = MAX_BUFFERED_BYTES
    unreported_drops: int = 0
    total_dropped: int = 0
    _buffer: bytearray = field(factory=bytearray)

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> int:
        """Writes, buffers or discards a text; returns the number of characters."""
        content = text.encode("utf-8", "backslashreplace")
        if len(self._buffer) + len(content) > self.max_buffered_bytes:
            self.flush()
        if len(self._buffer) + len(content) > self.max_buffered_bytes:
            self.unreported_drops += 1
            self.total_dropped += 1
            return 0
        if self.unreported_drops:
            report = (
                f'{{"message": "log: Lines dropped.", "count": {self.unreported_drops}'
                "}\n"
            )
            self._buffer += report.encode()
            self.unreported_drops = 0
        self._buffer += content
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes what the descriptor accepts now; the rest stays buffered."""
        while self._buffer:
            try:
                count = os.write(self.descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The other end is closed, so the loss of these lines can't be reported.
                self.total_dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:count]


class RateFilter(logging.Filter):
    """Suppresses log lines beyond a rate limit.

    Plain lines, i.e. those about requests that succeeded, have a lower limit than the
    others, so they are suppressed first. The next line that passes carries the number
    of suppressed lines in the field `left_out`.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._passed: deque[float] = deque()
        self._suppressed = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether a line is written."""
        now = self._clock()
        while self._passed and now - self._passed[0] >= RATE_WINDOW_S:
            self._passed.popleft()
        fields = getattr(record, FIELDS, {})
        plain = bool(fields.pop(PLAIN_FIELD, False))
        limit = MAX_PLAIN_LINES_PER_S if plain else MAX_LINES_PER_S
        if len(self._passed) >= limit:
            self._suppressed += 1
            return False
        self._passed.append(now)
        if self._suppressed:
            fields["left_out"] = self._suppressed
            self._suppressed = 0
        return True
