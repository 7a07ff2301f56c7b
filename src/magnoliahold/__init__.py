"""Serves long model generations on engines that fail."""

from __future__ import annotations

__version__ = "0.1.0"
