"""Entry point of the `magnoliahold` program."""

from __future__ import annotations


def run_application() -> None:
    """Runs the command named on the command line."""
    raise SystemExit("no command is available yet")
