"""Tests of the serving package."""

from __future__ import annotations
