"""Tests that no request that was read is without an answer at the end of a stop."""

from __future__ import annotations

import time
from typing import Any

from tests.loopback import on_loopback
from tests.serving.stopping import StoppingTestCase
from tests.serving.test_exchanges import HEAD as ANSWER_HEAD
from tests.serving.test_lost_requests import CALL

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


def list_statuses(received: bytes) -> list[bytes]:
    """Lists the statuses of the answers that a caller received."""
    return [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]


class LastLookTests(StoppingTestCase):
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
