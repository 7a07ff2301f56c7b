"""The `sidecar` command."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003

from magnoliahold.settings import load_sidecar_settings


def sidecar(settings: Path) -> None:
    """Runs the sidecar process of one upstream until it is stopped.

    SIGTERM or SIGINT stops it gracefully: no request in flight is interrupted.

    Args:
        settings: The YAML file with its settings.
    """
    loaded = load_sidecar_settings(settings)
    from magnoliahold.sidecar.daemon import run_sidecar

    run_sidecar(loaded)
