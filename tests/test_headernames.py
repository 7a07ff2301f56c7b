"""Tests that made-up names of headers take bounded memory."""

from __future__ import annotations

import tracemalloc
import unittest

from twisted.web import http_headers
from twisted.web.http_headers import Headers

from magnoliahold.headernames import MAX_KEPT_NAME_BYTES, bound_kept_names

NAME_BYTES = 16_000
NAMES = 500
HELD_BYTES = 1024 * 1024


class KeptNameTests(unittest.TestCase):
    def setUp(self) -> None:
        encoder = http_headers._nameEncoder
        self.addCleanup(
            setattr, encoder, "_canonicalHeaderCache", encoder._canonicalHeaderCache
        )

    # Failure: each name of a header stayed in memory for as long as the process ran, up
    # to 10,000 of any length.
    def test_long_names_are_not_kept(self) -> None:
        bound_kept_names()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(NAMES):
            name = b"%d" % number + b"x" * NAME_BYTES
            headers = Headers()
            headers.addRawHeader(name, b"value")
            self.assertEqual(headers.getRawHeaders(name), [b"value"])
        held, _ = tracemalloc.get_traced_memory()
        self.assertLess(held, HELD_BYTES)

    def test_short_names_are_kept(self) -> None:
        bound_kept_names()
        name = b"x" * MAX_KEPT_NAME_BYTES
        Headers().addRawHeader(name, b"value")
        self.assertIn(name, http_headers._nameEncoder._canonicalHeaderCache)
