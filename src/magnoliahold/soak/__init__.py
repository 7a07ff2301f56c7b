"""Fault-injection soak test that runs serving entries as real processes."""

from __future__ import annotations
