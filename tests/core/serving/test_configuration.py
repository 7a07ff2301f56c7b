"""Tests of configurations with numbers that can't be computed with."""

from __future__ import annotations

import unittest
from math import inf, nan
from typing import Any

from attrs import evolve

from magnoliahold.core.serving.configuration import (
    CallerLimits,
    RouteKind,
    Service,
    ServiceShare,
)
from tests.core.serving.harness import (
    CALLS,
    ENGINES,
    ServingHarness,
    make_configuration,
    make_route,
)

ROUTE = make_route(RouteKind.STREAM, ENGINES)

# Values, and the name of a number of each.
NUMBERS: tuple[tuple[Any, str], ...] = (
    (ServiceShare(ENGINES, 1.0), "weight"),
    (ROUTE, "timeout_s"),
    (ROUTE, "goal_s"),
    (ROUTE, "gap_goal_s"),
    (Service(ENGINES), "memory_tokens"),
    (CallerLimits(), "header_timeout_s"),
    (CallerLimits(), "idle_timeout_s"),
)
INVALID = (nan, inf, -inf, 1e308, 10**400)
# The weights of two services of a route; traffic is sent to one of them.
WEIGHTS = ((0.0, 0.0), (1.0, 0.0), (90, 10), (2.0**53, 2.0**53))


class ConfigurationTests(unittest.TestCase):
    def test_numbers_out_of_range_are_invalid(self) -> None:
        for value, name in NUMBERS:
            for number in INVALID:
                with (
                    self.subTest(name=name, number=number),
                    self.assertRaisesRegex(ValueError, f"{name} is out of range"),
                ):
                    evolve(value, **{name: number})

    def test_requests_are_admitted_by_weight(self) -> None:
        for weights in WEIGHTS:
            with self.subTest(weights=weights):
                shares = tuple(map(ServiceShare, (ENGINES, CALLS), weights))
                route = evolve(ROUTE, shares=shares)
                harness = ServingHarness()
                harness.start(make_configuration(routes=(route,)))
                harness.request(RouteKind.STREAM)
                self.assertEqual(len(harness.world.requests.attempts), 1)


if __name__ == "__main__":
    unittest.main()
