"""Splits an event stream (SSE) into its numbered pieces."""

from __future__ import annotations

import re

from attrs import define, field, frozen

# The carriage return before the first line end is not needed to find the second. A
# pattern that begins with a fixed byte is found much faster.
PIECE_END = re.compile(rb"\n\r?\n")
MAX_END_BYTES = 3
NUMBER_LINE = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
MAX_PIECE_BYTES = 1024 * 1024


class PieceTooLongError(Exception):
    """An upstream sent a piece larger than MAX_PIECE_BYTES."""


@frozen
class Piece:
    """A complete numbered event, as the bytes that the upstream sent."""

    number: int
    content: bytes


@define
class PieceSplitter:
    """Buffers bytes of an event stream and splits them into complete events.

    Events without a number, such as comments, become part of the next numbered piece,
    or are the rest of the stream.
    Each byte is searched once, however small the parts are in which the bytes arrive.
    """

    _buffer: bytearray = field(factory=bytearray)
    _event_start: int = 0
    _search_start: int = 0
    _complete: list[Piece] = field(factory=list)

    def add_bytes(self, data: bytes) -> list[Piece]:
        """Adds bytes and returns the pieces that are complete now.

        After an error, `take_complete` returns those before it.
        """
        self._buffer += data
        # An event ends with a line end, which is then among the new bytes.
        if b"\n" in data:
            self._split()
        if len(self._buffer) > MAX_PIECE_BYTES:
            raise PieceTooLongError(f"a piece is longer than {MAX_PIECE_BYTES} bytes")
        return self.take_complete()

    def take_complete(self) -> list[Piece]:
        """Removes and returns the complete pieces that weren't returned yet."""
        complete = self._complete
        self._complete = []
        return complete

    def _split(self) -> None:
        """Removes the complete pieces from the buffer.

        The end of an event may have arrived in part.
        """
        buffer = self._buffer
        piece_start = 0
        for found in PIECE_END.finditer(buffer, self._search_start):
            end = found.end()
            number = NUMBER_LINE.search(buffer, self._event_start, end)
            self._event_start = end
            if number is not None:
                content = bytes(buffer[piece_start:end])
                self._complete.append(Piece(int(number.group(1)), content))
                piece_start = end
        del buffer[:piece_start]
        self._event_start -= piece_start
        unsearched = len(buffer) - MAX_END_BYTES + 1
        self._search_start = max(self._event_start, unsearched)

    @property
    def buffered_bytes(self) -> int:
        """The bytes of the piece that isn't complete yet."""
        return len(self._buffer)

    @property
    def rest(self) -> bytes:
        """What came behind the last piece: events without a number, at the end."""
        return bytes(self._buffer)

    @property
    def is_at_piece_boundary(self) -> bool:
        """Whether all bytes so far belong to complete events."""
        return not self._buffer[self._event_start :].strip()
