"""Commands of the `magnoliahold` program."""

from __future__ import annotations
