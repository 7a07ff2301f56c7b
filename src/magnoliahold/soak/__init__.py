"""A fault soak of serving entries as real processes."""

from __future__ import annotations
