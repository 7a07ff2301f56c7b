"""The `drain` command."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003
from typing import TYPE_CHECKING

from magnoliahold.cli.operator_api import (
    call_operator_api,
    decode_answer,
    quote_segment,
)
from magnoliahold.core.administration import DrainDocument

if TYPE_CHECKING:
    from magnoliahold.cli.operator_api import OperatorApi


def drain(name: str, *, operator: str, credential_file: Path) -> None:
    """Drains an upstream, sidecar or entry: it accepts no new work.

    Requests in flight finish there or continue elsewhere; none is interrupted.

    Args:
        name: The name of the upstream, sidecar or entry.
        operator: The URL of the operator port of any entry.
        credential_file: The file that contains an operator's credential.
    """

    async def send_request(api: OperatorApi) -> bytes:
        return await api.post(f"/v1/drain/{quote_segment(name)}")

    body = call_operator_api(operator, credential_file, send_request)
    leaving = decode_answer(body, DrainDocument).leaving
    print(f"{name} accepts no new work; leaving: {', '.join(leaving) or 'none'}")
