"""Tests of the measure package."""

from __future__ import annotations
