"""Serves long model generations and resumes them when an engine fails."""

from __future__ import annotations

__version__ = "0.1.0"
