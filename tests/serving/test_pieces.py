"""Tests of splitting event streams into numbered pieces."""

from __future__ import annotations

import unittest

from magnoliahold.serving.pieces import (
    MAX_PIECE_BYTES,
    PieceSplitter,
    PieceTooLongError,
)

STREAM = (
    b": comment\n\n"
    b"id: 1\ndata: a\n\n"
    b"weight-versions: 2\nid: 2\ndata: b\n\n"
    b"id:3\r\ndata: c\r\n\r\n"
)


class PieceTests(unittest.TestCase):
    def test_chunk_size_does_not_change_the_pieces(self) -> None:
        for size in (1, 2, 3, 7, len(STREAM)):
            with self.subTest(size=size):
                splitter = PieceSplitter()
                pieces = []
                for start in range(0, len(STREAM), size):
                    pieces += splitter.add_bytes(STREAM[start : start + size])
                self.assertEqual([piece.number for piece in pieces], [1, 2, 3])
                self.assertEqual(b"".join(piece.content for piece in pieces), STREAM)
                self.assertTrue(splitter.is_at_piece_boundary)

    def test_incomplete_piece_is_not_returned(self) -> None:
        splitter = PieceSplitter()
        pieces = splitter.add_bytes(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
        self.assertEqual([piece.number for piece in pieces], [1])
        self.assertFalse(splitter.is_at_piece_boundary)

    def test_too_long_piece_raises_an_error(self) -> None:
        splitter = PieceSplitter()
        with self.assertRaises(PieceTooLongError):
            splitter.add_bytes(b"x" * (MAX_PIECE_BYTES + 1))


if __name__ == "__main__":
    unittest.main()
