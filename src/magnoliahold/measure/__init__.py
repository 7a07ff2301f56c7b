"""Rigs behind `magnoliahold measure`."""

from __future__ import annotations
