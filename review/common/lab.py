"""A small deployment for the review: entries as processes, stand-ins around them.

Only the standard library is used. Every address is a loopback address; each entry has
one of its own, as on the platform. Everything that a case starts ends with its lab.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

REPOSITORY = Path(__file__).resolve().parents[2]
DEPENDENCIES = REPOSITORY / "target" / "deps"
TEMPLATE = REPOSITORY / "deploy" / "entry.yaml.template"
BROKEN, HELD, UNABLE = 1, 0, 2
TX_S = 0.004
MAX_ROWS = 500
HOST = "ficu95.example"
BORN_MS = 1_700_000_000_000
READY_TIMEOUT_S = 20.0
RUN_LIMIT_S = 117.0
CANCEL_ROUNDS = 10
CANCEL_WAIT_S = 0.2
# Faults of the stand-ins themselves; a case with any of them says nothing.
FAULTS: list[str] = []
# All clients, so that their connections are closed at the end.
CLIENTS: list[Client] = []


class UnableError(Exception):
    """The case can't be run here."""


def has_trouble() -> bool:
    """Tells whether the disruption of a case is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines about what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    @property
    def now(self) -> float:
        """The seconds since the start."""
        return time.monotonic() - self.started

    def add(self, text: str) -> None:
        """Adds a line."""
        self._file.write(f"{self.now:9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclass
class Request:
    """A request as a server read it; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query as a table."""
        pairs = self.target.partition("?")[2].split("&")
        return dict(pair.split("=", 1) for pair in pairs if "=" in pair)

    @property
    def id(self) -> str:
        """The request's id, empty if it has none."""
        return self.headers.get("request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Reads a first line and headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads a body with a length, in chunks, or none."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0].strip() or b"0", 16)
        chunk = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body
        body += chunk


def make_answer(
    status: int, headers: dict[str, str], body: bytes, close: bool = False
) -> bytes:
    """Builds a complete answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection; without the option it would be closed."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """An HTTP server on a loopback address; `handle` writes the answers itself."""

    def __init__(self, address: str = "127.0.0.1") -> None:
        self.address = address
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, port: int = 0) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, self.address, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await self.handle(Request(method, target, head[1], body), writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except Exception as error:
            FAULTS.append(repr(error))
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answers a request."""
        raise NotImplementedError

    def abort_connections(self) -> None:
        """Resets all open connections."""
        for writer in list(self.writers):
            reset(writer)

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.abort_connections()
        await asyncio.sleep(0.05)


@dataclass(eq=False)
class Poll:
    """A long poll that waits for a change of a table."""

    table: str
    changed: asyncio.Event = field(default_factory=asyncio.Event)


Row = tuple[int, bytes | None]


