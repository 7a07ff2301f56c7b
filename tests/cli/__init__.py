"""Tests of magnoliahold.cli."""

from __future__ import annotations
