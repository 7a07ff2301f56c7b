"""The `status` command."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003
from typing import TYPE_CHECKING

from magnoliahold.cli.operator_api import call_operator_api, decode_answer
from magnoliahold.cli.tables import format_duration, format_table
from magnoliahold.core.administration import StatusDocument

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliahold.cli.operator_api import OperatorApi

HEADINGS = ("INSTANCE", "ROLE", "DATA CENTRE", "WORKSPACE", "VERSION", "IN FORCE FOR")
NO_ANSWER = "(no answer)"


def status(*, operator: str, credential_file: Path, json: bool = False) -> None:
    """Shows which workspace versions are in force on each instance, and for how long.

    Args:
        operator: The URL of the operator port of any entry.
        credential_file: The file that contains an operator's credential.
        json: Print JSON instead of a table.
    """

    async def read_status(api: OperatorApi) -> bytes:
        return await api.get("/v1/status")

    body = call_operator_api(operator, credential_file, read_status)
    answer = decode_answer(body, StatusDocument)
    if json:
        print(body.decode())
    else:
        print(format_table(HEADINGS, list_rows(answer)))


def list_rows(answer: StatusDocument) -> Sequence[Sequence[str]]:
    """Returns the rows of the table."""
    rows: list[Sequence[str]] = []
    for instance in answer.instances:
        instance_cells = (instance.name, instance.role, instance.data_centre)
        if not instance.answered:
            rows.append((*instance_cells, NO_ANSWER, "-", "-"))
        elif not instance.workspaces:
            rows.append((*instance_cells, "-", "-", "-"))
        for item in instance.workspaces:
            duration = format_duration(item.since_s)
            rows.append((*instance_cells, item.workspace, str(item.version), duration))
    return rows
