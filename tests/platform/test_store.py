"""Tests of the client of the platform's store, against a fake store."""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from magnoliahold.core.moves import MoveState
from magnoliahold.core.serving.configuration import MAX_NUMBER, Configuration
from magnoliahold.core.serving.events import (
    EntryRegistered,
    FeedChanged,
    FeedFailed,
    FeedHistoryGone,
    FeedRead,
    MoveWritten,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.moves import MoveOrder, MoveRecord
from magnoliahold.core.serving.peers import PeerRecord
from magnoliahold.core.serving.suspicions import QuarantineRecord
from magnoliahold.platform.documents import write_move_record
from magnoliahold.platform.store import EPOCH_HEADER, StoreClient
from tests.loopback import LoopbackTestCase, on_loopback
from tests.platform.test_documents import SERVER


def make_row(key: str, ver: int, value: object) -> dict[str, Any]:
    """Makes a row in the format of the store's answers."""
    content = value if isinstance(value, bytes) else json.dumps(value).encode()
    return {"key": key, "ver": ver, "value": b64encode(content).decode()}


class FakeStore(Resource):
    """Answers each call with the next of `answers`; None leaves it unanswered."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.answers: list[tuple[int, Any] | None] = []
        self.calls: list[tuple[str, dict[str, Any]]] = []
        self.bodies: list[Any] = []
        self.epoch: str | None = None

    def render(self, request: Any) -> Any:
        """Records a call and answers it."""
        arguments = {k.decode(): v[0].decode() for k, v in request.args.items()}
        self.calls.append((request.path.decode(), arguments))
        self.bodies.append(request.content.read())
        answer = self.answers.pop(0)
        if answer is None:
            return NOT_DONE_YET
        request.setResponseCode(answer[0])
        if self.epoch is not None:
            request.setHeader(EPOCH_HEADER, self.epoch)
        body = answer[1]
        return body if isinstance(body, bytes) else json.dumps(body).encode()


class StoreTestCase(LoopbackTestCase):
    """A test case with a client of a fake store, and the events that it posts."""

    def setUp(self) -> None:
        super().setUp()
        self.store = FakeStore()
        self.address = self.serve(self.store).address
        self.events: list[Any] = []
        self.client = self.make_client()

    def make_client(self) -> StoreClient:
        """Makes a client of the store."""
        return StoreClient(self.reactor, self.address, self.events.append, lambda: 50.0)

    async def read(self, *answers: Any, feed: Feed = Feed.UPSTREAMS) -> Any:
        """Reads a whole table and returns the event."""
        self.store.answers = list(answers)
        self.client.read_feed(feed, 1, 0.3)
        await self.wait_until(lambda: bool(self.events))
        return self.events.pop()

    async def long_poll(self, answer: Any, feed: Feed = Feed.UPSTREAMS) -> Any:
        """Waits for changes of a table and returns the event."""
        self.store.answers = [answer]
        self.client.long_poll_feed(feed, 1, 7, 0.1, 0.3)
        await self.wait_until(lambda: bool(self.events))
        return self.events.pop()


class StoreTests(StoreTestCase):
    @on_loopback
    async def test_table_is_read_page_by_page(self) -> None:
        first = {"rows": [make_row("a", 3, SERVER)], "ver": 9, "has_more": True}
        second = {"rows": [make_row("b", 4, SERVER)], "ver": 11, "has_more": False}
        event = await self.read((200, first), (200, second))
        assert isinstance(event, FeedRead)
        self.assertEqual([row.key for row in event.rows], ["a", "b"])
        self.assertEqual((event.version, event.sent_at), (9, 50.0))
        self.assertEqual(self.store.calls[1][1]["from"], "a\0")

    @on_loopback
    async def test_table_whose_pages_repeat_is_read_no_further(self) -> None:
        first = {"rows": [make_row("a", 3, SERVER)], "ver": 9, "has_more": True}
        event = await self.read((200, first), (200, first), (200, first))
        self.assertIsInstance(event, FeedFailed)
        self.assertEqual(len(self.store.calls), 2)

    @on_loopback
    async def test_changed_and_removed_rows_are_reported(self) -> None:
        removed = {"key": "b", "ver": 9, "removed": True}
        rows = [make_row("a", 8, SERVER), removed]
        event = await self.long_poll((200, {"rows": rows, "ver": 9}))
        assert isinstance(event, FeedChanged)
        self.assertEqual([row.value is None for row in event.rows], [False, True])
        path, arguments = self.store.calls[0]
        self.assertEqual(path, "/-/rows-feed")
        self.assertEqual((arguments["after"], arguments["wait_ms"]), ("7", "100"))

    @on_loopback
    async def test_each_failure_is_reported(self) -> None:
        for name, answer, kind in (
            ("history is gone", (410, {}), FeedHistoryGone),
            ("unavailable", (503, {}), FeedFailed),
            ("too many calls", (429, {}), FeedFailed),
            ("no JSON", (200, b"<html>"), FeedFailed),
            ("other JSON", (200, {"rows": 5}), FeedFailed),
            ("silence", None, FeedFailed),
        ):
            with self.subTest(name):
                self.assertIsInstance(await self.long_poll(answer), kind)

    @on_loopback
    async def test_epoch_that_no_message_can_name_counts_as_absent(self) -> None:
        self.store.epoch = str(MAX_NUMBER)
        event = await self.read((200, {"rows": [], "ver": 9}))
        self.assertEqual(event.epoch, MAX_NUMBER)
        for epoch in (MAX_NUMBER + 1, 2**70, -(2**70), "x", "9" * 5000):
            self.store.epoch = str(epoch)
            with self.subTest(epoch), self.assertLogs("magnoliahold.store", "WARNING"):
                event = await self.read((200, {"rows": [], "ver": 9}))
                self.assertIsInstance(event, FeedRead)
                self.assertIsNone(event.epoch)

    @on_loopback
    async def test_invalid_rows_do_not_affect_others(self) -> None:
        rows = [
            make_row("a", 3, b"\xff"),
            {"key": "b", "ver": 4, "value": "not base64!"},
            make_row("c", 5, SERVER),
        ]
        with self.assertLogs("magnoliahold.store", "WARNING") as logged:
            event = await self.read((200, {"rows": rows, "ver": 9}))
        values = {row.key: row.value for row in event.rows}
        self.assertEqual((values["a"], values["b"]), (None, None))
        self.assertIsNotNone(values["c"])
        self.assertEqual(len(logged.output), 2)

    @on_loopback
    async def test_configuration_and_orders_are_read_from_one_table(self) -> None:
        order = {"service": "s", "to": "v2", "over_s": 12}
        rows = [
            make_row("config", 3, {"version": 2}),
            make_row("rollout/s", 4, order),
            make_row("other", 5, {}),
        ]
        event = await self.read(
            (200, {"rows": rows, "ver": 9, "now_ms": 51230}), feed=Feed.CONFIGURATION
        )
        values = {row.key: row.value for row in event.rows}
        self.assertIsInstance(values["config"], Configuration)
        self.assertEqual(values["rollout/s"], MoveOrder("s", "v2", 12.0, 4))
        self.assertIsNone(values["other"])
        self.assertEqual(event.store_time, 51.23)

    @on_loopback
    async def test_invalid_order_is_left_out(self) -> None:
        with self.assertLogs("magnoliahold.store", "WARNING"):
            event = await self.read(
                (200, {"rows": [make_row("rollout/s", 4, {})], "ver": 9}),
                feed=Feed.CONFIGURATION,
            )
        self.assertEqual(event.rows, ())

    @on_loopback
    async def test_move_step_and_status_are_written_together(self) -> None:
        record = MoveRecord("s", "s@4", "v2", MoveState.TAKEN_BACK, 51.5, "bad")
        for name, answer, row_version in (
            ("written", (200, {"ver": 12, "now_ms": 5}), 12),
            ("changed meanwhile", (412, {"rows": []}), 0),
            ("unavailable", (503, {}), 0),
            ("not JSON", (200, b"?"), 0),
            ("silence", None, 0),
        ):
            with self.subTest(name):
                self.store.answers = [answer]
                self.client.write_move(record, 7, 0.3)
                await self.wait_until(lambda: bool(self.events))
                event = self.events.pop()
                self.assertIsInstance(event, MoveWritten)
                self.assertEqual(event.row_version, row_version)
        body = json.loads(self.store.bodies[0])
        self.assertEqual(body["expect_rev"][0]["ver"], 7)
        own, status = body["puts"]
        self.assertEqual(own["key"], "s")
        self.assertEqual((status["table"], status["key"]), ("status", "rollout/s"))
        self.assertEqual(
            json.loads(b64decode(status["value"])),
            {"service": "s", "to": "v2", "state": "rolled_back"},
        )

    @on_loopback
    async def test_record_in_any_state_that_is_read_can_be_written(self) -> None:
        shown = {MoveState.DONE: "completed", MoveState.TAKEN_BACK: "rolled_back"}
        for state in MoveState:
            with self.subTest(state=state):
                self.store.bodies.clear()
                stored = write_move_record(MoveRecord("s", "s@4", "v2", state, 7.0))
                row = make_row("s", 5, stored)
                answer = (200, {"rows": [row], "ver": 9})
                read = await self.read(answer, feed=Feed.MOVES)
                self.store.answers = [(200, {"ver": 12})]
                self.client.write_move(read.rows[0].value, 5, 0.3)
                await self.wait_until(lambda: bool(self.events))
                self.assertEqual(self.events.pop().row_version, 12)
                _, status = json.loads(self.store.bodies[-1])["puts"]
                document = json.loads(b64decode(status["value"]))
                self.assertEqual(document["state"], shown.get(state, "running"))

    @on_loopback
    async def test_invalid_configuration_is_left_out(self) -> None:
        rows = [make_row("config", 3, b"{}")]
        with self.assertLogs("magnoliahold.store", "WARNING"):
            event = await self.read(
                (200, {"rows": rows, "ver": 9}), feed=Feed.CONFIGURATION
            )
        self.assertEqual(event.rows, ())

    @on_loopback
    async def test_quarantine_is_written_and_read(self) -> None:
        record = QuarantineRecord("fingerprint-1", 51.5)
        self.store.answers = [(200, {"ver": 12})]
        self.client.write_quarantine(record, 0.3)
        await self.wait_until(lambda: bool(self.store.bodies))
        (row,) = json.loads(self.store.bodies[0])["puts"]
        rows = [{**row, "ver": 12}]
        event = await self.read((200, {"rows": rows, "ver": 12}), feed=Feed.QUARANTINE)
        self.assertEqual(event.rows[0].value, record)

    @on_loopback
    async def test_result_of_a_registration(self) -> None:
        record = PeerRecord("entry-1", "entry-1.a", "h", 7)
        for answer, done in (
            ((200, {"ver": 3}), True),
            ((503, {}), False),
            (None, False),
        ):
            with self.subTest(answer=answer):
                self.store.answers = [answer]
                self.client.register_entry(record, 0.2)
                await self.wait_until(lambda: bool(self.events))
                event = self.events.pop()
                assert isinstance(event, EntryRegistered)
                self.assertEqual(event.done, done)
        (row,) = json.loads(self.store.bodies[0])["puts"]
        self.assertEqual((row["key"], row["part"]), ("entry-1", ""))
