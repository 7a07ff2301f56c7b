from __future__ import annotations

from unittest.mock import patch

from twisted.internet.defer import gatherResults

from magnoliahold.httpclient import HttpClient
from magnoliahold.standins.platform import make_platform
from magnoliahold.standins.platform_faults import PlatformFault
from magnoliahold.storage.instances import make_instance_client
from magnoliahold.storage.interfaces import (
    Condition,
    Instance,
    PlatformUnavailable,
    Row,
    Write,
)
from magnoliahold.storage.objects import make_object_client
from magnoliahold.storage.tables import make_table_client
from magnoliahold.storage.weights import make_weight_client
from tests.loopback import LoopbackTestCase, on_loopback

TIMEOUT_S = 0.3


class PlatformClientTests(LoopbackTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = make_platform(self.reactor, self.random)
        self.listener = self.serve(self.platform.resource)
        self.tables = make_table_client(self.reactor, self.listener.address, TIMEOUT_S)

    @on_loopback
    async def test_rows_are_written_and_read(self) -> None:
        outcome = await self.tables.transact(
            [Condition("t", "k/ö?", 0)], [Write("t", "k/ö?", b"\x00\xff")]
        )
        self.assertTrue(outcome.committed)
        row = Row("t", "k/ö?", 1, b"\x00\xff")
        self.assertEqual(await self.tables.read_row("t", "k/ö?"), row)
        self.assertIsNone(await self.tables.read_row("t", "k"))
        await self.tables.transact([], [Write("t", "a", b"1"), Write("t", "z", b"2")])
        rows = await self.tables.scan_rows("t", after="a", limit=1)
        self.assertEqual(rows, (row,))
        self.assertEqual(await self.tables.scan_rows("none"), ())

    @on_loopback
    async def test_one_of_two_racing_writes_wins(self) -> None:
        outcomes = await gatherResults(
            [
                self.tables.transact(
                    [Condition("t", "k", 0)], [Write("t", "k", f"{number}".encode())]
                )
                for number in range(8)
            ]
        )
        self.assertEqual(sum(outcome.committed for outcome in outcomes), 1)
        winner = await self.tables.read_row("t", "k")
        for outcome in outcomes:
            if not outcome.committed:
                self.assertEqual(outcome.conflicts, (winner,))

    @on_loopback
    async def test_each_fault_raises_platform_unavailable(self) -> None:
        table = (
            (PlatformFault("outage"), False),
            (PlatformFault("lose_answers"), True),
            (PlatformFault("slow", delay_s=20 * TIMEOUT_S), False),
        )
        for fault, written in table:
            with self.subTest(fault.kind):
                self.platform.faults.inject(PlatformFault("clear"))
                self.platform.faults.inject(fault)
                with self.assertRaises(PlatformUnavailable):
                    await self.tables.transact([], [Write("t", fault.kind, b"1")])
                row = self.platform.store.read("t", fault.kind)
                self.assertEqual(row is not None, written)

    @on_loopback
    async def test_failed_requests_are_not_retried(self) -> None:
        await self.tables.transact([], [Write("t", "k", b"1")])
        self.platform.faults.inject(PlatformFault("lose_answers"))
        store = self.platform.store
        with patch.object(store, "read", wraps=store.read) as reads:
            for _ in range(3):
                with self.assertRaises(PlatformUnavailable):
                    await self.tables.transact([], [Write("t", "k", b"1")])
                with self.assertRaises(PlatformUnavailable):
                    await self.tables.read_row("t", "k")
            await self.sleep(0.1)
        self.assertEqual(reads.call_count, 3)
        self.assertEqual(store.read("t", "k").version, 4)

    @on_loopback
    async def test_failed_read_is_not_retried_on_another_connection(self) -> None:
        await self.tables.read_row("t", "k")
        store = self.platform.store
        self.platform.faults.inject(PlatformFault("lose_answers"))
        with (
            patch.object(store, "read", wraps=store.read) as reads,
            self.assertRaises(PlatformUnavailable),
        ):
            await self.tables.read_row("t", "k")
        self.assertEqual(reads.call_count, 1)

    @on_loopback
    async def test_all_silent_connections_are_replaced_after_one_timeout(self) -> None:
        writes = [Write("t", "k", b"1")]
        await gatherResults([self.tables.transact([], writes) for _ in range(4)])
        self.assertEqual(self.listener.count_connections(), 4)
        self.listener.silence_connections()
        with self.assertRaises(PlatformUnavailable):
            await self.tables.read_row("t", "k")
        self.assertIsNotNone(await self.tables.read_row("t", "k"))

    @on_loopback
    async def test_faults_are_injected_over_http(self) -> None:
        client = HttpClient(self.reactor, self.listener.address)
        await self.tables.read_row("t", "k")
        for body, status in (
            (b'{"kind":"dance"}', 400),
            (b'{"kind":"silence_connections"}', 200),
            (b'{"kind":"outage","seconds":0.2}', 200),
        ):
            answer = await client.send("POST", "/faults", body)
            self.assertEqual(answer.status, status)
        for _ in range(2):
            with self.assertRaises(PlatformUnavailable):
                await self.tables.read_row("t", "k")
        await self.sleep(0.2)
        self.assertIsNone(await self.tables.read_row("t", "k"))

    @on_loopback
    async def test_client_reconnects_to_a_restarted_platform(self) -> None:
        await self.tables.transact([], [Write("t", "k", b"1")])
        self.listener.refuse_connections()
        await self.sleep(0.02)
        with self.assertRaises(PlatformUnavailable):
            await self.tables.read_row("t", "k")
        self.listener.accept_connections()
        self.assertIsNotNone(await self.tables.read_row("t", "k"))

    @on_loopback
    async def test_objects_are_written_and_read(self) -> None:
        objects = make_object_client(self.reactor, self.listener.address, TIMEOUT_S)
        await objects.put_object("snapshots/1 ö", b"\x00content")
        await objects.put_object("empty", b"")
        self.assertEqual(await objects.get_object("snapshots/1 ö"), b"\x00content")
        self.assertEqual(await objects.get_object("empty"), b"")
        self.assertIsNone(await objects.get_object("none"))

    @on_loopback
    async def test_instance_list_lags(self) -> None:
        self.platform.instances.lag_s = 0.1
        instances = make_instance_client(self.reactor, self.listener.address, TIMEOUT_S)
        instance = Instance("entry-1", "entry", "127.0.0.1:7000", "dc1", leaving=True)
        await instances.put_instance(instance)
        self.assertEqual((await instances.list_instances()).instances, ())
        await self.sleep(0.12)
        listed = await instances.list_instances()
        self.assertEqual(listed.instances, (instance,))

    @on_loopback
    async def test_started_load_reduces_free_loads(self) -> None:
        weights = make_weight_client(self.reactor, self.listener.address, TIMEOUT_S)
        before = await weights.count_free_loads()
        await self.platform.weights.start_load("e1:v2")
        self.assertEqual(await weights.count_free_loads(), before - 1)
