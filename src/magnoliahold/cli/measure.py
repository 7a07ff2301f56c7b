"""The `measure` command."""

from __future__ import annotations

from typing import Literal

from magnoliahold.errors import UsageError


def measure(
    name: str,
    *,
    seed: int = 1,
    runs: int = 20,
    json: bool = False,
    policy: Literal["product", "baseline"] = "product",
    faults: float = 1.0,
    entries: int | None = None,
    workspaces: int | None = None,
    url: str | None = None,
    seconds: float | None = None,
) -> None:
    """Measures how the system behaves under load and faults.

    With --json, the last line is one JSON object.

    Args:
        name: The experiment to run, such as generations, calls, poison, drain,
            overload, moves, configuration, capacity or load.
        seed: The random seed of the scenarios.
        runs: The number of scenarios.
        json: Print one JSON object on the last line.
        policy: The product's decision logic, or a simple baseline.
        faults: Factor for the number of faults.
        entries: The number of entries, when measuring configuration.
        workspaces: The number of workspaces, when measuring configuration.
        url: The caller URL of a running entry, when measuring load.
        seconds: How long to send load, when measuring load.
    """
    if runs < 1:
        raise UsageError(f"--runs {runs} is too small; give at least 1")
    if faults < 0:
        raise UsageError(f"--faults {faults:g} is negative; give 0 or more")
    from magnoliahold.measure.commands import run_measure

    run_measure(
        name,
        seed=seed,
        runs=runs,
        json=json,
        policy=policy,
        faults=faults,
        entries=entries,
        workspaces=workspaces,
        url=url,
        seconds=seconds,
    )
