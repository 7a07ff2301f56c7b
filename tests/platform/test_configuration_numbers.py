"""Tests of configurations whose numbers are given as text that is no finite number."""

from __future__ import annotations

import json
import unittest
from typing import Any

from magnoliahold.platform.documents import DocumentError, read_configuration

SHARE = {"service": "s-1", "weight": 1}
ROUTE = {
    "name": "r-1",
    "hostname": "host.example",
    "prefix": "/a/",
    "kind": "idempotent",
    "timeout_ms": 1000,
    "traffic_split": [SHARE],
}
NOT_FINITE = ("nan", "inf", "-inf", "Infinity")


def make_document(limits: dict[str, Any], **changes: Any) -> bytes:
    """Makes a configuration of one route, with changes to it."""
    document = {"version": 1, "routes": [{**ROUTE, **changes}], "limits": limits}
    return json.dumps(document).encode()


class ConfigurationNumberTests(unittest.TestCase):
    def test_numbers_as_text_are_read(self) -> None:
        share = {**SHARE, "weight": "2.5"}
        document = make_document({"idle_timeout_ms": "9000"}, traffic_split=[share])
        configuration = read_configuration(document)
        self.assertEqual(configuration.routes[0].shares[0].weight, 2.5)
        self.assertEqual(configuration.limits.idle_timeout_s, 9.0)

    def test_configuration_with_a_number_that_is_not_finite_is_invalid(self) -> None:
        for text in NOT_FINITE:
            share = {**SHARE, "weight": text}
            documents = (
                make_document({}, traffic_split=[share]),
                make_document({}, timeout_ms=text),
                make_document({}, goal_ms=text),
                make_document({}, gap_goal_ms=text),
                make_document({"header_timeout_ms": text}),
                make_document({"idle_timeout_ms": text}),
            )
            for document in documents:
                with self.subTest(document), self.assertRaises(DocumentError):
                    read_configuration(document)


if __name__ == "__main__":
    unittest.main()
