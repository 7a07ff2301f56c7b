"""Tests that no request that was read is without an answer at the end of a stop."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from magnoliahold.node import BROKEN_TABLES
from tests.loopback import on_loopback
from tests.serving.stopping import StoppingTestCase
from tests.serving.test_exchanges import HEAD as ANSWER_HEAD
from tests.serving.test_lost_requests import CALL

if TYPE_CHECKING:
    from magnoliahold.serving.daemon import ServingDaemon
    from tests.serving.test_callers import Client

LIMIT_S = 1.0
# How long a tick takes on a small core.
SLOW_TICK_S = 0.01
WITHOUT_BODY = CALL.replace(b"Content-Length: 2", b"Content-Length: 0")[:-2]
CHUNKED = CALL.replace(b"Content-Length: 2", b"Transfer-Encoding: chunked")[:-2]
WITH_CHUNKS = CHUNKED + b"2\r\nhi\r\n0\r\n\r\n"
LONG_BODY = CALL.replace(b"Content-Length: 2", b"Content-Length: 2000")[:-2]
KINDS = (
    ("without bodies", WITHOUT_BODY),
    ("with bodies", CALL),
    ("with bodies in chunks", WITH_CHUNKS),
    ("with long bodies", LONG_BODY + b"x" * 2000),
)
COUNTS = (1, 10, 100)


def run_slowly(world: Any, now: float) -> None:
    """Takes as long as a tick does on a small core."""
    time.sleep(SLOW_TICK_S)


def fail(world: Any, now: float) -> None:
    """Fails, as a tick may."""
    raise KeyError("a fault")


def list_statuses(received: bytes) -> list[bytes]:
    """Lists the statuses of the answers that a caller received."""
    return [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]


class LastLookTests(StoppingTestCase):
    def end_grace(self, daemon: ServingDaemon) -> None:
        """Lets the time of a stop be up."""
        world = daemon.node.world
        world.leaving_since = self.reactor.seconds() - LIMIT_S - 1.0

    @on_loopback
    async def test_requests_behind_one_another_are_answered_with_slow_ticks(
        self,
    ) -> None:
        daemon = await self.start_leaving([ANSWER_HEAD], limit_s=LIMIT_S)
        daemon.node.systems = (*daemon.node.systems, run_slowly)
        clients = {}
        for name, request in KINDS:
            for count in COUNTS:
                client = await self.connect(b"")
                clients[name, count] = client
                after_s = LIMIT_S + 0.05
                transport: Any = client.transport
                content = request * count
                self.reactor.callLater(after_s, transport.write, content)
        await self.wait_until(lambda: len(self.channels) == len(clients))
        daemon.leave("SIGTERM")
        for channel in self.channels:
            channel._fresh_until = self.reactor.seconds() + 2 * LIMIT_S
        await self.wait_until(lambda: all(item.closed for item in clients.values()))
        for (name, count), client in clients.items():
            with self.subTest(name, count=count):
                statuses = list_statuses(client.received)
                self.assertEqual(statuses, [b"503"] * count)
                self.assertEqual(client.received.count(b"Connection: close"), 1)
                self.assertEqual(client.received.count(b"Retry-After: "), count)

    @on_loopback
    async def test_request_read_in_the_pass_of_the_last_look_is_answered(self) -> None:
        daemon = await self.start_leaving([ANSWER_HEAD], limit_s=LIMIT_S)
        waiting = []
        clients = {}
        for name, request in KINDS:
            for count in COUNTS:
                for is_read in (True, False):
                    connected = await self.connect_idle()
                    clients[name, count, is_read] = connected[0]
                    waiting.append((*connected, request * count, is_read))
        self.end_grace(daemon)
        for client, channel, content, is_read in waiting:
            transport: Any = client.transport
            transport.getHandle().sendall(content)
            if is_read:
                channel.transport.doRead()
        daemon.finish("nothing is in flight")
        await self.wait_until(lambda: all(item.closed for item in clients.values()))
        for (name, count, is_read), client in clients.items():
            with self.subTest(name, count=count, is_read=is_read):
                statuses = list_statuses(client.received)
                self.assertEqual(statuses, [b"503"] * count)

    @on_loopback
    async def test_requests_behind_one_that_runs_are_answered_at_the_last_look(
        self,
    ) -> None:
        daemon = await self.start_leaving([ANSWER_HEAD], limit_s=LIMIT_S)
        client, _ = await self.connect_idle()
        transport: Any = client.transport
        transport.write(CALL + CALL)
        await self.wait_until(lambda: bool(self.servers[0].requests))
        transport.getHandle().sendall(CALL * 3 + CALL[:-1])
        self.end_grace(daemon)
        daemon.finish("nothing is in flight")
        await self.wait_until(lambda: client.closed)
        expected = [b"502", *[b"503"] * 4, b"408"]
        self.assertEqual(list_statuses(client.received), expected)

    @on_loopback
    async def test_failed_tick_at_the_last_look_leaves_no_request_unanswered(
        self,
    ) -> None:
        daemon = await self.start_leaving([ANSWER_HEAD], limit_s=LIMIT_S)
        client, channel = await self.connect_idle()
        transport: Any = client.transport
        transport.getHandle().sendall(CALL * 3)
        channel.transport.doRead()
        self.end_grace(daemon)
        daemon.node.systems = (*daemon.node.systems, fail)
        with self.assertLogs("magnoliahold", "CRITICAL"):
            daemon.finish("nothing is in flight")
        await self.wait_until(lambda: client.closed)
        self.assertEqual(list_statuses(client.received), [b"502", b"503", b"503"])
        self.assertEqual(self.stopped, [BROKEN_TABLES])
        self.assertTrue(daemon.broken)

    async def connect_idle(self) -> tuple[Client, Any]:
        """Connects a caller that sends nothing; returns its channel, too."""
        before = set(self.channels)
        client = await self.connect(b"")
        await self.wait_until(lambda: len(self.channels) > len(before))
        (channel,) = self.channels - before
        return client, channel
