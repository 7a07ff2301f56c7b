"""Tests of splitting event streams into numbered pieces."""

from __future__ import annotations

import unittest

from magnoliahold.serving.pieces import (
    MAX_PIECE_BYTES,
    PieceSplitter,
    PieceTooLongError,
)
from tests.cputime import measure_cost

STREAM = (
    b": comment\n\n"
    b"id: 1\ndata: a\n\n"
    b"weight-versions: 2\nid: 2\ndata: b\n\n"
    b"id:3\r\ndata: c\r\n\r\n"
)
# What the longest piece may cost: two seconds of an idle processor.
MAX_SPLIT_CALLS = 40_000_000


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

    def test_line_ends_may_be_mixed(self) -> None:
        for end in (b"\n\n", b"\r\n\r\n", b"\n\r\n", b"\r\n\n"):
            content = b"".join(b"id: %d\ndata: a" % n + end for n in range(1, 4))
            for size in range(1, len(content)):
                with self.subTest(end=end, size=size):
                    splitter = PieceSplitter()
                    pieces = []
                    for start in range(0, len(content), size):
                        pieces += splitter.add_bytes(content[start : start + size])
                    self.assertEqual([piece.number for piece in pieces], [1, 2, 3])
                    joined = b"".join(piece.content for piece in pieces)
                    self.assertEqual(joined, content)

    def test_incomplete_piece_is_not_returned(self) -> None:
        splitter = PieceSplitter()
        pieces = splitter.add_bytes(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
        self.assertEqual([piece.number for piece in pieces], [1])
        self.assertFalse(splitter.is_at_piece_boundary)

    def test_too_long_piece_raises_an_error(self) -> None:
        splitter = PieceSplitter()
        with self.assertRaises(PieceTooLongError):
            splitter.add_bytes(b"x" * (MAX_PIECE_BYTES + 1))

    def test_time_for_a_long_piece_does_not_depend_on_its_parts(self) -> None:
        comments = b": x\n\n" * (MAX_PIECE_BYTES // 5)
        line = b"x" * MAX_PIECE_BYTES
        for name, content, size in (
            ("comments", comments, 65536),
            ("parts of a line", line, 1),
        ):
            with self.subTest(name):
                splitter = PieceSplitter()
                with measure_cost() as cost:
                    for start in range(0, len(content), size):
                        splitter.add_bytes(content[start : start + size])
                self.assertLess(cost.calls, MAX_SPLIT_CALLS)

    def test_number_is_read_in_any_line_of_its_event_only(self) -> None:
        splitter = PieceSplitter()
        (piece,) = splitter.add_bytes(b"data: a\n\nx: id: 4\nid: 5\n\nid: 6\n")
        self.assertEqual(piece.number, 5)
        self.assertEqual(piece.content, b"data: a\n\nx: id: 4\nid: 5\n\n")


if __name__ == "__main__":
    unittest.main()
