"""Tests of the storage package."""

from __future__ import annotations
