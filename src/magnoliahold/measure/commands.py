"""Runs an experiment by its name and prints the report."""

from __future__ import annotations

import json as json_library
from importlib import import_module
from typing import TYPE_CHECKING, Any

from attrs import asdict, frozen

from magnoliahold.errors import UsageError
from magnoliahold.measure.options import MeasureOptions

if TYPE_CHECKING:
    from collections.abc import Iterator

INDENT = "  "


@frozen
class Experiment:
    """The module of this package and its function that run an experiment.

    The module is imported when the experiment is run.
    """

    module: str
    function: str


EXPERIMENTS = {
    "generations": Experiment("generations", "run_generations"),
    "calls": Experiment("calls", "run_calls"),
    "poison": Experiment("poison", "run_poison"),
    "drain": Experiment("drain", "run_drain"),
    "overload": Experiment("overload", "run_overload"),
    "moves": Experiment("moves", "run_moves"),
    "configuration": Experiment("configuration", "run_configuration"),
    "capacity": Experiment("capacity", "run_capacity"),
    "load": Experiment("load", "run_load"),
}


def run_measure(
    name: str,
    *,
    seed: int,
    runs: int,
    json: bool,
    policy: str,
    faults: float,
    entries: int | None,
    workspaces: int | None,
    url: str | None,
    seconds: float | None,
) -> None:
    """Runs an experiment and prints its report; raises UsageError if it is unknown."""
    experiment = EXPERIMENTS.get(name)
    if experiment is None:
        names = ", ".join(sorted(EXPERIMENTS))
        raise UsageError(f"unknown experiment {name!r}; use one of {names}")
    overrides: dict[str, Any] = {
        "entries": entries,
        "workspaces": workspaces,
        "url": url,
        "seconds": seconds,
    }
    present = {key: value for key, value in overrides.items() if value is not None}
    options = MeasureOptions(
        seed=seed, runs=runs, policy=policy, faults=faults, **present
    )
    module = import_module(f"magnoliahold.measure.{experiment.module}")
    report = asdict(getattr(module, experiment.function)(options))
    if json:
        print(json_library.dumps(report))
    else:
        print("\n".join(format_report(report)))


def format_report(report: dict[str, Any], indent: str = "") -> Iterator[str]:
    """Formats a report with one figure per line and nested figures indented."""
    for name, value in report.items():
        if isinstance(value, dict):
            yield f"{indent}{name}:"
            yield from format_report(value, indent + INDENT)
        else:
            yield f"{indent}{name}: {value}"
