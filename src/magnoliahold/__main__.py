"""Runs the `magnoliahold` program by `python -m magnoliahold`."""

from __future__ import annotations

from magnoliahold.cli.application import run_application

if __name__ == "__main__":
    run_application()
