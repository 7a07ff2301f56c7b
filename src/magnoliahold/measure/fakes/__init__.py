"""Fakes of upstreams, callers, network and store that run on a simulated clock."""

from __future__ import annotations
