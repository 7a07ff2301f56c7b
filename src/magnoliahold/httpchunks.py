"""Decodes chunked bodies, with bounded work at a time."""

from __future__ import annotations

import re
from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field
from twisted.web.http import _MalformedChunkedDataError

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_SIZE_LINE_BYTES = 1024
# Trailers are discarded; so much of them is read.
MAX_TRAILER_BYTES = 16 * 1024
LINE_END = b"\r\n"
PLAIN_SIZE = re.compile(rb"([0-9A-Fa-f]{1,4})\r\n")
SIZE_LINE = re.compile(rb"(0*[0-9A-Fa-f]{1,15})(?:;[\t\x20-\x7e\x80-\xff]*)?")


class ChunkState(Enum):
    """What is due next."""

    SIZE = "size"
    CONTENT = "content"
    CONTENT_END = "content_end"
    TRAILERS = "trailers"
    FINISHED = "finished"


@define(eq=False)
class ChunkDecoder:
    """Decodes one body.

    `on_content` gets its content, and `on_finished` the bytes behind its end.
    """

    on_content: Callable[[bytes], None]
    on_finished: Callable[[bytes], None]
    state: ChunkState = ChunkState.SIZE
    _left: int = 0
    _trailer_bytes: int = 0
    _pending: bytes = b""
    _content: list[bytes] = field(factory=list)

    def decode(self, data: bytes, parts: int) -> tuple[int, bytes]:
        """Decodes at most so many chunks and lines of trailers.

        Returns how many it decoded, and the bytes that are left for want of parts.
        Raises _MalformedChunkedDataError for what is no chunked body, with the content
        before it delivered.
        """
        try:
            return self._decode(self._pending + data, parts)
        except _MalformedChunkedDataError:
            self._deliver()
            raise

    def _decode(self, data: bytes, parts: int) -> tuple[int, bytes]:
        self._pending = b""
        used = 0
        position = 0
        while position < len(data) and self.state is not ChunkState.FINISHED:
            if self.state is ChunkState.SIZE:
                whole, position = self._decode_whole(data, position, parts - used)
                used += whole
            begins_part = self.state in (ChunkState.SIZE, ChunkState.TRAILERS)
            if begins_part and used >= parts:
                break
            start, position = position, self._decode_next(data, position)
            if position == start:
                self._pending = data[start:]
                position = len(data)
            elif begins_part:
                used += 1
        self._deliver()
        rest = data[position:]
        if self.state is ChunkState.FINISHED:
            self.on_finished(rest)
            rest = b""
        return used, rest

    def _decode_whole(self, data: bytes, position: int, parts: int) -> tuple[int, int]:
        """Decodes plain chunks that came whole, which may be many and very small.

        Returns how many they are, and where the next one begins.
        """
        for count in range(parts):
            match = PLAIN_SIZE.match(data, position)
            if match is None:
                return count, position
            start = match.end()
            end = start + int(match[1], 16)
            behind = end + len(LINE_END)
            if end == start or data[end:behind] != LINE_END:
                return count, position
            self._content.append(data[start:end])
            position = behind
        return max(0, parts), position

    def _decode_next(self, data: bytes, position: int) -> int:
        """Decodes what is due; returns its end, or `position` if more must come."""
        if self.state is ChunkState.CONTENT:
            return self._decode_content(data, position)
        if self.state is ChunkState.CONTENT_END:
            return self._decode_content_end(data, position)
        end = data.find(LINE_END, position, position + MAX_SIZE_LINE_BYTES)
        if end < 0:
            if len(data) - position >= MAX_SIZE_LINE_BYTES:
                raise _MalformedChunkedDataError("a line is too long")
            return position
        if self.state is ChunkState.SIZE:
            self._decode_size(data, position, end)
        else:
            self._decode_trailer(end - position)
        return end + len(LINE_END)

    def _decode_size(self, data: bytes, start: int, end: int) -> None:
        match = SIZE_LINE.fullmatch(data, start, end)
        if match is None:
            raise _MalformedChunkedDataError("a size can't be read")
        self._left = int(match.group(1), 16)
        self.state = ChunkState.CONTENT if self._left else ChunkState.TRAILERS

    def _decode_content(self, data: bytes, position: int) -> int:
        content = data[position : position + self._left]
        self._content.append(content)
        self._left -= len(content)
        if not self._left:
            self.state = ChunkState.CONTENT_END
        return position + len(content)

    def _decode_content_end(self, data: bytes, position: int) -> int:
        found = data[position : position + len(LINE_END)]
        if not LINE_END.startswith(found):
            raise _MalformedChunkedDataError("a chunk is longer than it says")
        if len(found) < len(LINE_END):
            return position
        self.state = ChunkState.SIZE
        return position + len(LINE_END)

    def _decode_trailer(self, length: int) -> None:
        self._trailer_bytes += length + len(LINE_END)
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise _MalformedChunkedDataError("the trailers are too long")
        if not length:
            self.state = ChunkState.FINISHED

    def _deliver(self) -> None:
        if self._content:
            content = b"".join(self._content)
            self._content.clear()
            self.on_content(content)
