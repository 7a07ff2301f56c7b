"""The process of an entry that calls its upstreams itself."""

from __future__ import annotations
