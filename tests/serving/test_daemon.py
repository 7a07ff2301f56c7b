"""Tests of a whole serving entry with store, upstreams and callers on loopback."""

from __future__ import annotations

import json
import socket
from base64 import b64encode
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from magnoliahold.httpclient import HttpClient
from magnoliahold.serving.daemon import make_serving_entry
from magnoliahold.settings.loading import parse_serving_settings
from tests.flooding import FloodingServer, make_chunk
from tests.loopback import LoopbackTestCase, on_loopback
from tests.serving.scripted import RESET, ScriptedServer
from tests.serving.test_exchanges import HEAD, LAST_CHUNK, STREAM, WHOLE

if TYPE_CHECKING:
    from magnoliahold.serving.daemon import ServingDaemon

# The choice between two idle upstreams is random; this many requests reach both.
MAX_REQUESTS = 40
CREDENTIAL = (("Authorization", "Token key-1"), ("Request-Id", "abc"))
ROUTES = (
    ("calls", "idempotent", False, 2),
    ("bookings", "non_idempotent", False, 1),
    ("streams", "streaming", True, 3),
)
PIECE = b"id: %d\ndata: x\n\n"
FLOODED = {
    "calls": b"ok",
    "bookings": b"ok",
    "streams": b"".join(PIECE % number for number in range(1, 6)),
}


class FakeStore(Resource):
    """Keeps rows by table; answers a long poll at the next change of its table."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.polls: list[tuple[str, Any]] = []
        self.registered: list[str] = []

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row and answers the open long polls of its table.

        The value is a document, or bytes that needn't be one.
        """
        self.version += 1
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        encoded = b64encode(content).decode()
        row = {"key": key, "ver": self.version, "value": encoded}
        self.rows.setdefault(table, {})[key] = row
        waiting, self.polls = self.polls, []
        for polled, request in waiting:
            if polled == table:
                request.write(self.describe([row]))
                request.finish()
            else:
                self.polls.append((polled, request))

    def end_poll(self, poll: tuple[str, Any]) -> None:
        """Forgets a long poll whose connection was lost."""
        if poll in self.polls:
            self.polls.remove(poll)

    def describe(self, rows: list[Any]) -> bytes:
        """Encodes an answer that holds rows."""
        return json.dumps({"rows": rows, "ver": self.version}).encode()

    def render_GET(self, request: Any) -> Any:  # noqa: N802
        """Answers reads, and long polls once something has changed."""
        table = request.args[b"table"][0].decode()
        if request.path == b"/-/rows-feed":
            after = int(request.args[b"after"][0])
            rows = self.rows.get(table, {}).values()
            changed = [row for row in rows if row["ver"] > after]
            if changed:
                return self.describe(changed)
            poll = (table, request)
            self.polls.append(poll)
            request.notifyFinish().addErrback(lambda _: self.end_poll(poll))
            return NOT_DONE_YET
        return self.describe(list(self.rows.get(table, {}).values()))

    def render_POST(self, request: Any) -> bytes:  # noqa: N802
        """Records the keys of the rows that are written."""
        changes = json.loads(request.content.read())
        self.registered += [row["key"] for row in changes["puts"]]
        return self.describe([])


def make_document(
    version: int, keys: tuple[str, ...] = ("key-1",), timeout_ms: int = 2000
) -> dict[str, Any]:
    """Makes a configuration with a route of each kind."""
    routes = [
        {
            "name": name,
            "hostname": "127.0.0.1",
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": timeout_ms,
            "goal_ms": 1000,
            "service": "s-1",
            "max_attempts": attempts,
            "resumable": resumable,
        }
        for name, kind, resumable, attempts in ROUTES
    ]
    tenants = [{"name": "w-1", "api_keys": list(keys)}]
    return {"version": version, "routes": routes, "tenants": tenants}


