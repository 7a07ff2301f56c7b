"""Tests that chunked bodies are decoded whole, whatever the segments and turns."""

from __future__ import annotations

import unittest
from random import Random

from twisted.web.http import _MalformedChunkedDataError

from magnoliahold.httpchunks import (
    MAX_SIZE_LINE_BYTES,
    MAX_TRAILER_BYTES,
    ChunkDecoder,
    ChunkState,
)

BODIES = (
    ("one chunk", b"2\r\nhi\r\n0\r\n\r\n", b"hi"),
    ("no chunk", b"0\r\n\r\n", b""),
    ("small chunks", b"1\r\nx\r\n" * 50 + b"0\r\n\r\n", b"x" * 50),
    ("extensions", b"2;a=b;c\r\nhi\r\n0;d\r\n\r\n", b"hi"),
    ("trailers", b"2\r\nhi\r\n0\r\nA: b\r\nC: d\r\n\r\n", b"hi"),
    ("leading zeros", b"0002\r\nhi\r\n000\r\n\r\n", b"hi"),
    ("capital digits", b"A\r\n0123456789\r\n0\r\n\r\n", b"0123456789"),
    ("line ends within", b"4\r\n\r\n\r\n\r\n0\r\n\r\n", b"\r\n\r\n"),
)
MALFORMED = (
    ("no size", b"\r\nhi\r\n"),
    ("sign", b"+2\r\nhi\r\n"),
    ("space", b"2 \r\nhi\r\n"),
    ("prefix", b"0x2\r\nhi\r\n"),
    ("longer than it says", b"2\r\nhi!\r\n"),
    ("half a line end", b"2\r\nhi\rx"),
    ("control character", b"2;\x00\r\nhi\r\n"),
    ("line feed in an extension", b"2;a\n\r\nhi\r\n"),
    ("too many digits", b"1" * 16 + b"\r\n"),
    ("endless size line", b"1;" + b"e" * MAX_SIZE_LINE_BYTES),
    ("endless trailers", b"0\r\n" + b"A: b\r\n" * MAX_TRAILER_BYTES),
)
BEHIND = b"GET / HTTP/1.1\r\n"


class Body:
    """A body that is decoded in segments, with some parts at a time."""

    def __init__(self) -> None:
        self.content = b""
        self.rest: bytes | None = None
        self.decoder = ChunkDecoder(self.add, self.finish)

    def add(self, content: bytes) -> None:
        self.content += content

    def finish(self, rest: bytes) -> None:
        self.rest = rest

    def decode(self, wire: bytes, segment: int, parts: int) -> None:
        """Decodes a body, of which a segment comes at a time."""
        left = b""
        for start in range(0, len(wire), segment):
            left += wire[start : start + segment]
            while left and self.rest is None:
                used, left = self.decoder.decode(left, parts)
                assert used <= parts + 1
                if not left:
                    break
            if self.rest is not None:
                self.rest += left + wire[start + segment :]
                return


class ChunkDecoderTests(unittest.TestCase):
    def test_bodies_are_decoded_in_any_segments_and_turns(self) -> None:
        for name, wire, content in BODIES:
            for segment in (1, 2, 3, 7, 1000):
                for parts in (1, 2, 100):
                    with self.subTest(name, segment=segment, parts=parts):
                        body = Body()
                        body.decode(wire + BEHIND, segment, parts)
                        self.assertEqual((body.content, body.rest), (content, BEHIND))
                        self.assertIs(body.decoder.state, ChunkState.FINISHED)

    def test_random_bodies_are_decoded(self) -> None:
        random = Random(51)
        for _ in range(200):
            chunks = [random.randbytes(random.randint(1, 9)) for _ in range(30)]
            wire = b"".join(b"%x\r\n%s\r\n" % (len(item), item) for item in chunks)
            body = Body()
            segment = random.randint(1, 40)
            body.decode(wire + b"0\r\n\r\n" + BEHIND, segment, random.randint(1, 8))
            self.assertEqual((body.content, body.rest), (b"".join(chunks), BEHIND))

    def test_what_is_no_chunked_body_is_rejected(self) -> None:
        for name, wire in MALFORMED:
            for segment in (1, 1000, len(wire)):
                with (
                    self.subTest(name, segment=segment),
                    self.assertRaises(_MalformedChunkedDataError),
                ):
                    Body().decode(wire, segment, 1000)

    def test_no_more_parts_are_decoded_than_allowed(self) -> None:
        body = Body()
        used, left = body.decoder.decode(b"1\r\nx\r\n" * 100, 10)
        self.assertEqual((used, body.content), (10, b"x" * 10))
        self.assertEqual(left, b"1\r\nx\r\n" * 90)


if __name__ == "__main__":
    unittest.main()
