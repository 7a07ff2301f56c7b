"""Parses JSON request bodies and writes JSON answers for the stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar, cast

import msgspec

if TYPE_CHECKING:
    from twisted.web.server import Request

T = TypeVar("T")


def parse_body(request: Request, kind: type[T]) -> T | None:
    """Decodes a JSON body as `kind`; answers 400 and returns None if it is invalid."""
    try:
        content = cast("Any", request.content).read()
        return msgspec.json.decode(content, type=kind)
    except msgspec.MsgspecError as error:
        reply_error(request, 400, str(error))
        return None


def is_open(request: Request) -> bool:
    """Returns whether the client is still connected."""
    return cast("Any", request).channel is not None


def reply(request: Request, body: Any, status: int = 200) -> None:
    """Answers with a JSON body, if the client is still connected."""
    if not is_open(request):
        return
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.write(msgspec.json.encode(body))
    request.finish()


def reply_error(request: Request, status: int, reason: str) -> None:
    """Answers with a JSON error message."""
    reply(request, {"error": reason}, status)
