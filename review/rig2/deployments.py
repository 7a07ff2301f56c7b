"""A small deployment: a store, engines, and entries as processes."""

from __future__ import annotations

import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from rig2.entries import Entry
from rig2.store import Store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

KEY = "key-1"
HOSTNAME = "desk.example"


class Startable(Protocol):
    """An engine."""

    async def start(self, store: Store) -> None:
        """Listens, and registers in the store."""


def make_call_route(name: str, service: str, kind: str = "idempotent") -> dict:
    """Makes a route for short calls."""
    return {
        "name": name,
        "hostname": HOSTNAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1500,
        "goal_ms": 200,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
    }


def make_call_headers(request_id: str, key: str = KEY) -> dict[str, object]:
    """Makes the headers of a short call."""
    return {
        "Host": HOSTNAME,
        "Request-Id": request_id,
        "Authorization": f"Token {key}",
        "Deadline-Ms": 1500,
    }


@asynccontextmanager
async def start_deployment(
    configuration: dict, engines: Sequence[Startable], entry_count: int
) -> AsyncIterator[tuple[Store, list[Entry]]]:
    """Starts all, and ends the processes at the end."""
    store = Store()
    await store.open()
    await store.put("op", "config", configuration)
    for engine in engines:
        await engine.start(store)
    with tempfile.TemporaryDirectory() as folder:
        entries = [
            Entry(f"edge-{number + 1}", "zone-1", Path(folder), store.port)
            for number in range(entry_count)
        ]
        try:
            for entry in entries:
                entry.start()
            for entry in entries:
                await entry.await_ready()
            yield store, entries
        finally:
            for entry in entries:
                entry.kill()