class DaemonTestCase(LoopbackTestCase):
    """A test case with the settings of an entry and a store."""

    timeout_ms = 2000

    def setUp(self) -> None:
        super().setUp()
        self.store = FakeStore()
        listener = self.serve(self.store)
        self.stopped: list[str] = []
        names = ("callers", "readiness", "metrics")
        ports = {name: self.reserve_port() for name in names}
        self.settings = {
            "name": "entry-1",
            "data_centre": "z-1",
            "store": listener.address.removeprefix("http://"),
            "peers": f"127.0.0.1:{self.reserve_port(socket.SOCK_DGRAM)}",
            **{name: f"127.0.0.1:{port}" for name, port in ports.items()},
        }

    def reserve_port(self, kind: int = socket.SOCK_STREAM) -> int:
        """Finds a free port on loopback and keeps others from it until the test ends.

        A socket may listen beside one that is only bound, if both reuse addresses. The
        entry does so for TCP; a UDP port is free again.
        """
        reserved = socket.socket(socket.AF_INET, kind)
        self.addCleanup(reserved.close)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        port = int(reserved.getsockname()[1])
        if kind == socket.SOCK_DGRAM:
            reserved.close()
        return port

    async def start(self, *scripts: list[Any] | FloodingServer) -> ServingDaemon:
        """Starts an entry with one upstream per script and waits until it is ready."""
        self.servers: list[Any] = []
        for number, script in enumerate(scripts):
            flooding = isinstance(script, FloodingServer)
            server: Any = script if flooding else ScriptedServer([script])
            self.listeners.append(server.listen(self.reactor))
            self.servers.append(server)
            record = {
                "service": "s-1",
                "address": f"127.0.0.1:{server.port}",
                "zone": f"z-{number}",
                "state": "ready",
            }
            self.store.put("servers", f"i-{number}", record)
        document = make_document(1, timeout_ms=self.timeout_ms)
        self.store.put("op", "config", document)
        settings = parse_serving_settings(self.settings)
        daemon = make_serving_entry(self.reactor, settings, self.stopped.append)
        self.listeners.append(StopOnClose(daemon))
        while await self.read_status("readiness", "/-/readyz") != 200:
            await self.sleep(0.02)
        return daemon

    async def read_status(self, name: str, path: str) -> int:
        """Reads a path at one of the entry's addresses and returns the status."""
        client = HttpClient(self.reactor, f"http://{self.settings[name]}")
        return (await client.send("GET", path, timeout_s=2.0)).status

    async def send_request(self, name: str, headers: Any = CREDENTIAL) -> Any:
        """Sends a caller's request."""
        client = HttpClient(self.reactor, f"http://{self.settings['callers']}")
        return await client.send("POST", f"/{name}/x", b"body", headers, 3.0)


