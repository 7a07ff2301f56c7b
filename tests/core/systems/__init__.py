"""Tests of the systems."""

from __future__ import annotations
