"""A stand-in for an engine of a service with short calls."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from rig2.wire import HOST, make_message, read_body, read_head, serve

if TYPE_CHECKING:
    from collections.abc import Callable

    from rig2.store import Store

REPORT = {
    "stage": "mixed",
    "models": [],
    "busy": False,
    "seq": 1,
    "queued": 0,
    "running": 0,
    "kv_used": 0,
    "kv_total": 88_000,
    "handles": 0,
}


def make_answer_body(request_id: str) -> bytes:
    """Makes the body of an engine's answer to a request."""
    return f"answer to {request_id}\n".encode()


class Engine:
    """Runs calls; `limit_per_s` is named in all its answers unless it is None.

    Answers are of `content_type`, and `make_body` makes their bodies.

    `record` is called with each request that it begins to run.
    """

    def __init__(
        self, service: str, number: int, work_s: float, record: Callable[..., None]
    ) -> None:
        self.id = f"{service}-{number}"
        self.service = service
        self.work_s = work_s
        self.limit_per_s: float | None = None
        self.address = ""
        self.content_type = "text/plain"
        self.make_body = make_answer_body
        self._record = record

    async def start(self, store: Store) -> None:
        """Listens, and registers in the store."""
        _, port = await serve(self._handle)
        self.address = f"{HOST}:{port}"
        document = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-1",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        await store.put("servers", self.id, document)

    def _make_head(self, request_id: str | None = None) -> dict[str, object]:
        head: dict[str, object] = {}
        if self.limit_per_s is not None:
            head["Server-Limit"] = self.limit_per_s
        if request_id is not None:
            head["Request-Id"] = request_id
        return head

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            (_, target, _), headers = await read_head(reader)
            await read_body(reader, headers)
            request_id = headers.get("request-id")
            if target.startswith("/-/"):
                body = json.dumps(REPORT).encode()
                answer = make_message("HTTP/1.1 200 OK", self._make_head(), body)
            elif headers.get("expect-instance") != self.id or request_id is None:
                head = self._make_head(request_id)
                answer = make_message("HTTP/1.1 421 Misdirected", head)
            else:
                self._record(self, request_id)
                await asyncio.sleep(self.work_s)
                head = self._make_head(request_id)
                head["Response-Signature"] = f"signed.{request_id}"
                head["Content-Type"] = self.content_type
                body = self.make_body(request_id)
                answer = make_message("HTTP/1.1 200 OK", head, body)
            writer.write(answer)
            await writer.drain()
