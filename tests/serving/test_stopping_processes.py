"""Tests of processes that stop while signals, changes and faults overlap with it."""

from __future__ import annotations

import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeAlias

import yaml
from attrs import define
from twisted.internet.defer import Deferred, gatherResults

from magnoliahold.httpclient import HttpClient
from tests.loopback import on_loopback
from tests.serving.test_callers import connect_client
from tests.serving.test_daemon import (
    ROUTES,
    DaemonTestCase,
    FakeStore,
    make_document,
)
from tests.serving.test_exchanges import LAST_CHUNK
from tests.serving.test_lost_requests import CALL
from tests.serving.working import PIECE_S, WorkingUpstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.standins.server import Listener
    from tests.serving.test_callers import Client

WORK_S = 2.8
TIMEOUT_MS = 6000
# How long after SIGTERM a process ends at the latest.
GRACE_S = 8.0
SIGNAL_S = 0.15
SHORT_GRACE_S = 2.0
# The signal and the end of the process are seen late on cores that others use, too.
EXIT_MARGIN_S = 0.5
MANY = 400


@define(eq=False)
class StoppingEntry:
    """The process of an entry with its own store."""

    process: subprocess.Popen[bytes]
    settings: dict[str, Any]
    settings_path: Path
    store: FakeStore
    store_listener: Listener
    upstream: str

    def remove_routes(self) -> None:
        """Writes a configuration without routes."""
        document = make_document(9, timeout_ms=TIMEOUT_MS)
        self.store.put("op", "config", {**document, "routes": []})

    def revoke_credentials(self) -> None:
        """Writes a configuration that knows another credential only."""
        document = make_document(9, keys=("key-2",), timeout_ms=TIMEOUT_MS)
        self.store.put("op", "config", document)

    def remove_upstream(self) -> None:
        """Writes that the only upstream is leaving."""
        record = {"service": "s-1", "address": self.upstream, "zone": "z"}
        self.store.put("servers", "i-1", {**record, "state": "draining"})

    def shorten_grace(self) -> None:
        """Sends SIGHUP with settings of a shorter grace."""
        settings = {**self.settings, "bounds": {"stop_grace_s": 1}}
        self.settings_path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        self.process.send_signal(signal.SIGHUP)

    def shorten_timeouts(self) -> None:
        """Writes a configuration with short timeouts."""
        self.store.put("op", "config", make_document(9, timeout_ms=200))

    def break_settings(self) -> None:
        """Sends SIGHUP with settings that can't be read."""
        self.settings_path.write_text("name: [", encoding="utf-8")
        self.process.send_signal(signal.SIGHUP)


def send_signals(*numbers: signal.Signals) -> Callable[[StoppingEntry], None]:
    """Makes a function that sends signals to the process of an entry."""

    def send(entry: StoppingEntry) -> None:
        for number in numbers:
            entry.process.send_signal(number)

    return send


Overlap: TypeAlias = "tuple[str, Callable[[StoppingEntry], None]]"

SIGNALS: tuple[Overlap, ...] = (
    ("another SIGTERM", send_signals(signal.SIGTERM)),
    ("SIGHUP and SIGTERM", send_signals(signal.SIGHUP, signal.SIGTERM)),
    ("SIGHUP with settings that can't be read", StoppingEntry.break_settings),
)
CHANGES: tuple[Overlap, ...] = (
    ("a store that answers nothing", lambda e: e.store_listener.silence_connections()),
    ("a store that is away", lambda e: e.store_listener.refuse_connections()),
    ("routes that are removed", StoppingEntry.remove_routes),
    ("credentials that are revoked", StoppingEntry.revoke_credentials),
    ("an upstream that leaves", StoppingEntry.remove_upstream),
    ("timeouts that become short", StoppingEntry.shorten_timeouts),
)


