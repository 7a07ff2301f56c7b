"""Tests of a whole entry with rows that another writer left among the upstreams'."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from magnoliahold.serving.daemon import make_serving_entry
from magnoliahold.settings.loading import parse_serving_settings
from tests.loopback import on_loopback
from tests.platform.test_foreign_rows import NESTED_LIST, NESTED_OBJECT, add_field
from tests.serving.scripted import ScriptedServer
from tests.serving.test_daemon import DaemonTestCase, StopOnClose
from tests.serving.test_exchanges import WHOLE

if TYPE_CHECKING:
    from magnoliahold.serving.daemon import ServingDaemon

SERVER = {
    "service": "s-1",
    "address": "127.0.0.1:1",
    "zone": "z-9",
    "state": "ready",
}
# What isn't IP:PORT: an upstream has no other address.
ODD_ADDRESSES = (
    "",
    ":",
    ":80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:-1",
    "127.0.0.1:+1",
    "127.0.0.1: 1",
    "127.0.0.1:\u0661",
    "127.0.0.1:1:1",
    "127.1:80",
    "127.0.0.01:80",
    "300.0.0.1:80",
    "localhost:80",
    "a..b:80",
    f"{'a' * 64}:80",
    f"{'a' * 300}:80",
    "\ud800:80",
    "\u00fc.example:80",
    "a\0b:80",
    "127.0.0.1\0:80",
    " :80",
    "127.0.0.1/x:80",
    "x@127.0.0.1:80",
    "[::1]:80",
    "fe80::1%nothing:80",
    "::1%0:80",
)


class ForeignUpstreamTests(DaemonTestCase):
    async def put_sound_upstream(self, name: str) -> ScriptedServer:
        """Registers a new upstream that answers."""
        server = ScriptedServer([[WHOLE]])
        self.listeners.append(server.listen(self.reactor))
        record = {**SERVER, "address": f"127.0.0.1:{server.port}"}
        self.store.put("servers", name, record)
        return server

    async def wait_for_upstreams(self, daemon: ServingDaemon, *names: str) -> None:
        """Waits until the entry knows these upstreams and no other ones."""
        known = daemon.node.world.upstreams.by_id
        await self.wait_until(lambda: set(known) == set(names))

    async def start_another(self) -> ServingDaemon:
        """Starts another entry and waits until it is ready."""
        ports = {name: self.reserve_port() for name in ("callers", "readiness")}
        own = {name: f"127.0.0.1:{port}" for name, port in ports.items()}
        self.settings = {**self.settings, **own, "name": "entry-2"}
        del self.settings["peers"], self.settings["metrics"]
        settings = parse_serving_settings(self.settings)
        daemon = make_serving_entry(self.reactor, settings, self.stopped.append)
        self.listeners.append(StopOnClose(daemon))
        while await self.read_status("readiness", "/-/readyz") != 200:
            await self.sleep(0.02)
        return daemon

    # Failure: entries followed no further change of the upstreams while a row nested
    # deeply, and an entry that started meanwhile was never ready.
    @on_loopback
    async def test_entries_follow_the_upstreams_beside_a_row_that_nests_deeply(
        self,
    ) -> None:
        daemon = await self.start([WHOLE])
        with self.assertLogs("magnoliahold.store", "WARNING") as logged:
            for number, value in enumerate((NESTED_LIST, NESTED_OBJECT)):
                odd = add_field(SERVER, "other", value)
                self.store.put("servers", f"odd-{number}", odd)
            await self.put_sound_upstream("i-1")
            await self.wait_for_upstreams(daemon, "i-0", "i-1")
            another = await self.start_another()
            await self.wait_for_upstreams(another, "i-0", "i-1")
        keys: list[Any] = [item.fields["key"] for item in logged.records]  # type: ignore
        self.assertEqual(keys, ["odd-0", "odd-1"] * 2)
        self.assertEqual((await self.send_request("calls")).status, 200)
        self.assertEqual(self.stopped, [])

    # Failure: hosts that can't be names were taken for upstreams, and the resolver of
    # names ended in errors that nobody handled.
    @on_loopback
    async def test_row_whose_address_is_not_ip_and_port_is_left_out(self) -> None:
        daemon = await self.start([WHOLE])
        names = [f"odd-{number}" for number in range(len(ODD_ADDRESSES))]
        with self.assertLogs("magnoliahold.store", "WARNING") as logged:
            for name, address in zip(names, ODD_ADDRESSES, strict=True):
                self.store.put("servers", name, {**SERVER, "address": address})
            await self.put_sound_upstream("i-1")
            known = daemon.node.world.upstreams.by_id
            await self.wait_until(lambda: "i-1" in known)
            for _ in range(5):
                self.assertEqual((await self.send_request("calls")).status, 200)
            for upstream in list(known.values()):
                daemon.node.ports.upstreams.probe(upstream.record, 0.5)
            await self.sleep(0.2)
        self.assertEqual(set(known), {"i-0", "i-1"})
        fields: list[Any] = [item.fields for item in logged.records]  # type: ignore
        self.assertEqual([item["key"] for item in fields], names)
        for item in fields:
            self.assertLessEqual(len(item["reason"]), 200)
