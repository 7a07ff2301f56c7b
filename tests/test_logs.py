"""Tests of structured logs."""

from __future__ import annotations

import io
import json
import logging
import unittest
from typing import Any

from twisted.logger import Logger

from magnoliahold.logs import (
    MAX_FIELD_ITEMS,
    MAX_FIELD_LENGTH,
    MAX_LINEAR_SEARCH_SECRETS,
    REDACTED,
    Redactor,
    configure_logging,
    make_part_logger,
    register_secret,
)

SECRET = 'credential-"quoted"-1'


class LogTests(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        handler = configure_logging("entry-1", "info", self.stream)
        self.addCleanup(logging.getLogger().removeHandler, handler)

    def read_lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_a_line_has_prefix_and_fields(self) -> None:
        logger = make_part_logger("routing:")
        logger.info("Chose engine-1 by load.", request="r-1", sentence="n", args=3)
        (line,) = self.read_lines()
        self.assertEqual(line["message"], "routing: Chose engine-1 by load.")
        self.assertEqual(line["process"], "entry-1")
        self.assertEqual(line["level"], "info")
        self.assertEqual(
            (line["request"], line["sentence"], line["args"]), ("r-1", "n", 3)
        )
        self.assertRegex(line["time"], r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z$")

    def test_extra_of_plain_loggers_becomes_fields(self) -> None:
        logger = logging.getLogger("magnoliahold.core.test")
        logger.info("part: %s.", "Sentence", extra={"stream": "s-1"})
        (line,) = self.read_lines()
        self.assertEqual((line["message"], line["stream"]), ("part: Sentence.", "s-1"))

    def test_levels_below_the_configured_one_are_not_logged(self) -> None:
        make_part_logger("routing").debug("Detail.")
        self.assertEqual(self.read_lines(), [])

    def test_configuring_again_replaces_the_handler(self) -> None:
        second = io.StringIO()
        handler = configure_logging("entry-1", "warning", second)
        self.addCleanup(logging.getLogger().removeHandler, handler)
        make_part_logger("routing").warning("Once.")
        self.assertEqual(self.stream.getvalue(), "")
        self.assertEqual(len(second.getvalue().splitlines()), 1)

    def test_twisted_events_reach_the_log(self) -> None:
        Logger("twisted.test").warn("Lost {thing}", thing="a connection")
        (line,) = self.read_lines()
        self.assertIn("Lost a connection", line["message"])

    # Failure: callers filled the log with the ids that they chose.
    def test_long_fields_are_cut_and_show_no_part_of_a_secret(self) -> None:
        secret = "s" * 30
        register_secret(secret)
        text = "x" * (MAX_FIELD_LENGTH - 10) + secret + "x" * 16_000
        items = ["y" * 16_000] * (MAX_FIELD_ITEMS + 1)
        make_part_logger("callers").info("Refused.", request=text, items=items)
        (line,) = self.read_lines()
        self.assertLess(len(line["request"]), 2 * MAX_FIELD_LENGTH)
        self.assertNotIn("sss", line["request"])
        self.assertEqual(len(line["items"]), MAX_FIELD_ITEMS)
        self.assertLess(max(map(len, line["items"])), 2 * MAX_FIELD_LENGTH)

    def test_no_line_shows_a_registered_secret(self) -> None:
        register_secret(SECRET)
        logger = make_part_logger("caller")
        runtime = Logger("twisted.test")

        def log_exception() -> None:
            try:
                raise ValueError(f"refused {SECRET}")
            except ValueError:
                logger.exception("Refused.")

        cases = {
            "sentence": lambda: logger.info(f"Got {SECRET}."),
            "field": lambda: logger.info("Got it.", header=f"Bearer {SECRET}"),
            "nested field": lambda: logger.info("Got it.", headers={"a": [SECRET]}),
            "field name": lambda: logger.info("Got it.", **{SECRET: 1}),
            "exception": log_exception,
            "argument": lambda: logging.getLogger("other").error("Got %s", SECRET),
            "runtime": lambda: runtime.error("Got {value}", value=SECRET),
        }
        for name, log in cases.items():
            with self.subTest(name):
                self.stream.truncate(0)
                self.stream.seek(0)
                log()
                text = self.stream.getvalue()
                self.assertIn(REDACTED, text)
                self.assertNotIn(SECRET, text)
                self.assertNotIn("quoted", text)


class RedactorTests(unittest.TestCase):
    def test_secrets_are_replaced_with_linear_and_prefix_search(self) -> None:
        secrets = ("12345678", "12345678-and-more", "abcdefghij", "short")
        cases = (
            ("nothing here", "nothing here"),
            ("a 12345678-and-more b", f"a {REDACTED} b"),
            ("12345678, abcdefghij", f"{REDACTED}, {REDACTED}"),
            ("short", "short"),
            ("abcdefgh", "abcdefgh"),
            ("", ""),
        )
        for others in (0, MAX_LINEAR_SEARCH_SECRETS):
            redactor = Redactor()
            for number in range(others):
                redactor.register(f"other-secret-{number}")
            for secret in secrets:
                redactor.register(secret)
            for text, expected in cases:
                with self.subTest(others=others, text=text):
                    self.assertEqual(redactor.redact(text), expected)
