"""Translates between the formats of the users' platform and this package's types."""

from __future__ import annotations