class Store(Server):
    """The platform's metadata store, with one counter of versions.

    While `away` it answers 503. `restore` brings it back from a copy, as in a drill.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.era = 1
        self.version = 1
        self.oldest = 0
        self.rows: dict[tuple[str, str], Row] = {}
        self.away = False
        self._polls: set[Poll] = set()

    def put(self, table: str, key: str, document: Any) -> int:
        """Writes a row as the operator or an engine does; returns its version."""
        return self._apply({(table, key): json.dumps(document).encode()})

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self._apply({(table, key): None})

    def copy(self) -> tuple[int, dict[tuple[str, str], Row]]:
        """Copies all rows, to restore them later."""
        return self.version, dict(self.rows)

    def go_away(self) -> None:
        """Lets the store be unavailable; open connections are reset."""
        self.away = True
        self.abort_connections()

    def restore(self, copy: tuple[int, dict[tuple[str, str], Row]]) -> None:
        """Brings the store back from a copy; its era rises by one."""
        self.version, self.rows = copy[0], dict(copy[1])
        self.oldest = min(self.oldest, self.version)
        self.era += 1
        self.away = False

    def _apply(self, changes: dict[tuple[str, str], bytes | None]) -> int:
        self.version += 1
        for key, value in changes.items():
            self.rows[key] = (self.version, value)
        for poll in self._polls:
            if any(table == poll.table for table, _ in changes):
                poll.changed.set()
        return self.version

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answers a call."""
        await asyncio.sleep(TX_S)
        if self.away:
            status, body = 503, {}
        elif request.path == "/-/rows-tx":
            status, body = self._transact(json.loads(request.body))
        elif request.path == "/-/rows-feed":
            status, body = await self._feed(request.query)
        elif request.path == "/-/rows-get":
            status, body = 200, self._list(request.query)
        else:
            status, body = 404, {}
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        writer.write(make_answer(status, headers, json.dumps(body).encode()))
        await writer.drain()

    def _transact(self, body: Any) -> tuple[int, dict[str, Any]]:
        changed = [*body["puts"], *body["remove"]]
        if any(row["table"] in ("op", "servers") for row in changed):
            return 403, {}
        for row in body["expect_rev"]:
            version, value = self.rows.get((row["table"], row["key"]), (0, None))
            if (version if value is not None else 0) != row["ver"]:
                return 412, self._describe([])
        changes: dict[tuple[str, str], bytes | None] = {
            (row["table"], row["key"]): base64.b64decode(row["value"])
            for row in body["puts"]
        }
        changes.update({(row["table"], row["key"]): None for row in body["remove"]})
        for table, key in changes:
            self.record.add(f"store: {table}/{key} is written")
        self._apply(changes)
        return 200, self._describe([])

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, after = query["table"], int(query["after"])
        if not self.oldest <= after <= self.version:
            return 410, {}
        rows = self._find_rows(table, after)
        if not rows:
            poll = Poll(table)
            self._polls.add(poll)
            with contextlib.suppress(asyncio.TimeoutError):
                wait_s = int(query["wait_ms"]) / 1000.0
                await asyncio.wait_for(poll.changed.wait(), wait_s)
            self._polls.discard(poll)
            rows = self._find_rows(table, after)
        return 200, self._describe(rows)

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        rows = self._find_rows(query["table"], -1)
        found = [row for row in rows if "value" in row]
        return self._describe(found[:MAX_ROWS])

    def _find_rows(self, table: str, after: int) -> list[dict[str, Any]]:
        found = []
        for (name, key), (version, value) in sorted(self.rows.items()):
            if name != table or version <= after:
                continue
            row: dict[str, Any] = {"table": table, "part": "", "key": key}
            row["ver"] = version
            if value is None:
                row["removed"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            found.append(row)
        return found

    def _describe(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now_ms = time.monotonic() * 1000.0
        return {"rows": rows, "ver": self.version, "now_ms": now_ms, "has_more": False}


@dataclass
class Run:
    """A request that an engine began to work on."""

    request_id: str
    engine: str
    path: str
    tenant: str
    at: float


class Engine(Server):
    """A sound engine of a plain service; `runs` has what it worked on.

    A request without an id is answered 400, as the pages say.
    """

    def __init__(self, record: Record, name: str, service: str, zone: str) -> None:
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = 0.03
        self.runs: list[Run] = []

    @property
    def registration(self) -> dict[str, Any]:
        """Its entry in the store."""
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": BORN_MS,
        }

    def begin_run(self, request: Request) -> Run:
        """Records that it begins to work on a request."""
        tenant = request.headers.get("tenant", "")
        run = Run(request.id, self.name, request.path, tenant, self.record.now)
        self.runs.append(run)
        self.record.add(f"run: {request.id} at {self.name}, tenant {tenant or '-'}")
        return run

    def make_own_answer(self, request: Request) -> bytes | None:
        """Builds the answer to what doesn't run, or None."""
        if request.headers.get("expect-instance", self.name) != self.name:
            headers = {"Not-Executed": "1"}
            if request.id:
                headers["Request-Id"] = request.id
            return make_answer(421, headers, b"")
        if not request.id:
            return make_answer(400, {"Not-Executed": "1"}, b"send a Request-Id\n")
        return None

    def make_run_answer(self, request: Request) -> bytes:
        """Builds the answer to what it has run."""
        headers = {"Request-Id": request.id, "Response-Signature": f"s.{request.id}"}
        return make_answer(200, headers, make_body(request.id))

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Runs a request and answers it."""
        answer = self.make_own_answer(request)
        if answer is None:
            self.begin_run(request)
            await asyncio.sleep(self.work_s)
            answer = self.make_run_answer(request)
        writer.write(answer)
        await writer.drain()


def make_body(request_id: str) -> bytes:
    """Builds the whole body of the answer to a request."""
    return (f"answer to {request_id}\n" * 60).encode()[:800]


@dataclass
class Answer:
    """What a client got; `status` is 0 without a complete answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Client:
    """A client with one kept connection to an entry."""

    def __init__(self, record: Record, address: str, port: int) -> None:
        self.record = record
        self._address = address
        self._port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        CLIENTS.append(self)

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        key: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Sends a request and waits for its answer until its deadline."""
        fields = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {key}",
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        text = "\r\n".join(f"{name}: {value}" for name, value in fields.items())
        raw = f"{method} {path} HTTP/1.1\r\n{text}\r\n\r\n".encode() + body
        self.record.add(f"sent: {request_id} {method} {path} to port {self._port}")
        try:
            answer = await asyncio.wait_for(self._exchange(raw), deadline_ms / 1000.0)
        except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
            self.close()
            answer = Answer(0)
        self.record.add(f"answered: {request_id} {answer.status or 'nothing'}")
        return answer

    async def _exchange(self, raw: bytes) -> Answer:
        if self._streams is None:
            opening = asyncio.open_connection(self._address, self._port)
            self._streams = await asyncio.wait_for(opening, 1.0)
        reader, writer = self._streams
        writer.write(raw)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError
        status = int(head[0].split(" ", 2)[1])
        body = await read_body(reader, head[1])
        if head[1].get("connection", "").lower() == "close":
            self.close()
        return Answer(status, head[1], body)

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def fill_template(values: dict[str, str]) -> str:
    """Fills the template of settings in, as the platform does."""
    text = TEMPLATE.read_text(encoding="utf-8")
    return re.sub(r"\{\{([^}]+)\}\}", lambda found: values[found.group(1)], text)


BOUNDS = {
    "bounds.revoke_ms": "5000",
    "bounds.grace_s": "8",
    "bounds.exposure_share": "0.1",
    "bounds.exposure_extra": "50",
    "bounds.budget_ratio": "0.8",
    "bounds.budget_extra": "150",
    "bounds.budget_window_s": "10",
    "bounds.drain_ms": "2000",
    "limits.link_mbps": "1000.0",
}


def find_free_port(address: str) -> int:
    """Finds a port that is free at a loopback address, below the ephemeral ones."""
    while True:
        port = random.SystemRandom().randrange(20_000, 32_000)
        with socket.socket() as candidate:
            try:
                candidate.bind((address, port))
            except OSError:
                continue
            return port


class Entry:
    """One entry as a process, started with the command of the deploy file."""

    def __init__(
        self, record: Record, folder: Path, name: str, zone: str, store: Store
    ) -> None:
        number = random.SystemRandom().randrange(1, 250 * 250)
        self.record = record
        self.name = name
        self.address = f"127.9.{1 + number // 250}.{1 + number % 250}"
        self.port = find_free_port(self.address)
        self.ready_port = find_free_port(self.address)
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self._settings_path = folder / f"{name}.yaml"
        values = {
            "node": name,
            "zone": zone,
            "ip": self.address,
            "listen.front": f"{self.address}:{self.port}",
            "listen.ready": f"{self.address}:{self.ready_port}",
            "port_range.0": str(find_free_port(self.address)),
            "provider.address": f"{store.address}:{store.port}",
            **BOUNDS,
        }
        self._settings_path.write_text(fill_template(values), encoding="utf-8")

    def start(self) -> None:
        """Starts the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(DEPENDENCIES)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MAGNOLIAHOLD_BOOT"] = str(self._settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "magnoliahold.platform"],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"entry {self.name}: started")

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.running:
            self.process.send_signal(number)
            self.record.add(f"entry {self.name}: {number.name}")

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def check_ready(self) -> bool:
        """Asks once whether it is ready."""
        client = Client(Quiet(), self.address, self.ready_port)
        answer = await client.send("GET", "/-/readyz", "ready", "-", 800)
        client.close()
        return answer.status == 200

    async def wait_until_ready(self) -> None:
        """Waits until it is ready; raises UnableError if it isn't in time."""
        limit = time.monotonic() + READY_TIMEOUT_S
        while not await self.check_ready():
            if time.monotonic() > limit or not self.running:
                raise UnableError(f"{self.name} isn't ready")
            await asyncio.sleep(0.05)
        self.record.add(f"entry {self.name}: ready")

    def read_memory_mb(self) -> float:
        """Reads how much memory the process holds."""
        if self.process is None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text("ascii")
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found.group(1)) / 1024.0 if found else 0.0


