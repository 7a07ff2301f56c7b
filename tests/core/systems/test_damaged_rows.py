"""Tests that a stored row that can't be read ends no entry of the own deployment."""

from __future__ import annotations

import unittest
from math import nan
from random import Random

from attrs import evolve

from magnoliahold.core.administration import AnswerOperator, TemplateApplied
from magnoliahold.core.configuration import (
    CHANGES_TABLE,
    HEAD_KEY,
    HEAD_TABLE,
    WORKSPACES_TABLE,
    encode_workspace_row,
    make_change_key,
)
from magnoliahold.core.effects import LogDecision, ScanRows, Transact
from magnoliahold.core.entry import ENTRY_SYSTEMS
from magnoliahold.core.events import Received, RowsRead, TransactionFinished
from magnoliahold.core.identity import Identity, Sender
from magnoliahold.core.placement import PLACEMENTS_TABLE, encode_placement
from magnoliahold.core.quarantine import (
    QUARANTINE_TABLE,
    QuarantineRow,
    encode_quarantine,
)
from magnoliahold.core.ticks import run_systems
from magnoliahold.core.worlds import EntryWorld
from magnoliahold.storage.interfaces import Condition, Row, TransactionOutcome
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

NO_TIME = QuarantineRow(nan)


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
        self.transactions: list[Transact] = []
        self.answers: list[AnswerOperator] = []

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
        self.transactions.clear()
        self.answers.clear()
        for event in events:
            world.inbox.add_event(event)
        for effect in run_systems(world, ENTRY_SYSTEMS, self.now):
            if isinstance(effect, LogDecision):
                self.logged.append(effect)
            if isinstance(effect, ScanRows):
                self.scans.append(effect)
            if isinstance(effect, Transact):
                self.transactions.append(effect)
            if isinstance(effect, AnswerOperator):
                self.answers.append(effect)

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

    def apply(self, world: EntryWorld, version: int | None = None) -> None:
        """Lets an operator apply a template to the damaged workspace."""
        template = encode_template(
            WorkspaceTemplate("bad", works={"tickets": Work(SHARES)})
        )
        applied = TemplateApplied("request-1", "bad", template, "apply-1", version)
        self.run_tick(world, applied)

    def find_commit(self, world: EntryWorld) -> Transact:
        """Waits for the next attempt of the commit."""
        while not self.transactions:
            self.run_tick(world)
            self.assertLess(self.now, 60.0)
        return self.transactions[-1]

    def answer_commit(self, world: EntryWorld, *conflicts: Row) -> None:
        """Answers the attempt, which is committed unless rows conflict with it."""
        token = self.find_commit(world).token
        outcome = TransactionOutcome(not conflicts, conflicts)
        self.run_tick(world, TransactionFinished(token, outcome))

    # Failure: an apply to a workspace whose stored row was damaged conflicted with that
    # row until it was given up, and the operator got 503.
    def test_apply_replaces_a_damaged_row_at_its_version(self) -> None:
        for name, value in DAMAGED:
            for known in (False, True):
                with self.subTest(name, known=known):
                    self.now = 0.0
                    world = self.start()
                    self.read_head(world, 3)
                    good = encode_workspace_row(make_row("bad", 1))
                    rows = (good,) if known else (value,)
                    self.answer_scan(world, WORKSPACES_TABLE, *rows)
                    self.apply(world)
                    damaged = Row(WORKSPACES_TABLE, "bad", 7, value)
                    self.answer_commit(world, damaged)
                    sent = self.find_commit(world)
                    condition = Condition(WORKSPACES_TABLE, "bad", 7)
                    self.assertIn(condition, sent.conditions)
                    self.answer_commit(world)
                    (answer,) = self.answers
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(world.workspaces.rows["bad"].revision, 8)
                    messages = [item.message for item in self.logged]
                    self.assertTrue(any("Damaged row replaced" in i for i in messages))

    def test_apply_replaces_a_damaged_row_no_later_than_it_changes(self) -> None:
        world = self.start()
        self.read_head(world, 3)
        self.answer_scan(world, WORKSPACES_TABLE, b"\xff")
        self.apply(world)
        for version in (7, 9):
            self.answer_commit(world, Row(WORKSPACES_TABLE, "bad", version, b"\xff"))
            condition = Condition(WORKSPACES_TABLE, "bad", version)
            self.assertIn(condition, self.find_commit(world).conditions)
        mended = evolve(make_row("bad", 4), revision=10)
        row = Row(WORKSPACES_TABLE, "bad", 10, encode_workspace_row(mended))
        self.answer_commit(world, row)
        while not self.answers:
            self.run_tick(world)
        self.assertEqual([item.status for item in self.answers], [409])
        self.assertEqual(world.workspaces.rows["bad"], mended)

    def test_damaged_quarantine_is_deleted_with_a_line(self) -> None:
        for name, value in (*DAMAGED[:5], ("no time", encode_quarantine(NO_TIME))):
            with self.subTest(name):
                world = self.start()
                token = world.suspicions.scan_token
                rows = (Row(QUARANTINE_TABLE, "f1", 4, value),)
                self.run_tick(world, RowsRead(token, rows))
                self.check_logged("f1")
                (line,) = [i for i in self.logged if "can't be read" in i.message]
                self.assertTrue(dict(line.fields)["reason"])
                self.assertEqual(
                    self.transactions[-1].conditions,
                    (Condition(QUARANTINE_TABLE, "f1", 4),),
                )


if __name__ == "__main__":
    unittest.main()
