"""Tests of the entry package."""

from __future__ import annotations
