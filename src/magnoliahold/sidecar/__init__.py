"""The sidecar process beside one upstream."""

from __future__ import annotations