class DaemonTests(DaemonTestCase):
    @on_loopback
    async def test_call_reaches_the_upstream_with_its_workspace(self) -> None:
        await self.start([WHOLE])
        answer = await self.send_request("calls")
        self.assertEqual((answer.status, answer.body), (200, b"ok"))
        self.assertIn(("Response-Signature", "s"), answer.headers)
        (head,) = self.servers[0].requests
        self.assertIn(b"Tenant: w-1", head)
        self.assertNotIn(b"key-1", head)
        self.assertEqual(await self.read_status("metrics", "/metrics"), 200)
        self.assertEqual(self.store.registered, ["entry-1"])

    @on_loopback
    async def test_only_idempotent_requests_are_retried(self) -> None:
        failure = WHOLE.replace(b"200 OK", b"500 Broken")
        await self.start([failure], [failure])
        self.assertEqual((await self.send_request("calls")).status, 500)
        self.assertEqual(sum(len(item.requests) for item in self.servers), 2)
        self.assertEqual((await self.send_request("bookings")).status, 500)
        self.assertEqual(sum(len(item.requests) for item in self.servers), 3)

    @on_loopback
    async def test_interrupted_booking_is_not_reported_as_not_run(self) -> None:
        await self.start([RESET], [RESET])
        answer = await self.send_request("bookings")
        self.assertEqual(answer.status, 502)
        self.assertEqual(sum(len(item.requests) for item in self.servers), 1)

    @on_loopback
    async def test_stream_resumes_on_another_upstream_after_a_reset(self) -> None:
        pieces = [PIECE % number for number in range(1, 6)]
        broken = [STREAM, *map(make_chunk, pieces[:3]), RESET]
        rest = [STREAM, *map(make_chunk, pieces), LAST_CHUNK]
        daemon = await self.start(broken, rest)
        resumed = False
        sent = 0
        while sent < MAX_REQUESTS and (sent < 4 or not resumed):
            answer = await self.send_request("streams")
            self.assertEqual(answer.body, b"".join(pieces))
            heads = [head for server in self.servers for head in server.requests]
            resumed = any(b"Last-Event-Id: 3" in head for head in heads)
            sent += 1
        exchanges = daemon.node.ports.upstreams
        self.assertEqual(exchanges._exchanges, {}, "ended exchanges are removed")
        self.assertTrue(resumed)

    async def send_until_flooded(self, flooding: FloodingServer, name: str) -> Any:
        """Sends requests until one has reached a flooding upstream; checks the rest."""
        while True:
            # The answer to the open long poll proves that the configuration is current.
            self.store.put("op", "config", make_document(1))
            answer = await self.send_request(name)
            if flooding.requests:
                return answer
            self.assertEqual((answer.status, answer.body), (200, FLOODED[name]))

    @on_loopback
    async def test_call_with_a_head_without_end_is_retried(self) -> None:
        flooding = FloodingServer(HEAD, b"Name: value\r\n")
        daemon = await self.start(flooding, [WHOLE])
        answer = await self.send_until_flooded(flooding, "calls")
        self.assertEqual((answer.status, answer.body), (200, b"ok"))
        await self.wait_until(lambda: flooding.ended == flooding.connections)
        self.assertEqual(daemon.node.ports.upstreams._exchanges, {})

    @on_loopback
    async def test_booking_with_a_body_without_end_is_not_retried(self) -> None:
        flooding = FloodingServer(HEAD + b"\r\n", b"x")
        daemon = await self.start(flooding, [WHOLE])
        answer = await self.send_until_flooded(flooding, "bookings")
        self.assertEqual(answer.status, 502)
        self.assertEqual(flooding.requests, 1)
        await self.wait_until(lambda: flooding.ended == flooding.connections)
        self.assertEqual(daemon.node.ports.upstreams._exchanges, {})

    @on_loopback
    async def test_stream_with_an_event_without_end_is_resumed(self) -> None:
        whole = [PIECE % number for number in range(1, 6)]
        flooding = FloodingServer(
            STREAM + b"".join(map(make_chunk, whole[:3])), make_chunk(b"x" * 1000)
        )
        await self.start(flooding, [STREAM, *map(make_chunk, whole), LAST_CHUNK])
        answer = await self.send_until_flooded(flooding, "streams")
        self.assertEqual((answer.status, answer.body), (200, FLOODED["streams"]))
        await self.wait_until(lambda: flooding.ended == flooding.connections)

    @on_loopback
    async def test_revoked_credential_is_refused(self) -> None:
        await self.start([WHOLE])
        self.assertEqual((await self.send_request("calls")).status, 200)
        self.store.put("op", "config", make_document(2, keys=("key-2",)))
        while (await self.send_request("calls")).status == 200:
            await self.sleep(0.02)
        self.assertEqual((await self.send_request("calls")).status, 401)

    @on_loopback
    async def test_draining_entry_finishes_open_requests(self) -> None:
        slow = [HEAD + b"Content-Length: 2\r\n\r\n"]
        daemon = await self.start(slow)
        running = Deferred.fromCoroutine(self.send_request("bookings"))
        await self.wait_until(lambda: bool(self.servers[0].requests))
        daemon.leave("SIGTERM")
        await self.sleep(0.05)
        self.assertEqual(await self.read_status("readiness", "/-/readyz"), 503)
        self.servers[0].finish(b"ok")
        answer = await running
        self.assertEqual((answer.status, answer.body), (200, b"ok"))
        await self.wait_until(lambda: bool(self.stopped))


class StopOnClose:
    """Stops an entry at the end of a test."""

    def __init__(self, daemon: ServingDaemon) -> None:
        self._daemon = daemon

    def close(self) -> None:
        """Stops the entry, unless it has stopped by itself."""
        self._daemon.stop("the test ends")
