"""The `moves` command."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path  # noqa: TC003
from typing import TYPE_CHECKING

from magnoliahold.cli.operator_api import call_operator_api, decode_answer
from magnoliahold.cli.tables import format_table
from magnoliahold.core.administration import MovesDocument

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliahold.cli.operator_api import OperatorApi
    from magnoliahold.core.administration import MoveStatus

HEADINGS = (
    *("WORKSPACE", "WORK", "FROM", "TO", "STATE", "SHARE", "STAGE", "DEADLINE"),
    "REASON",
)


def moves(*, operator: str, credential_file: Path, json: bool = False) -> None:
    """Lists the moves between versions: in progress, done and taken back.

    Args:
        operator: The URL of the operator port of any entry.
        credential_file: The file that contains an operator's credential.
        json: Print JSON instead of a table.
    """

    async def read_moves(api: OperatorApi) -> bytes:
        return await api.get("/v1/moves")

    body = call_operator_api(operator, credential_file, read_moves)
    answer = decode_answer(body, MovesDocument)
    if json:
        print(body.decode())
    else:
        print(format_table(HEADINGS, [list_cells(move) for move in answer.moves]))


def list_cells(move: MoveStatus) -> Sequence[str]:
    """Returns the cells of one table row."""
    return (
        move.workspace,
        move.work,
        move.from_version,
        move.to_version,
        move.state,
        f"{move.share:.1%}",
        str(move.stage),
        format_deadline(move.deadline),
        move.reason or "-",
    )


def format_deadline(deadline: float) -> str:
    """Formats a deadline given in seconds since the epoch."""
    return datetime.fromtimestamp(deadline, UTC).isoformat(timespec="seconds")
