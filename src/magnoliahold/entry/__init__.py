"""The entry process: HTTP for callers and operators."""

from __future__ import annotations
