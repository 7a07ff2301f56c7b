"""The operator takes away the only tenant with its key, which is used on."""

from __future__ import annotations

import asyncio
import os
import time
from itertools import product
from pathlib import Path
from typing import TYPE_CHECKING

from rig2.callers import Connection
from rig2.deployments import (
    KEY,
    make_call_headers,
    make_call_route,
    start_deployment,
)
from rig2.engines import Engine
from rig2.runs import run_case
from rig2.wire import BROKEN

if TYPE_CHECKING:
    from rig2.runs import Record

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REVOKE_S = 5.0
CALM_S, SENT_S, PAUSE_S = 3.0, 12.0, 0.2
SERVICE = "desk"
UNKNOWN_KEY = "key-of-nobody"


def make_configuration(version: int, tenants: list[dict]) -> dict:
    """Makes a version of the configuration."""
    return {
        "version": version,
        "routes": [make_call_route("book", SERVICE, "non_idempotent")],
        "services": [{"name": SERVICE, "health_path": "/healthz"}],
        "tenants": tenants,
    }


async def play(record: Record) -> list[str]:
    """Plays the case."""
    sent_at: dict[str, float] = {}
    runs: list[str] = []

    def record_run(engine: Engine, request_id: str) -> None:
        runs.append(request_id)
        record.write(f"run {request_id} at {engine.id}")

    tenants = [{"name": "tenant-1", "api_keys": [KEY]}]
    engines = [Engine(SERVICE, number + 1, 0.01, record_run) for number in range(2)]
    first = make_configuration(1, tenants)
    async with start_deployment(first, engines, 2) as (store, entries):
        connections = [Connection(entry.port) for entry in entries]

        async def send(until: float) -> None:
            while time.monotonic() < until:
                for connection, key in product(connections, (KEY, UNKNOWN_KEY)):
                    request_id = f"{key}-{len(sent_at)}"
                    sent_at[request_id] = time.monotonic()
                    headers = make_call_headers(request_id, key)
                    path = f"/book/{request_id}"
                    try:
                        answer = await connection.request("POST", path, headers)
                    except BROKEN as error:
                        record.write(f"failed {request_id} {error!r}")
                        connection.close()
                    else:
                        record.write(f"answered {request_id} {answer.status}")
                await asyncio.sleep(PAUSE_S)

        await send(time.monotonic() + CALM_S)
        # Without the disruption, the new version takes nothing away.
        second = make_configuration(5, [] if TROUBLE else tenants)
        acknowledged_at = await store.put("op", "config", second)
        record.write(f"acknowledged version 5, tenants {second['tenants']}")
        await send(time.monotonic() + SENT_S)
    taken = [item for item in runs if item.startswith(KEY + "-") and TROUBLE]
    late = [item for item in taken if sent_at[item] > acknowledged_at + REVOKE_S]
    unknown = [item for item in runs if item.startswith(UNKNOWN_KEY)]
    text = (
        f"{len(late)} requests ran that were sent over {REVOKE_S} s after their key "
        f"was taken away, and {len(unknown)} with a key that no configuration held"
    )
    record.write(text)
    print(text)
    return [text] if late else []


if __name__ == "__main__":
    run_case(FOLDER, play)
