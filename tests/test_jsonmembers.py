"""Tests of splitting JSON documents into their members."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, strategies

from magnoliahold.jsonmembers import UnbalancedError, split_members

LEVELS = 100_000
VALUES = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(),
    lambda inner: (
        strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner)
    ),
)


class JsonMembersTests(unittest.TestCase):
    def test_members_are_returned_as_they_stand(self) -> None:
        nested = b"[" * LEVELS + b"]" * LEVELS
        for document, members in (
            (b"[]", []),
            (b" { } ", []),
            (b"[[]]", [b"[]"]),
            (b'{"a": [1, 2] , "b":{"c":3}}', [b'"a": [1, 2]', b'"b":{"c":3}']),
            (b'["]", "}\\"]", "a,b"]', [b'"]"', b'"}\\"]"', b'"a,b"']),
            (b"[1,,odd]", [b"1", b"", b"odd"]),
            (b"[1, %s, 2]" % nested, [b"1", nested, b"2"]),
            (b"[1] [2, 3]", [b"1"]),
        ):
            with self.subTest(document[:40]):
                self.assertEqual(split_members(document), members)

    def test_document_without_an_end_is_reported(self) -> None:
        for document in (b"", b" ", b"5", b"[", b"[[]", b'["]', b'{"a": [}', b"]"):
            with self.subTest(document), self.assertRaises(UnbalancedError):
                split_members(document)

    @given(strategies.lists(VALUES))
    def test_items_of_any_list_are_found(self, items: list[object]) -> None:
        document = json.dumps(items).encode()
        found = [json.loads(member) for member in split_members(document)]
        self.assertEqual(found, items)


if __name__ == "__main__":
    unittest.main()
