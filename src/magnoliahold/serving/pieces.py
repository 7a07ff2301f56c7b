"""Splits an event stream into its numbered pieces."""

from __future__ import annotations

import re

from attrs import define, frozen

PIECE_END = re.compile(rb"\r?\n\r?\n")
NUMBER_LINE = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
MAX_PIECE_BYTES = 1024 * 1024


class PieceTooLongError(Exception):
    """A stream has a piece of no reasonable size; the upstream is at fault."""


@frozen
class Piece:
    """A whole event with the bytes that the upstream sent for it."""

    number: int
    content: bytes


@define
class PieceSplitter:
    """Collects bytes of an event stream until they make whole events.

    Events without a number, such as comments, go along with the next one.
    """

    buffer: bytes = b""
    unnumbered: bytes = b""

    def add_bytes(self, data: bytes) -> list[Piece]:
        """Adds bytes and returns the pieces that are whole now."""
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
        """Whether all bytes so far belong to whole events."""
        return not self.buffer.strip()
