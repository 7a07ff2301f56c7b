"""The sidecar process, which runs next to one upstream."""

from __future__ import annotations
