"""Tests of the patterns that select repeatable calls."""

from __future__ import annotations

import unittest

from magnoliahold.templates.patterns import find_pattern_problem, matches_pattern


class PatternTests(unittest.TestCase):
    def test_patterns_match_calls(self) -> None:
        cases = (
            ("GET /a", "GET", "/a", True),
            ("GET /a", "get", "/a", True),
            ("GET /a", "POST", "/a", False),
            ("GET /a", "GET", "/a/b", False),
            ("GET /a", "GET", "/ab", False),
            ("GET /a.b", "GET", "/axb", False),
            ("GET /a/*", "GET", "/a/b", True),
            ("GET /a/*", "GET", "/a/b/c", False),
            ("GET /a/*/c", "GET", "/a/b/c", True),
            ("GET /a/**", "GET", "/a/b/c", True),
            ("GET /a/**", "GET", "/a", False),
            ("GET /a/**", "GET", "/a/b\n", True),
            ("GET /a/**", "GET", "/a/../book", False),
            ("GET /a/**", "GET", "/a/%2E%2e/book", False),
            ("GET /a/*", "GET", "/a/..", False),
            ("GET /a/*", "GET", "/a/..%2Fbook", False),
            ("GET /a/*", "GET", "/a/..\\book", False),
            ("GET /a", "GET", "/a?b=../c", True),
            ("GET /a/*", "GET", "/a/b?c=d/e", True),
            ("GET /**", "GET", "/a..b", True),
        )
        for pattern, method, path, expected in cases:
            with self.subTest(pattern=pattern, method=method, path=path):
                self.assertEqual(matches_pattern(pattern, method, path), expected)

    def test_invalid_patterns_have_a_problem(self) -> None:
        cases = (
            ("GET /a/**", None),
            ("FETCH /a", "not a method"),
            ("GET", "does not begin"),
            ("GET a", "does not begin"),
            ("GET /**/a", "before the end"),
            ("GET /***", "before the end"),
            ("GET /a?b=c", "contains a space"),
            ("GET /a b", "contains a space"),
        )
        for pattern, problem in cases:
            with self.subTest(pattern):
                found = find_pattern_problem(pattern)
                self.assertTrue(found is None if problem is None else problem in found)
