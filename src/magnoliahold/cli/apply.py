"""The `apply` command."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003
from typing import TYPE_CHECKING
from uuid import uuid4

from attrs import frozen

from magnoliahold.cli.check import add_file_name
from magnoliahold.cli.operator_api import (
    call_operator_api,
    decode_answer,
    quote_segment,
)
from magnoliahold.cli.parameters import parse_parameters
from magnoliahold.core.administration import ApplyDocument
from magnoliahold.settings.documents import read_text
from magnoliahold.templates import parse_template

if TYPE_CHECKING:
    from magnoliahold.cli.operator_api import OperatorApi
    from magnoliahold.templates import WorkspaceTemplate


@frozen
class ApplyRequest:
    """Request body of the endpoint that applies a template."""

    template: str
    parameters: dict[str, str]
    apply_id: str
    expected_version: int | None


def apply(
    file: Path,
    *,
    operator: str,
    credential_file: Path,
    parameter: list[str] = [],  # noqa: B006
    expected_version: int | None = None,
) -> None:
    """Applies a workspace template through an entry.

    The template is validated locally first. If another operator changes the workspace
    at the same time, one of the two commands reports the other's version and exits
    with code 5.

    Args:
        file: The template file.
        operator: The URL of the operator port of any entry.
        credential_file: The file that contains an operator's credential.
        parameter: Values for the template's parameters, as NAME=VALUE.
        expected_version: Apply only if the workspace is at this version.
    """
    text = read_text(file)
    values = parse_parameters(parameter)
    template = check_before_apply(file, text, values)
    request = ApplyRequest(text, values, uuid4().hex, expected_version)
    path = f"/v1/workspaces/{quote_segment(template.workspace)}/template"

    async def send_request(api: OperatorApi) -> bytes:
        return await api.post(path, request)

    body = call_operator_api(operator, credential_file, send_request)
    answer = decode_answer(body, ApplyDocument)
    print(
        f"workspace {answer.workspace} is accepted as version {answer.version}, "
        f"change {answer.change}"
    )


def check_before_apply(
    file: Path, text: str, values: dict[str, str]
) -> WorkspaceTemplate:
    """Validates a template and adds the file name to each fault."""
    try:
        return parse_template(text, values)
    except ExceptionGroup as group:
        faults = [add_file_name(file, fault) for fault in group.exceptions]
        raise ExceptionGroup(group.message, faults) from None
