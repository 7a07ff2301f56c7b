"""Small fakes at the interfaces, for rigs and tests on a paused clock."""

from __future__ import annotations
