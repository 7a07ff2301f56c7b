"""Writes log lines without ever blocking, and bounds how many there are."""

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
    """A stream over a file descriptor that drops whole lines when nobody reads.

    What the descriptor doesn't take at once is kept, up to a bound; `dropped` counts
    the lines beyond it until the next line tells of them.
    """

    descriptor: int
    max_buffered_bytes: int = MAX_BUFFERED_BYTES
    unreported_drops: int = 0
    total_dropped: int = 0
    _buffer: bytearray = field(factory=bytearray)

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> int:
        """Writes a text, keeps it for later, or drops it."""
        content = text.encode("utf-8", "backslashreplace")
        if len(self._buffer) + len(content) > self.max_buffered_bytes:
            self.flush()
        if len(self._buffer) + len(content) > self.max_buffered_bytes:
            self.unreported_drops += 1
            self.total_dropped += 1
            return 0
        if self.unreported_drops:
            note = f'{{"message": "log: Lines dropped.", "count": {self.unreported_drops}}}\n'
            self._buffer += note.encode()
            self.unreported_drops = 0
        self._buffer += content
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Hands over what the descriptor takes now; the rest is kept."""
        while self._buffer:
            try:
                count = os.write(self.descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and nobody can be told of it.
                self.total_dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:count]


class RateFilter(logging.Filter):
    """Leaves lines out when there are too many of them within a second.

    Lines about requests that went well are left out first; all others have the whole
    bound for themselves. The next line that passes tells how many were left out.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._passed: deque[float] = deque()
        self._left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Tells whether a line is written."""
        now = self._clock()
        while self._passed and now - self._passed[0] >= RATE_WINDOW_S:
            self._passed.popleft()
        fields = getattr(record, FIELDS, {})
        plain = bool(fields.pop(PLAIN_FIELD, False))
        limit = MAX_PLAIN_LINES_PER_S if plain else MAX_LINES_PER_S
        if len(self._passed) >= limit:
            self._left_out += 1
            return False
        self._passed.append(now)
        if self._left_out:
            fields["left_out"] = self._left_out
            self._left_out = 0
        return True
