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