class StoppingProcessTests(DaemonTestCase):
    # Several processes start at the same time, on cores that others use, too.
    timeout_s = 40.0

    def setUp(self) -> None:
        super().setUp()
        self.upstream = WorkingUpstream(self.reactor)
        self.address = self.serve(self.upstream).address.removeprefix("http://")
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def start_process(self, name: str, grace_s: float = GRACE_S) -> StoppingEntry:
        """Starts the process of an entry with a store of its own."""
        store = FakeStore()
        listener = self.serve(store)
        record = {"service": "s-1", "address": self.address, "zone": "z"}
        store.put("servers", "i-1", {**record, "state": "ready"})
        store.put("op", "config", make_document(1, timeout_ms=TIMEOUT_MS))
        settings = {
            "name": "entry-1",
            "data_centre": "z-1",
            "store": listener.address.removeprefix("http://"),
            "callers": f"127.0.0.1:{self.reserve_port()}",
            "readiness": f"127.0.0.1:{self.reserve_port()}",
            "bounds": {"stop_grace_s": grace_s},
        }
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        process = subprocess.Popen(
            [sys.executable, "-m", "magnoliahold", "serve", str(path)],
            stdout=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return StoppingEntry(process, settings, path, store, listener, self.address)

    async def is_ready(self, entry: StoppingEntry) -> bool:
        """Tells whether an entry is ready for callers."""
        client = HttpClient(self.reactor, f"http://{entry.settings['readiness']}")
        try:
            answer = await client.send("GET", "/-/readyz", timeout_s=1.0)
        except Exception:
            return False
        return answer.status == 200

    async def call(self, entry: StoppingEntry, name: str) -> Client:
        """Sends a request that takes a while to one of the routes."""
        path = f"/{name}/{WORK_S}".encode()
        _, _, port = entry.settings["callers"].partition(":")
        content = CALL.replace(b"/calls/x", path)
        return await connect_client(self.reactor, int(port), content)

    async def stop_beside(
        self, name: str, overlap: Callable[[StoppingEntry], None]
    ) -> tuple[str, int | None, dict[str, Client]]:
        """Stops a process beside something else, while it has requests."""
        entry = self.start_process(name)
        while not await self.is_ready(entry):
            await self.sleep(0.05)
        clients = {route: await self.call(entry, route) for route, *_ in ROUTES}
        await self.sleep(0.3)
        entry.process.send_signal(signal.SIGTERM)
        await self.sleep(0.3)
        overlap(entry)
        await self.wait_until(lambda: entry.process.poll() is not None)
        await self.wait_until(lambda: all(item.closed for item in clients.values()))
        return name, entry.process.returncode, clients

    async def check_overlaps(self, overlaps: tuple[Overlap, ...]) -> None:
        """Checks that all requests are answered in stops at the same time."""
        running = [Deferred.fromCoroutine(self.stop_beside(*item)) for item in overlaps]
        for name, code, clients in await gatherResults(running):
            for route, client in clients.items():
                with self.subTest(name, route=route):
                    self.assertEqual(client.received.split()[1:2], [b"200"])
            with self.subTest(name):
                pieces = round(WORK_S / PIECE_S)
                stream = clients["streams"].received
                self.assertEqual(stream.count(b"data: x"), pieces)
                self.assertTrue(stream.endswith(LAST_CHUNK))
                self.assertEqual(code, 0)

    @on_loopback
    async def test_signals_during_a_stop_cut_nothing(self) -> None:
        await self.check_overlaps(SIGNALS)

    def signal_in_each_phase(self, entry: StoppingEntry) -> None:
        """Sends SIGTERM and SIGHUP until the process ends."""
        if entry.process.poll() is not None:
            return
        entry.process.send_signal(signal.SIGTERM)
        self.reactor.callLater(SIGNAL_S / 2, entry.shorten_grace)
        self.reactor.callLater(SIGNAL_S, self.signal_in_each_phase, entry)

    @on_loopback
    async def test_signals_in_each_phase_of_a_stop_cut_nothing(self) -> None:
        await self.check_overlaps((("each phase", self.signal_in_each_phase),))

    @on_loopback
    async def test_requests_behind_one_that_is_cut_are_answered_at_the_exit(
        self,
    ) -> None:
        entry = self.start_process("short", SHORT_GRACE_S)
        while not await self.is_ready(entry):
            await self.sleep(0.05)
        client = await self.call(entry, "bookings")
        await self.wait_until(lambda: bool(self.upstream.begun))
        transport: Any = client.transport
        transport.write(CALL * MANY)
        await self.sleep(0.1)
        entry.process.send_signal(signal.SIGTERM)
        ordered_at = self.reactor.seconds()
        await self.wait_until(lambda: entry.process.poll() is not None)
        lasted_s = self.reactor.seconds() - ordered_at
        await self.wait_until(lambda: client.closed)
        answers = client.received.split(b"HTTP/1.1 ")[1:]
        statuses = [answer[:3] for answer in answers]
        self.assertEqual(statuses, [b"502", *[b"503"] * MANY])
        self.assertIn(b"Connection: close", answers[-1])
        self.assertLess(lasted_s, SHORT_GRACE_S + EXIT_MARGIN_S)

    @on_loopback
    async def test_interrupt_during_a_stop_ends_the_process(self) -> None:
        entry = self.start_process("interrupted")
        while not await self.is_ready(entry):
            await self.sleep(0.05)
        client = await self.call(entry, "bookings")
        await self.wait_until(lambda: bool(self.upstream.begun))
        entry.process.send_signal(signal.SIGTERM)
        await self.sleep(0.2)
        entry.process.send_signal(signal.SIGINT)
        await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received, b"")

    @on_loopback
    async def test_changes_during_a_stop_cut_nothing(self) -> None:
        await self.check_overlaps(CHANGES)


if __name__ == "__main__":
    unittest.main()
