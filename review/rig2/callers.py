"""Callers that send one request after the other on a kept connection."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from rig2.wire import HOST, make_message, read_body, read_head


class Answer(NamedTuple):
    """A complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """A kept connection to an entry.

    `has_answer_begun` tells whether the head of the last answer has come.
    """

    has_answer_begun = False

    def __init__(self, port: int) -> None:
        self._port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, path: str, headers: dict[str, object]
    ) -> Answer:
        """Sends a request and reads its answer."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(HOST, self._port)
        self.has_answer_begun = False
        reader, writer = self._streams
        writer.write(make_message(f"{method} {path} HTTP/1.1", headers))
        (_, status, *_), found = await read_head(reader)
        self.has_answer_begun = True
        body = await read_body(reader, found)
        if found.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(status), found, body)

    def close(self) -> None:
        """Closes the connection; the next request opens another."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
