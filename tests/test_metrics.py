"""Tests of counters, gauges and histograms."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from opentelemetry import metrics as global_metrics

from magnoliahold.metrics import make_metrics

if TYPE_CHECKING:
    from magnoliahold.metrics import Metrics


class MetricsTests(unittest.TestCase):
    def make_metrics(self) -> Metrics:
        metrics = make_metrics("entry-1")
        self.addCleanup(metrics.shut_down)
        return metrics

    def test_values_are_rendered_with_labels(self) -> None:
        metrics = self.make_metrics()
        metrics.count("requests", work="drafts")
        metrics.count("requests", 2, work="drafts")
        metrics.count("links", name="entry-2", value="x")
        metrics.set_gauge("queued", 5, workspace="shop")
        metrics.set_gauge("queued", 4, workspace="shop")
        metrics.record("resume_seconds", 0.3)
        text = metrics.render().decode()
        for line in (
            'magnoliahold_requests_total{work="drafts"} 3.0',
            'magnoliahold_links_total{name="entry-2",value="x"} 1.0',
            'magnoliahold_queued{workspace="shop"} 4.0',
            'magnoliahold_resume_seconds_bucket{le="0.25"} 0.0',
            'magnoliahold_resume_seconds_bucket{le="0.5"} 1.0',
            "magnoliahold_resume_seconds_sum 0.3",
            'target_info{service_name="entry-1"} 1.0',
        ):
            with self.subTest(line):
                self.assertIn(line, text.splitlines())

    def test_metrics_objects_are_independent(self) -> None:
        first, second = self.make_metrics(), self.make_metrics()
        before = global_metrics.get_meter_provider()
        first.count("requests")
        second.count("requests", 7)
        self.assertIn(b"requests_total 1.0", first.render())
        self.assertIn(b"requests_total 7.0", second.render())
        self.assertIs(global_metrics.get_meter_provider(), before)
