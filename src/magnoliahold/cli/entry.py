"""The `entry` command."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003

from magnoliahold.settings import load_entry_settings


def entry(settings: Path) -> None:
    """Runs an entry process until it is stopped.

    SIGTERM or SIGINT stops it gracefully: no request in flight is interrupted.

    Args:
        settings: The YAML file with its settings.
    """
    loaded = load_entry_settings(settings)
    from magnoliahold.entry.daemon import run_entry

    run_entry(loaded)
