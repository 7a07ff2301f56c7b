"""Tests that decoders raise the errors that they tell, whatever they read."""

from __future__ import annotations

import unittest
from typing import Any

from magnoliahold.core.claims import decode_claim
from magnoliahold.core.quarantine import decode_quarantine
from magnoliahold.decoding import (
    MAX_REASON_LENGTH,
    decode_or_none,
    describe_error,
    translate_errors,
)
from magnoliahold.errors import SettingsError
from magnoliahold.httpclient import HttpAnswer
from magnoliahold.sidecar.engine_client import _decode_answer
from magnoliahold.sidecar.engine_protocol import EngineState, EngineUnavailable
from magnoliahold.storage.exchange import decode_answer
from magnoliahold.storage.interfaces import PlatformUnavailable, Row
from magnoliahold.templates import decode_template
from tests.platform.test_foreign_rows import ERRORS, NESTED_LIST, NESTED_OBJECT

NESTED_MAPS = b"\x81\xa1a" * 100_000 + b"\x01"


class FixedError(Exception):
    """The error that a reader tells."""


def raise_error(error: type[Exception]) -> Any:
    """Makes a decoder that raises an error."""

    def decode(_: bytes) -> None:
        raise error("odd")

    return decode


class DecodingTests(unittest.TestCase):
    def test_each_error_of_a_decoder_becomes_the_one_that_is_told(self) -> None:
        for error in ERRORS:
            with self.subTest(error=error.__name__):
                self.assertIsNone(decode_or_none(raise_error(error), b""))
                with (
                    self.assertRaises(FixedError) as raised,
                    translate_errors(FixedError),
                ):
                    raise_error(error)(b"")
                self.assertIn("odd", str(raised.exception))
                self.assertIn(error.__name__, str(raised.exception))

    def test_order_to_stop_is_no_error_of_a_decoder(self) -> None:
        for error in (KeyboardInterrupt, SystemExit):
            with self.subTest(error=error.__name__):
                with self.assertRaises(error), translate_errors(FixedError):
                    raise error
                with self.assertRaises(error):
                    decode_or_none(raise_error(error), b"")  # type: ignore[arg-type]

    def test_reason_is_one_short_line(self) -> None:
        reason = describe_error(ValueError("a\n" + "x" * 10_000))
        self.assertTrue(reason.startswith("ValueError: a x"))
        self.assertLessEqual(len(reason), MAX_REASON_LENGTH)
        self.assertNotIn("\n", reason)

    # Failure: what nests deeply raised an error that no reader told.
    def test_answers_and_documents_that_nest_deeply_are_malformed(self) -> None:
        for content in (NESTED_LIST, NESTED_OBJECT):
            answer = HttpAnswer(200, (), content)
            with self.subTest(content[:5]):
                with self.assertRaises(PlatformUnavailable):
                    decode_answer(answer, Row)
                with self.assertRaises(EngineUnavailable):
                    _decode_answer(answer, EngineState)
                with self.assertRaises(SettingsError):
                    decode_template(content)
        for decode in (decode_claim, decode_quarantine):
            with self.subTest(decode.__name__):
                self.assertIsNone(decode(NESTED_MAPS))


if __name__ == "__main__":
    unittest.main()
