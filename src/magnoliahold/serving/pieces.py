"""Splits an event stream (SSE) into its numbered pieces."""

from __future__ import annotations

import re

from attrs import define, frozen

PIECE_END = re.compile(rb"\r?\n\r?\n")
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

    Events without a number, such as comments, become part of the next numbered piece.
    """

    buffer: bytes = b""
    unnumbered: bytes = b""

    def add_bytes(self, data: bytes) -> list[Piece]:
        """Adds bytes and returns the pieces that are complete now."""
        content = self.buffer + data
        pieces = []
        start = 0
        for end in PIECE_END.finditer(content):
            event = self.unnumbered + content[start : end.end()]
            start = end.end()
            number = NUMBER_LINE.search(event)
            if number is None:
                self.unnumbered = event
                continue
            self.unnumbered = b""
            pieces.append(Piece(int(number.group(1)), event))
        self.buffer = content[start:]
        if len(self.buffer) + len(self.unnumbered) > MAX_PIECE_BYTES:
            raise PieceTooLongError(f"a piece is longer than {MAX_PIECE_BYTES} bytes")
        return pieces

    @property
    def is_at_piece_boundary(self) -> bool:
        """Whether all bytes so far belong to complete events."""
        return not self.buffer.strip()
