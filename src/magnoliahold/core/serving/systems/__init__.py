"""The systems that run over the tables of a serving entry, one matter a module."""

from __future__ import annotations
