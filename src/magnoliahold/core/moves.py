"""Moves between versions: their states, plan and the shares that follow."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliahold.core.workspaces import Workspace
    from magnoliahold.wire.messages import MoveRow


def plan_moves(
    workspace: Workspace, before: tuple[MoveRow, ...], wall_now: float
) -> tuple[MoveRow, ...]:
    """Plans the moves that a newly applied configuration asks for."""
    return before
