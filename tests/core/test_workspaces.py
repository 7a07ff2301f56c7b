"""Tests of the change-log head of the workspace table."""

from __future__ import annotations

import unittest

from magnoliahold.core.workspaces import WorkspaceTable


class AdvanceHeadTests(unittest.TestCase):
    """The head advances past the changes known beyond it."""

    def test_head_advances_past_known_changes(self) -> None:
        cases = (
            ("nothing known", set(), 0, 0, set()),
            ("a gap stays", {2, 3}, 0, 0, {2, 3}),
            ("the next ones", {1, 2, 4}, 0, 2, {4}),
            ("a jump", {3, 5, 6, 9}, 4, 6, {9}),
            ("a jump over all", {3, 5}, 7, 7, set()),
        )
        for name, changes_above_head, to, head, left in cases:
            with self.subTest(name):
                table = WorkspaceTable(changes_above_head=set(changes_above_head))
                table.advance_head(to)
                self.assertEqual((table.head, table.changes_above_head), (head, left))

    def test_unchanged_head_does_not_copy_the_set(self) -> None:
        """A starting entry installs rows in any order; copying made that quadratic."""
        changes_above_head = {3, 5}
        table = WorkspaceTable(changes_above_head=changes_above_head)
        table.advance_head(0)
        self.assertIs(table.changes_above_head, changes_above_head)
