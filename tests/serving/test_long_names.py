"""Tests that names which callers choose stay short where they are kept or sent."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from twisted.web.http_headers import Headers

from magnoliahold.core.serving.names import MAX_NAME_LENGTH, bound_name
from magnoliahold.core.serving.peers import LoadNotice, PrefixCacheLocation
from magnoliahold.serving.callerrequests import MAX_PROMPT_PARTS, read_request
from magnoliahold.serving.notices import MAX_ITEMS, encode_notice

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import PromptPart

MAX_DATAGRAM_BYTES = 65_507
LONG = "a" * 16_000


class NameTests(unittest.TestCase):
    def read_prompt(self, prompt: str) -> tuple[PromptPart, ...]:
        """Reads the parts of a prompt."""
        headers = Headers({"Request-Id": ["abc"], "Prompt-Prefix": [prompt]})
        return read_request(1, b"POST", b"/", headers).prompt

    def test_short_names_stay_and_long_ones_differ(self) -> None:
        self.assertEqual(bound_name("a" * MAX_NAME_LENGTH), "a" * MAX_NAME_LENGTH)
        self.assertLessEqual(len(bound_name(LONG)), MAX_NAME_LENGTH)
        self.assertNotEqual(bound_name(LONG), bound_name(LONG + "b"))

    # Failure: one long part of a prompt made notices too large for a datagram, so that
    # no other entry heard of this one.
    def test_notice_about_long_parts_fits_a_datagram(self) -> None:
        (part,) = self.read_prompt(f"{LONG}:8000")
        places = (PrefixCacheLocation(part.id, "i-1"),) * MAX_ITEMS
        notice = LoadNotice("entry-1", "entry-1.a", 1, places=places)
        self.assertLess(len(encode_notice(notice)), MAX_DATAGRAM_BYTES)

    def test_prompt_of_too_many_parts_counts_as_absent(self) -> None:
        most = ",".join(f"{number:x}:1" for number in range(MAX_PROMPT_PARTS))
        self.assertEqual(len(self.read_prompt(most)), MAX_PROMPT_PARTS)
        self.assertEqual(self.read_prompt(most + ",abc:1"), ())
