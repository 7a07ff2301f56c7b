"""Experiments run by `magnoliahold measure`."""

from __future__ import annotations
