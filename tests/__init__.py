"""Tests of magnoliahold; `python -m tests` runs them all."""

from __future__ import annotations
