"""Sound requests end the processes of all entries after two quarantines."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from lab import (  # noqa: E402
    BORN_MS,
    BROKEN,
    HELD,
    Client,
    Engine,
    UnableError,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
)

if TYPE_CHECKING:
    from typing import Any

    from lab import Entry, Lab, Request

SERVICE = "draft-model"
ZONES = ("plaine-verte", "roche-bois", "cassis")
KEY = "key-of-a-club"
ENGINES = 6
# The part that crashes engines, and the parts that all requests of two shows share.
DEADLY = "dead01"
SHOWS = ("5c1e07a2", "91bd3f06")
PREFILL_S, PIECE_S, PIECES = 0.3, 0.03, 40
BACK_AFTER_S = 3.0
STREAM_DEADLINE_MS = 25_000
QUARANTINE_TABLE = "magnoliahold-quarantine"
# All machines are stopped and started, one this long after the other.
ROLL_GAP_S = 2.0
STOP_LIMIT_S = 9.0
RESTART_S = 0.3
# How long nobody works, from the second quarantine until the morning.
QUIET_S = 89.8
SOUND_S = 10.0
# The rule: so many ends in a day, on so many machines.
MAX_ENDS, MIN_MACHINES = 3, 2


class ModelEngine(Engine):
    """An engine that crashes when it begins to write an answer on a deadly part."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.starts = 0
        self.up = True
        self.crashes = 0

    @property
    def registration(self) -> dict[str, Any]:
        """Its entry in the store; each start has another time of birth."""
        return {**super().registration, "born": BORN_MS + self.starts, "slots": 96}

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Streams an answer."""
        if request.path == "/-/report":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return
        own = self.make_own_answer(request)
        if own is not None:
            writer.write(own)
            return
        await asyncio.sleep(PREFILL_S)
        if DEADLY in request.headers.get("prompt-prefix", "") and has_trouble():
            await self.crash(request)
            raise ConnectionResetError
        self.begin_run(request)
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += f"Request-Id: {request.id}\r\nResponse-Signature: s.{request.id}\r\n"
        writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, PIECES + 1):
            piece = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            await writer.drain()
            await asyncio.sleep(PIECE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def crash(self, request: Request) -> None:
        """Ends; it is back after some seconds."""
        if not self.up:
            return
        self.up = False
        self.crashes += 1
        self.record.add(f"crash: {self.name} by {request.id}")
        self.record_crash()
        await self.close()

    def record_crash(self) -> None:
        """Has it started again later."""
        asyncio.get_running_loop().call_later(BACK_AFTER_S, self._come_back)

    def _come_back(self) -> None:
        self.back = asyncio.ensure_future(self._listen_again())

    async def _listen_again(self) -> None:
        await self.listen(self.port)
        self.up = True
        self.starts += 1
        self.record.add(f"engine {self.name}: is back")
        self.on_back(self)

    def on_back(self, _: ModelEngine) -> None:
        """Registers it again; a case replaces this."""


class Platform:
    """Starts entries again that have ended by themselves."""

    def __init__(self, lab: Lab) -> None:
        self._lab = lab
        self.ends = {entry.name: 0 for entry in lab.entries}
        self.planned: set[str] = set()

    async def watch(self) -> None:
        """Looks at all entries again and again."""
        while True:
            for entry in self._lab.entries:
                if not entry.running and entry.name not in self.planned:
                    self.ends[entry.name] += 1
                    self._lab.record.add(f"entry {entry.name}: ended by itself")
                    await asyncio.sleep(RESTART_S)
                    entry.start()
            await asyncio.sleep(0.05)

    def has_broken_rule(self) -> bool:
        """Tells whether processes have ended too often."""
        often = sum(ends >= MAX_ENDS for ends in self.ends.values())
        return often >= MIN_MACHINES

    async def stop_and_start(self, entry: Entry, after_s: float) -> None:
        """Stops an entry as planned, and starts it again."""
        await asyncio.sleep(after_s)
        self.planned.add(entry.name)
        entry.send_signal(signal.SIGTERM)
        limit = self._lab.record.now + STOP_LIMIT_S
        while entry.running and self._lab.record.now < limit:
            await asyncio.sleep(0.05)
        entry.kill()
        entry.start()
        self.planned.discard(entry.name)
        await entry.wait_until_ready()


class Clients:
    """Clients that ask for generations."""

    def __init__(self, lab: Lab) -> None:
        self._lab = lab
        self._numbers = itertools.count(1)
        self.served = 0
        self.broken = 0

    async def ask(self, entry: Entry, parts: list[str]) -> int:
        """Asks for one generation; returns the status, 0 without a whole answer."""
        request_id = f"g{next(self._numbers)}"
        prompt = [f"{part}:200" for part in parts]
        prompt.append(f"{request_id.encode().hex()}:8000")
        headers = {
            "Model": "m",
            "Token-Usage": "8200,780",
            "Prompt-Prefix": ",".join(prompt),
        }
        client = Client(self._lab.record, entry.address, entry.port)
        body = f"draft {request_id}".encode()
        answer = await client.send(
            "POST", "/draft/1", request_id, KEY, STREAM_DEADLINE_MS, headers, body
        )
        client.close()
        self.served += answer.status == 200
        self.broken += answer.status == 0
        return answer.status

    async def ask_on(self, entry: Entry, part: str) -> None:
        """Asks for one sound generation after the other, while its entry is ready."""
        while True:
            if await entry.check_ready():
                await self.ask(entry, [part])
            await asyncio.sleep(0.1)


async def quarantine_show(lab: Lab, clients: Clients, show: str) -> None:
    """Sends requests of one show with the deadly part until they are refused."""
    await asyncio.gather(
        *(clients.ask(entry, [show, DEADLY]) for entry in lab.entries for _ in "ab")
    )
    await asyncio.sleep(0.5)
    rows = [key for table, key in lab.store.rows if table == QUARANTINE_TABLE]
    lab.record.add(f"store: quarantines {rows}")


async def play(lab: Lab) -> int:
    """Crashes engines for two shows, with planned stops between, then works on."""
    routes = [make_route("breed-draft", "/draft/", "streaming", SERVICE)]
    engine = {"slots": 96, "kv_capacity": 880_000, "backups": False}
    services = [{"name": SERVICE, "engine": engine}]
    configuration = make_configuration(1, routes, services, {"club": [KEY]})
    lab.store.put("op", "config", configuration)
    engines = []
    for number in range(ENGINES):
        zone = ZONES[number % len(ZONES)]
        model = ModelEngine(lab.record, f"i-model-{number}", SERVICE, zone)
        model.on_back = lambda item: lab.store.put(  # type: ignore[method-assign]
            "servers", item.name, item.registration
        )
        engines.append(model)
        await lab.add_engine(model)
    for number in range(2):
        lab.make_entry(f"edge-{number + 1}", ZONES[number]).start()
    for entry in lab.entries:
        await entry.wait_until_ready()
    platform = Platform(lab)
    watching = lab.start_task(platform.watch())
    clients = Clients(lab)
    await quarantine_show(lab, clients, SHOWS[0])
    await asyncio.gather(
        *(
            platform.stop_and_start(entry, number * ROLL_GAP_S)
            for number, entry in enumerate(lab.entries)
        )
    )
    await quarantine_show(lab, clients, SHOWS[1])
    await asyncio.sleep(QUIET_S)
    lab.record.add("sound requests begin")
    for entry in lab.entries:
        for show in SHOWS:
            lab.start_task(clients.ask_on(entry, show))
    until = lab.record.now + SOUND_S
    while lab.record.now < until and not platform.has_broken_rule():
        await asyncio.sleep(0.1)
    if watching.done():
        raise UnableError("the platform failed")
    return judge(lab, platform, clients)


def judge(lab: Lab, platform: Platform, clients: Clients) -> int:
    """Counts the machines on which processes ended too often."""
    for name, ends in platform.ends.items():
        lab.record.add(f"entry {name}: ended {ends} times by itself")
    lab.record.add(f"generations: {clients.served} whole, {clients.broken} cut or none")
    if platform.has_broken_rule():
        lab.record.add("Fault: processes end by themselves too often")
        return BROKEN
    return HELD


if __name__ == "__main__":
    run_case(play, FOLDER)
