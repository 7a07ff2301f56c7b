"""A stand-in for the platform's store: rows, transactions and long polls."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode
from urllib.parse import parse_qs, urlsplit

from rig2.wire import make_message, read_body, read_head, serve

ANSWER_S = 0.004


class Store:
    """Rows by table and key, with one version counter; it never loses any."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self.version = 1
        self.port = 0
        self._changed = asyncio.Condition()

    async def open(self) -> None:
        """Starts to listen."""
        _, self.port = await serve(self._handle)

    async def put(self, table: str, key: str, document: object) -> float:
        """Writes a row; returns when that was acknowledged."""
        await self._apply({(table, key): json.dumps(document).encode()})
        return time.monotonic()

    async def _apply(self, changes: dict[tuple[str, str], bytes | None]) -> None:
        self.version += 1
        for key, value in changes.items():
            self.rows[key] = (self.version, value)
        async with self._changed:
            self._changed.notify_all()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            (_, target, _), headers = await read_head(reader)
            body = await read_body(reader, headers)
            await asyncio.sleep(ANSWER_S)
            status, document = await self._answer(target, body)
            head = {"Content-Type": "application/json", "Store-Era": 1}
            content = json.dumps(document).encode()
            writer.write(make_message(f"HTTP/1.1 {status} Answer", head, content))
            await writer.drain()

    async def _answer(self, target: str, body: bytes) -> tuple[int, object]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/-/rows-tx":
            return await self._transact(json.loads(body))
        if parts.path == "/-/rows-feed":
            return 200, await self._poll(query)
        return 200, self._make_page(self._list(query["table"], 0, False))

    async def _transact(self, body: dict) -> tuple[int, object]:
        for row in body["expect_rev"]:
            version, value = self.rows.get((row["table"], row["key"]), (0, None))
            if (0 if value is None else version) != row["ver"]:
                return 412, self._make_page([])
        changes = {(r["table"], r["key"]): b64decode(r["value"]) for r in body["puts"]}
        removed = {(row["table"], row["key"]): None for row in body["remove"]}
        await self._apply({**changes, **removed})
        return 200, self._make_page([])

    async def _poll(self, query: dict[str, str]) -> object:
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while not (rows := self._list(table, after, True)):
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    break
        return self._make_page(rows)

    def _list(self, table: str, after: int, removed: bool) -> list[dict]:
        rows = []
        for (name, key), (version, value) in sorted(self.rows.items()):
            if name != table or version <= after:
                continue
            row = {"table": name, "part": "", "key": key, "ver": version}
            if value is not None:
                rows.append({**row, "value": b64encode(value).decode()})
            elif removed:
                rows.append({**row, "removed": True})
        return rows

    def _make_page(self, rows: list[dict]) -> dict:
        now_ms = time.monotonic() * 1000
        return {"rows": rows, "ver": self.version, "now_ms": now_ms, "has_more": False}
