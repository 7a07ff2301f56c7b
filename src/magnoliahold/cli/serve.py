"""The `serve` command."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003

from magnoliahold.settings.loading import load_serving_settings


def serve(settings: Path) -> None:
    """Runs an entry that calls its upstreams directly, until it is stopped.

    SIGTERM or SIGINT stops it gracefully; SIGHUP reloads the settings.

    Args:
        settings: The YAML file with its settings.
    """
    from magnoliahold.serving.daemon import run_serving_entry

    run_serving_entry(settings, load_serving_settings)