class Quiet(Record):
    """Records nothing."""

    def __init__(self) -> None:
        self.started = time.monotonic()

    def add(self, text: str) -> None:
        """Adds nothing."""


def make_route(
    name: str, prefix: str, kind: str, service: str, **changes: Any
) -> dict[str, Any]:
    """Builds a route like those of the sites."""
    streams = kind == "streaming"
    route = {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 25_000 if streams else 800,
        "goal_ms": 4500 if streams else 150,
        "max_attempts": {"streaming": 5, "idempotent": 2}.get(kind, 1),
        "priority": 1 if streams else 2,
        "resumable": streams,
        "sticky": streams,
    }
    if streams:
        route["gap_goal_ms"] = 700
    return {**route, **changes}


def make_configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    keys: dict[str, list[str]],
) -> dict[str, Any]:
    """Builds a configuration; `keys` has the keys of each tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": name, "api_keys": keys[name]} for name in keys],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
    }


@dataclass
class Lab:
    """What a case works with."""

    record: Record
    folder: Path
    store: Store
    entries: list[Entry] = field(default_factory=list)
    servers: list[Server] = field(default_factory=list)
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def make_entry(self, name: str, zone: str) -> Entry:
        """Makes an entry; it isn't started yet."""
        entry = Entry(self.record, self.folder, name, zone, self.store)
        self.entries.append(entry)
        return entry

    async def add_engine(self, engine: Engine) -> None:
        """Lets an engine listen and registers it."""
        await engine.listen()
        self.servers.append(engine)
        self.store.put("servers", engine.name, engine.registration)

    def start_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts work beside the case."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        return task

    async def close(self) -> None:
        """Ends everything that the case started."""
        for entry in self.entries:
            entry.kill()
        await self._cancel_tasks()
        for client in CLIENTS:
            client.close()
        for server in (*self.servers, self.store):
            await server.close()

    async def _cancel_tasks(self) -> None:
        """Cancels all tasks; more than once, since wait_for may swallow it."""
        pending = {task for task in self.tasks if not task.done()}
        for _ in range(CANCEL_ROUNDS):
            if not pending:
                return
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_WAIT_S)


