"""Tests of the capacity measurements, at small sizes."""

from __future__ import annotations

import unittest

from magnoliahold.measure.capacity import heartbeats, memory, rows, ticks
from magnoliahold.measure.capacity.fits import fit_slope
from magnoliahold.measure.capacity.nodes import (
    add_running_generation,
    make_capacity_node,
)

SMALL = (2, 4, 8, 16)


class FitTests(unittest.TestCase):
    """The least-squares fit."""

    def test_exact_lines_are_fitted(self) -> None:
        cases = (
            ("rising", lambda size: 3.0 + 2.0 * size, 2.0, 3.0, 1.0),
            ("level", lambda size: 5.0, 0.0, 5.0, 1.0),
        )
        for name, cost, slope, intercept, r2 in cases:
            with self.subTest(name):
                fit = fit_slope("s", "peer", SMALL, cost)
                self.assertAlmostEqual(fit.slope, slope)
                self.assertAlmostEqual(fit.intercept, intercept)
                self.assertAlmostEqual(fit.r2, r2)
                self.assertAlmostEqual(fit.predict_cost(100), intercept + 100 * slope)

    def test_a_cubic_curve_has_lower_r2(self) -> None:
        fit = fit_slope("s", "row", (1, 10, 100, 1_000), lambda size: float(size**3))
        self.assertLess(fit.r2, 0.999)


class MeasurementTests(unittest.TestCase):
    """Each measurement runs the real code and returns a cost."""

    def test_costs_are_positive(self) -> None:
        cases = (
            ticks.time_relayed_token,
            ticks.time_routing,
            ticks.time_idle_tick,
            ticks.time_tick_with_streams,
            ticks.time_tick_with_workspaces,
            rows.time_change,
            rows.time_configuration_load,
            heartbeats.time_heartbeat_round,
        )
        for measure in cases:
            with self.subTest(measure.__name__):
                self.assertGreater(measure(4), 0.0)

    def test_memory_grows_with_rows(self) -> None:
        cases = (
            memory.measure_workspaces,
            memory.measure_upstreams,
            memory.measure_streams,
            memory.measure_claims,
        )
        for measure in cases:
            with self.subTest(measure.__name__):
                self.assertGreater(measure(80), 2 * measure(20))

    def test_relayed_tokens_are_delivered_to_the_callers(self) -> None:
        node = make_capacity_node(4)
        generations = [add_running_generation(node, number) for number in range(3)]
        ticks.relay_round(node, generations)
        ticks.relay_round(node, generations)
        for generation in generations:
            self.assertEqual(generation.delivered, 2)

    def test_all_workspaces_are_loaded_in_random_order(self) -> None:
        world = make_capacity_node(1).world
        rows.load_rows(world, rows.make_stored_rows(50))
        self.assertEqual(len(world.workspaces.rows), 50)
        self.assertEqual(world.workspaces.head, 50)

    def test_messages_and_rows_have_a_size(self) -> None:
        for count in (
            heartbeats.count_entry_heartbeat_bytes,
            heartbeats.count_sidecar_heartbeat_bytes,
            rows.count_row_bytes,
        ):
            with self.subTest(count.__name__):
                self.assertGreater(count(), 50)
