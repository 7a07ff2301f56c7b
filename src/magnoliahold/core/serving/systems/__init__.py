"""Systems that run over the tables of a serving entry, one concern per module."""

from __future__ import annotations
