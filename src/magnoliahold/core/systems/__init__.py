"""Functions that run over the tables of a world each tick."""

from __future__ import annotations
