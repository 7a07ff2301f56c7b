"""Measures the cost of one token, decision, change, heartbeat and table row."""

from __future__ import annotations

from magnoliahold.measure.capacity.report import CapacityReport, run_capacity

__all__ = ["CapacityReport", "run_capacity"]
