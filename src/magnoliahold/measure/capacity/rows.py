"""Costs of workspace configurations: one change, a full load, and the row size."""

from __future__ import annotations

from random import Random
from time import process_time
from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.configuration import (
    WORKSPACES_TABLE,
    decode_workspace_row,
    encode_workspace_row,
)
from magnoliahold.core.systems.propagation import install_row
from magnoliahold.measure.capacity.fits import time_steps
from magnoliahold.measure.capacity.nodes import make_capacity_node
from magnoliahold.storage.interfaces import Row
from magnoliahold.templates import (
    Service,
    VersionShare,
    Work,
    WorkspaceTemplate,
    encode_template,
)
from magnoliahold.wire.messages import WorkspaceRow

if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliahold.core.worlds import EntryWorld

CHANGES_TIMED = 20
ORDER_SEED = 1


def make_row(number: int, version: int = 1, change: int | None = None) -> WorkspaceRow:
    """Makes the accepted row of a workspace with two works and one service."""
    name = f"workspace-{number}"
    works = {
        "listing": Work((VersionShare("v1", ("draft",), 1.0),), deadline_s=600.0),
        "lookup": Work((VersionShare("v1", ("desk",), 1.0),), deadline_s=60.0),
    }
    services = {"order-desk": Service(("order-desk",), ("GET /lookup/*",))}
    template = WorkspaceTemplate(
        name, works=works, services=services, parameters={"version": version}
    )
    change_number = number + 1 if change is None else change
    return WorkspaceRow(name, version, change_number, encode_template(template))


def make_stored_rows(count: int) -> list[Row]:
    """Makes stored rows of workspaces, with their change numbers in random order."""
    changes = list(range(1, count + 1))
    Random(ORDER_SEED).shuffle(changes)
    rows = (make_row(number, 1, change) for number, change in enumerate(changes))
    return [
        Row(WORKSPACES_TABLE, row.workspace, 1, encode_workspace_row(row))
        for row in rows
    ]


def fill_workspaces(world: EntryWorld, count: int) -> None:
    """Installs the rows of workspaces in the order of their changes."""
    for number in range(count):
        install_row(world, make_row(number), 0.0)
    world.workspaces.changed_in_tick.clear()


def time_change(workspaces: int) -> float:
    """Times decoding and installing one stored change of a workspace."""
    world = make_capacity_node(10).world
    fill_workspaces(world, workspaces)
    rows = _make_changes(workspaces)

    def install_next() -> None:
        install_row(world, decode_workspace_row(next(rows)), 1.0)

    return time_steps(install_next, 5, CHANGES_TIMED)


def _make_changes(workspaces: int) -> Iterator[Row]:
    for serial in range(1_000):
        number = serial % workspaces
        row = make_row(number, 2 + serial, workspaces + 1 + serial)
        yield Row(WORKSPACES_TABLE, row.workspace, 2, encode_workspace_row(row))


def time_configuration_load(workspaces: int) -> float:
    """Times the load of all workspaces when a process starts."""
    stored = make_stored_rows(workspaces)
    world = make_capacity_node(10).world
    started = process_time()
    load_rows(world, stored)
    return process_time() - started


def load_rows(world: EntryWorld, stored: list[Row]) -> None:
    """Installs stored rows as a starting process does."""
    for row in stored:
        install_row(world, decode_workspace_row(row), 0.0)


def count_row_bytes() -> int:
    """Counts the bytes of one stored row."""
    return len(encode_workspace_row(evolve(make_row(1), revision=2)))
