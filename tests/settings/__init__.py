"""Tests of magnoliahold.settings."""

from __future__ import annotations
