"""Counters, gauges and histograms of one process, in Prometheus format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

if TYPE_CHECKING:
    from opentelemetry.metrics import Counter, Histogram, Meter
    from opentelemetry.metrics import _Gauge as Gauge

DURATION_BOUNDS_S = (
    *(0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.25, 0.5, 0.75, 1.0),
    *(1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0, 300.0, 900.0),
)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METRIC_PREFIX = "magnoliahold"


class Metrics:
    """The metrics of one process, independent of any other `Metrics` object.

    Names have no prefix and include their unit, as in `resume_seconds`.
    """

    def __init__(
        self, provider: MeterProvider, meter: Meter, registry: CollectorRegistry
    ) -> None:
        self._provider = provider
        self._meter = meter
        self._registry = registry
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}
        self._gauges: dict[str, Gauge] = {}

    def count(
        self, name: str, amount: float = 1, /, **labels: str | int | float
    ) -> None:
        """Adds to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._meter.create_counter(name)
            self._counters[name] = counter
        counter.add(amount, labels)

    def record(self, name: str, value: float, /, **labels: str | int | float) -> None:
        """Adds a value to a histogram with buckets for durations in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(
                name, explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S
            )
            self._histograms[name] = histogram
        histogram.record(value, labels)

    def set_gauge(
        self, name: str, value: float, /, **labels: str | int | float
    ) -> None:
        """Sets the current value of a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = self._meter.create_gauge(name)
            self._gauges[name] = gauge
        gauge.set(value, labels)

    def render(self) -> bytes:
        """Renders all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def shut_down(self) -> None:
        """Shuts down the meter provider."""
        self._provider.shutdown()


def make_metrics(process_name: str) -> Metrics:
    """Makes the metrics of a process without changing global state."""
    registry = CollectorRegistry()
    reader = PrometheusMetricReader(
        prefix=METRIC_PREFIX, scope_info_enabled=False, registry=registry
    )
    provider = MeterProvider(
        metric_readers=[reader],
        resource=Resource({"service.name": process_name}),
        shutdown_on_exit=False,
    )
    return Metrics(provider, provider.get_meter(METRIC_PREFIX), registry)
