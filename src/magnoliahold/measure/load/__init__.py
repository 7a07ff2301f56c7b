"""Sends open-loop load to a running entry and checks every answer."""

from __future__ import annotations

from magnoliahold.measure.load.report import LoadReport
from magnoliahold.measure.load.runs import run_load

__all__ = ["LoadReport", "run_load"]
