"""Writes the decisions and metrics of a node to the logs and `Metrics`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.logs import make_part_logger

if TYPE_CHECKING:
    from magnoliahold.core import effects
    from magnoliahold.logs import PartLogger
    from magnoliahold.metrics import Metrics


@define(eq=False)
class MetricsJournal:
    """The journal of a daemon, with one cached logger per component."""

    metrics: Metrics
    _loggers: dict[str, PartLogger] = field(factory=dict)

    def log_decision(self, decision: effects.LogDecision) -> None:
        """Logs one decision under the prefix of its component."""
        logger = self._loggers.get(decision.component)
        if logger is None:
            logger = make_part_logger(decision.component)
            self._loggers[decision.component] = logger
        logger.info(decision.message, **decision.fields)

    def count_metric(self, metric: effects.CountMetric) -> None:
        """Adds to a counter."""
        self.metrics.count(metric.name, metric.amount, **metric.labels)

    def record_metric(self, metric: effects.RecordMetric) -> None:
        """Records a value of a histogram."""
        self.metrics.record(metric.name, metric.value, **metric.labels)
