"""Tests."""

from __future__ import annotations
