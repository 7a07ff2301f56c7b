"""Tests of magnoliahold.templates."""

from __future__ import annotations
