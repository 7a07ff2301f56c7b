"""The embedded deployment of `magnoliahold dev`."""

from __future__ import annotations

from magnoliahold.development.deployment import run_development

__all__ = ["run_development"]
