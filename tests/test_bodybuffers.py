"""Tests that bodies are collected from parts of any size."""

from __future__ import annotations

import tracemalloc
import unittest

from magnoliahold.bodybuffers import MIN_BLOCK_BYTES, BodyBuffer

PART_SIZES = (1, 7, MIN_BLOCK_BYTES - 1, MIN_BLOCK_BYTES, 3 * MIN_BLOCK_BYTES)
BODY = bytes(range(256)) * 2048
# What a body may take beside its bytes: the block that isn't full, and objects.
SPARE_BYTES = 3 * MIN_BLOCK_BYTES


class BodyBufferTests(unittest.TestCase):
    def test_parts_of_each_size_are_joined(self) -> None:
        for size in PART_SIZES:
            with self.subTest(size=size):
                buffer = BodyBuffer()
                for start in range(0, len(BODY), size):
                    buffer.add(BODY[start : start + size])
                    self.assertEqual(len(buffer), min(len(BODY), start + size))
                self.assertEqual(buffer.join(), BODY)
                buffer.clear()
                self.assertEqual((len(buffer), buffer.join()), (0, b""))

    # Failure: a body in parts of one byte took 42 bytes for each (review case 6), and
    # in one buffer that grows up to an eighth more than its length, and holes.
    def test_body_takes_little_more_than_its_bytes(self) -> None:
        for size in PART_SIZES:
            with self.subTest(size=size):
                buffer = BodyBuffer()
                tracemalloc.start()
                try:
                    for start in range(0, len(BODY), size):
                        buffer.add(BODY[start : start + size])
                    held, _ = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                self.assertLess(held, len(BODY) + SPARE_BYTES)
