"""The process of a serving entry: one that calls its upstreams without sidecars."""

from __future__ import annotations
