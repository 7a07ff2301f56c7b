"""A sick engine sends a body without end; watches the memory of two entries."""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

from rig2.callers import Connection
from rig2.deployments import (
    HOSTNAME,
    KEY,
    make_call_headers,
    make_call_route,
    start_deployment,
)
from rig2.engines import Engine
from rig2.modelengines import ModelEngine
from rig2.platform import read_memory_mb, watch_memory
from rig2.runs import run_case
from rig2.wire import BROKEN

if TYPE_CHECKING:
    from collections.abc import Callable

    from rig2.entries import Entry
    from rig2.runs import Record

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# That of the edge machines in the example of DEPLOY and of rbf-catalogue.
MEMORY_MB = 150.0
ENTRIES, ENGINES, CALLERS = 2, 3, 12
DESKS, BOOKERS = 2, 16
BOOKING_S, BOOKING_PAUSE_S = 0.045, 0.5
PROMPT_TOKENS = 8000
PAUSE_S = 3.0
CALM_S, SICK_S = 8.0, 40.0
# LOST allows that many requests to be closed without an answer.
MAX_CLOSED = 3
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "draft",
            "hostname": HOSTNAME,
            "prefix": "/draft/",
            "kind": "streaming",
            "timeout_ms": 25_000,
            "goal_ms": 4500,
            "gap_goal_ms": 700,
            "service": "model",
            "max_attempts": 5,
            "resumable": False,
            "sticky": True,
        },
        make_call_route("book", "desk", "non_idempotent"),
    ],
    "services": [
        {"name": "desk", "health_path": "/healthz"},
        {
            "name": "model",
            "health_path": "/healthz",
            "engine": {"kv_capacity": 88_000, "slots": 96},
        },
    ],
    "tenants": [{"name": "tenant-1", "api_keys": [KEY]}],
}


class Observer:
    """What callers, engines and the platform have seen."""

    def __init__(self, record: Record) -> None:
        self.record = record
        # The requests whose engine is sound, as far as they have reached one.
        self.at_sound_engine: dict[str, bool] = {}
        self.closed: list[str] = []
        self.kills: list[str] = []
        self.outcomes: Counter[str] = Counter()

    def record_run(self, engine_id: str, request_id: str, is_sick: bool) -> None:
        """Records that an engine got a request."""
        self.at_sound_engine[request_id] = not is_sick
        self.record.write(f"run {request_id} at {engine_id} sick={is_sick}")

    def record_kill(self, entry: Entry, used_mb: float) -> None:
        """Records that the platform kills a process."""
        self.kills.append(entry.name)
        self.record.write(f"killed {entry.name}, it uses {used_mb:.0f} MB")

    def record_closed(self, request_id: str, was_kept: bool, error: Exception) -> None:
        """Records a request whose connection ended without an answer."""
        self.outcomes["no answer"] += 1
        is_sound = self.at_sound_engine.get(request_id, False)
        self.record.write(
            f"closed {request_id} kept={was_kept} sound={is_sound} {error!r}"
        )
        if was_kept and is_sound:
            self.closed.append(request_id)


class Caller:
    """Sends one request after the other on a kept connection."""

    def __init__(self, observer: Observer, entry: Entry, name: str) -> None:
        self._observer = observer
        self._entry = entry
        self._name = name
        self._connection = Connection(entry.port)
        self._was_kept = False
        self._serial = 0

    async def send(self, make: Callable[[str], tuple[str, dict[str, object]]]) -> None:
        """Sends a request, for which `make` makes path and headers by its id."""
        self._serial += 1
        request_id = f"{self._name}.{self._serial}"
        observer = self._observer
        observer.record.write(f"sent {request_id} to {self._entry.name}")
        path, headers = make(request_id)
        try:
            answer = await self._connection.request("POST", path, headers)
        except BROKEN as error:
            if self._connection.has_answer_begun:
                observer.outcomes["cut"] += 1
                observer.record.write(f"cut {request_id}")
            else:
                observer.record_closed(request_id, self._was_kept, error)
            self._connection.close()
            self._was_kept = False
        else:
            observer.outcomes[str(answer.status)] += 1
            observer.record.write(f"answered {request_id} {answer.status}")
            self._was_kept = answer.headers.get("connection", "").lower() != "close"


def make_draft(request_id: str) -> tuple[str, dict[str, object]]:
    """Makes path and headers of a request for a stream."""
    headers = {
        **make_call_headers(request_id),
        "Deadline-Ms": 25_000,
        "Model": "m",
        "Token-Usage": f"{PROMPT_TOKENS},{PROMPT_TOKENS}",
        "Prompt-Prefix": f"5c1e:200,{request_id.encode().hex()}:{PROMPT_TOKENS - 200}",
    }
    return f"/draft/{request_id}", headers


def make_booking(request_id: str) -> tuple[str, dict[str, object]]:
    """Makes path and headers of a booking."""
    return f"/book/{request_id}", make_call_headers(request_id)


async def ask_for_drafts(caller: Caller, number: int) -> None:
    """Asks for one stream after the other."""
    await asyncio.sleep(PAUSE_S * number / CALLERS)
    while True:
        await caller.send(make_draft)
        await asyncio.sleep(PAUSE_S)


async def book(caller: Caller, number: int) -> None:
    """Books one run after the other."""
    await asyncio.sleep(BOOKING_PAUSE_S * number / BOOKERS)
    while True:
        await caller.send(make_booking)
        await asyncio.sleep(BOOKING_PAUSE_S)


async def play(record: Record) -> list[str]:
    """Plays the case."""
    observer = Observer(record)
    engines = [ModelEngine("model", n + 1, observer.record_run) for n in range(ENGINES)]
    desks = [
        Engine(
            "desk", n + 1, BOOKING_S, lambda e, i: observer.record_run(e.id, i, False)
        )
        for n in range(DESKS)
    ]
    deployment = start_deployment(CONFIGURATION, [*engines, *desks], ENTRIES)
    async with deployment as (_, entries):
        return await play_load(observer, engines[0], entries)


async def play_load(
    observer: Observer, engine: ModelEngine, entries: list[Entry]
) -> list[str]:
    """Sends the load, with the engine sick for a while."""
    watching = asyncio.ensure_future(
        watch_memory(entries, MEMORY_MB, observer.record_kill)
    )
    callers = [
        asyncio.ensure_future(act(Caller(observer, entries[n % ENTRIES], name), n))
        for act, kind, count in (
            (ask_for_drafts, "draft", CALLERS),
            (book, "booking", BOOKERS),
        )
        for n in range(count)
        for name in [f"{kind}-{n}"]
    ]
    try:
        await asyncio.sleep(CALM_S)
        for entry in entries:
            used_mb = read_memory_mb(entry.process.pid)
            observer.record.write(f"{entry.name} uses {used_mb:.0f} MB")
        engine.is_sick = TROUBLE
        observer.record.write(f"{engine.id} is sick: {TROUBLE}")
        await asyncio.sleep(SICK_S)
    finally:
        for task in (watching, *callers):
            task.cancel()
    kills = Counter(observer.kills)
    text = (
        f"killed over {MEMORY_MB:.0f} MB: {dict(kills)}; "
        f"{len(observer.closed)} requests of kept connections at sound engines "
        f"closed without an answer, allowed {MAX_CLOSED}"
    )
    observer.record.write(f"{text}; answers: {dict(observer.outcomes)}")
    print(text, dict(observer.outcomes))
    return [text] if kills and len(observer.closed) > MAX_CLOSED else []


if __name__ == "__main__":
    run_case(FOLDER, play)