async def _run(case: Callable[[Lab], Awaitable[int]], record: Record) -> int:
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        store = Store(record)
        await store.listen()
        lab = Lab(record, Path(folder), store)
        try:
            return await asyncio.wait_for(case(lab), RUN_LIMIT_S)
        except TimeoutError:
            raise UnableError("the case took too long") from None
        finally:
            for entry in lab.entries:
                keep_log(entry)
            await lab.close()


def keep_log(entry: Entry) -> None:
    """Copies an entry's log to the folder that REVIEW_LOGS names, if it is set."""
    folder = os.environ.get("REVIEW_LOGS")
    if folder and entry.log_path.exists():
        target = Path(folder) / entry.log_path.name
        target.write_bytes(entry.log_path.read_bytes())


def run_case(case: Callable[[Lab], Awaitable[int]], folder: Path) -> None:
    """Runs a case and exits with its result."""
    record = Record(folder)
    code = UNABLE
    try:
        if not (DEPENDENCIES / "magnoliahold").is_dir():
            raise UnableError("build the deploy file first: sh deploy/build.sh")
        code = asyncio.run(_run(case, record))
        if FAULTS:
            code = UNABLE
            raise UnableError(f"a stand-in failed: {FAULTS[0]}")
        verdict = {BROKEN: "the rule was broken", HELD: "the rule held"}[code]
        record.add(f"result: {verdict}")
        print(verdict)
    except (UnableError, OSError, asyncio.CancelledError) as error:
        record.add(f"result: the case couldn't run: {error}")
        print(f"the case couldn't run: {error}", file=sys.stderr)
    finally:
        record.close()
    sys.exit(code)
