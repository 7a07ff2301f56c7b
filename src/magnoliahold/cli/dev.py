"""The `dev` command."""

from __future__ import annotations

from magnoliahold.errors import UsageError


def dev(*, duration_s: float | None = None) -> None:
    """Runs a complete small deployment in one process on loopback.

    It consists of a platform, four engines of two versions, a plain service, a sidecar
    for each engine and service, two entries and two workspaces. It prints the addresses
    and a curl command that works unchanged, and stops gracefully on SIGTERM or SIGINT.

    Args:
        duration_s: Stop after this many seconds.
    """
    if duration_s is not None and duration_s <= 0:
        raise UsageError(
            f"--for {duration_s:g} is not positive; give a number of seconds"
        )
    from magnoliahold.development import run_development

    run_development(duration_s)
