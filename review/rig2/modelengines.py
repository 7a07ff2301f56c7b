"""A stand-in for a model engine: it reads one prompt at a time, then streams events."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from rig2.engines import REPORT
from rig2.wire import HOST, make_message, read_body, read_head, serve

if TYPE_CHECKING:
    from collections.abc import Callable

    from rig2.store import Store

TOKENS_PER_S = 8000.0
EVENTS = 40
EVENT_S = 0.05
# The pages let an answer have no other headers than these two, and no length.
SICK_CHUNKS = b"1\r\nx\r\n" * 10_000


class ModelEngine:
    """Streams generations; while it `is_sick`, bodies go on without end.

    `record` is called with each request that it gets, and with whether it is sick.
    """

    def __init__(
        self, service: str, number: int, record: Callable[[str, str, bool], None]
    ) -> None:
        self.id = f"{service}-{number}"
        self.service = service
        self.is_sick = False
        self._record = record
        self._prefill = asyncio.Lock()

    async def start(self, store: Store) -> None:
        """Listens, and registers in the store."""
        _, port = await serve(self._handle)
        document = {
            "service": self.service,
            "address": f"{HOST}:{port}",
            "zone": "zone-1",
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        await store.put("servers", self.id, document)

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            (_, target, _), headers = await read_head(reader)
            await read_body(reader, headers)
            request_id = headers.get("request-id")
            if target.startswith("/-/kv-"):
                writer.write(make_message("HTTP/1.1 404 Unknown", {}))
            elif target.startswith("/-/"):
                body = json.dumps(REPORT).encode()
                writer.write(make_message("HTTP/1.1 200 OK", {}, body))
            elif headers.get("expect-instance") != self.id or request_id is None:
                head = {"Request-Id": request_id}
                writer.write(make_message("HTTP/1.1 421 Misdirected", head))
            else:
                self._record(self.id, request_id, self.is_sick)
                await self._run(request_id, headers, writer)
            await writer.drain()

    async def _run(
        self, request_id: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        if self.is_sick:
            writer.write(make_stream_head(request_id, ""))
            while True:
                writer.write(SICK_CHUNKS)
                await writer.drain()
        tokens = int(headers["token-usage"].partition(",")[0])
        async with self._prefill:
            await asyncio.sleep(0 if writer.is_closing() else tokens / TOKENS_PER_S)
        writer.write(make_stream_head(request_id, "Content-Type: text/event-stream"))
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: token {number} of {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


def make_stream_head(request_id: str, content_type: str) -> bytes:
    """Makes the head of an answer in chunks."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {request_id}",
        f"Response-Signature: signed.{request_id}",
        *filter(None, [content_type]),
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join([*lines, "", ""]).encode()
