"""Tests that a stored row that can't be read ends no entry of the own deployment."""

from __future__ import annotations

import unittest
from random import Random

from magnoliahold.core.configuration import (
    CHANGES_TABLE,
    HEAD_KEY,
    HEAD_TABLE,
    WORKSPACES_TABLE,
    encode_workspace_row,
    make_change_key,
)
from magnoliahold.core.effects import LogDecision, ScanRows
from magnoliahold.core.entry import ENTRY_SYSTEMS
from magnoliahold.core.events import Received, RowsRead, TransactionFinished
from magnoliahold.core.identity import Identity, Sender
from magnoliahold.core.placement import PLACEMENTS_TABLE, encode_placement
from magnoliahold.core.ticks import run_systems
from magnoliahold.core.worlds import EntryWorld
from magnoliahold.storage.interfaces import Row, TransactionOutcome
from magnoliahold.templates import (
    VersionShare,
    Work,
    WorkspaceTemplate,
    encode_template,
)
from magnoliahold.wire.messages import (
    ConfigurationPush,
    PlacementPush,
    WorkspaceRow,
)

LEVELS = 100_000
SHARES = (VersionShare("v1", ("counter",), 1.0),)
PLACEMENT = PlacementPush("engine-1", ("v1",), (), "", 3)


def make_row(name: str, change: int) -> WorkspaceRow:
    """Makes an accepted row."""
    template = WorkspaceTemplate(name, works={"tickets": Work(SHARES)})
    return WorkspaceRow(name, 1, change, encode_template(template))


def make_bad_template(template: bytes) -> bytes:
    """Encodes a row whose template can't be read."""
    return encode_workspace_row(WorkspaceRow("bad", 1, 2, template))


DAMAGED = (
    ("nothing", b""),
    ("no text", b"\xff"),
    ("another document", b"\x80"),
    ("nested lists", b"\x91" * LEVELS),
    ("nested maps", b"\x81\xa1a" * LEVELS + b"\x01"),
    ("no template", make_bad_template(b"")),
    ("template of another form", make_bad_template(b"{}")),
    ("nested template", make_bad_template(b"[" * LEVELS)),
    ("template that nests in a field", make_bad_template(b'{"x":' * LEVELS)),
)


class DamagedRowTests(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.logged: list[LogDecision] = []
        self.scans: list[ScanRows] = []

    def start(self) -> EntryWorld:
        """Starts an entry."""
        world = EntryWorld(Identity("entry-1", "entry-1.a", "entry", "dc-1"), Random(1))
        self.run_tick(world)
        return world

    def run_tick(self, world: EntryWorld, *events: object) -> None:
        """Runs one tick with some events."""
        self.now += 0.02
        self.logged.clear()
        self.scans.clear()
        for event in events:
            world.inbox.add_event(event)
        for effect in run_systems(world, ENTRY_SYSTEMS, self.now):
            if isinstance(effect, LogDecision):
                self.logged.append(effect)
            if isinstance(effect, ScanRows):
                self.scans.append(effect)

    def read_head(self, world: EntryWorld, head: int) -> None:
        """Answers the read of the head, once it is due."""
        while not world.configuration.poll_token:
            self.now += 1.0
            self.run_tick(world)
        row = Row(HEAD_TABLE, HEAD_KEY, head, b"")
        self.run_tick(world, RowsRead(world.configuration.poll_token, (row,)))

    def answer_scan(self, world: EntryWorld, table: str, *values: bytes) -> None:
        """Answers the scan of a table."""
        self.assertEqual(world.configuration.scan_table, table)
        rows = tuple(
            Row(table, make_change_key(number + 1), 1, value)
            for number, value in enumerate(values)
        )
        self.run_tick(world, RowsRead(world.configuration.scan_token, rows))

    def check_logged(self, key: str) -> None:
        """Checks that a row was logged with its key."""
        lines = [item for item in self.logged if "can't be read" in item.message]
        self.assertEqual([dict(item.fields)["key"] for item in lines], [key])

    # Failure: a row that can't be read ended each entry that read it, at each start.
    def test_entry_starts_beside_a_damaged_row(self) -> None:
        for name, value in DAMAGED:
            with self.subTest(name):
                world = self.start()
                self.read_head(world, 3)
                good = [encode_workspace_row(make_row(n, 1)) for n in ("a", "b")]
                self.answer_scan(world, WORKSPACES_TABLE, good[0], value, good[1])
                self.check_logged("bad" if "template" in name else make_change_key(2))
                self.assertEqual(set(world.workspaces.workspaces), {"a", "b"})
                self.assertTrue(world.configuration.loaded)
                self.assertEqual(world.workspaces.head, 3)

    def test_entry_reads_all_rows_again_after_a_damaged_change(self) -> None:
        for name, value in DAMAGED[:5]:
            with self.subTest(name):
                world = self.start()
                self.read_head(world, 0)
                self.read_head(world, 2)
                change = encode_workspace_row(make_row("a", 1))
                self.answer_scan(world, CHANGES_TABLE, change, value)
                self.check_logged(make_change_key(2))
                rows = [make_row("a", 1), make_row("b", 2)]
                stored = map(encode_workspace_row, rows)
                self.answer_scan(world, WORKSPACES_TABLE, *stored)
                self.assertEqual(set(world.workspaces.workspaces), {"a", "b"})
                self.assertEqual(world.workspaces.head, 2)

    def test_entry_works_on_beside_a_damaged_placement(self) -> None:
        for name, value in DAMAGED[:5]:
            with self.subTest(name):
                world = self.start()
                world.placement.writes["token"] = PLACEMENT
                conflicts = (
                    Row(PLACEMENTS_TABLE, "bad", 1, value),
                    Row(PLACEMENTS_TABLE, "engine-1", 4, encode_placement(PLACEMENT)),
                )
                outcome = TransactionOutcome(False, conflicts)
                self.run_tick(world, TransactionFinished("token", outcome))
                self.check_logged("bad")
                self.assertEqual(world.placement.rows, {"engine-1": PLACEMENT})

    def test_entry_keeps_a_workspace_whose_new_template_is_damaged(self) -> None:
        world = self.start()
        self.read_head(world, 1)
        row = make_row("a", 1)
        self.answer_scan(world, WORKSPACES_TABLE, encode_workspace_row(row))
        damaged = WorkspaceRow("a", 2, 2, b"[" * LEVELS)
        push = ConfigurationPush((damaged, make_row("b", 3)), 3, 1)
        self.run_tick(world, Received(Sender("entry-2", "entry-2.a"), push))
        self.check_logged("a")
        self.assertEqual(world.workspaces.rows["a"], row)
        self.assertEqual(set(world.workspaces.workspaces), {"a", "b"})
        self.assertEqual(world.workspaces.head, 3)


if __name__ == "__main__":
    unittest.main()
