"""Tests of the wire package."""

from __future__ import annotations
