"""Tests of the core systems."""

from __future__ import annotations
