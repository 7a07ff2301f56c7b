"""Decision logic of entries and sidecars, free of input and output."""

from __future__ import annotations
