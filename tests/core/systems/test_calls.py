"""Tests of which calls of plain services may be repeated."""

from __future__ import annotations

import unittest

from magnoliahold.core.systems.calls import is_repeatable
from magnoliahold.core.workspaces import ServiceRule


class RepeatableTests(unittest.TestCase):
    def test_only_calls_that_the_template_lists_are_repeatable(self) -> None:
        rule = ServiceRule("desk", ("desk",), ("GET /runs/*", "POST /lookup/**"))
        cases = (
            ("GET", "runs/5", True),
            ("GET", "/runs/5?full=1", True),
            ("GET", "/runs/5/confirm", False),
            ("POST", "/lookup/a/b", True),
            ("POST", "/lookup/../bookings", False),
            ("POST", "/lookup/..%2fbookings", False),
            ("PUT", "/lookup/a", False),
        )
        for method, path, expected in cases:
            with self.subTest(method=method, path=path):
                self.assertEqual(is_repeatable(rule, method, path), expected)
