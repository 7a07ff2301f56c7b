"""The `dev` command."""

from __future__ import annotations

from magnoliahold.errors import UsageError


def dev(*, duration_s: float | None = None) -> None:
    """Runs a whole small deployment in one process on loopback.

    It has a platform, four engines of two versions, a plain service, a sidecar for
    each of them, two entries and two workspaces. It prints the addresses and a curl
    line that works as it stands, and stops gracefully on SIGTERM or SIGINT.

    Args:
        duration_s: Stops after this many seconds.
    """
    if duration_s is not None and duration_s <= 0:
        raise UsageError(
            f"--for {duration_s:g} is not positive; give a number of seconds"
        )
    from magnoliahold.development import run_development

    run_development(duration_s)
