"""Tests kept connections of callers beside changes of the configuration and a stop.

`MAGNOLIAHOLD_SEED` sets another seed.
"""

from __future__ import annotations

import os
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.error import ConnectError

from tests.loopback import on_loopback
from tests.serving.test_callers import connect_client
from tests.serving.test_daemon import DaemonTestCase, make_document
from tests.serving.test_exchanges import WHOLE

if TYPE_CHECKING:
    from tests.serving.test_callers import Client

SEED = int(os.environ.get("MAGNOLIAHOLD_SEED", "1"))
CALLERS = 24
CHANGES_S = 3.0
LIMITS_MS = (1000, 2000, 15_000)
# Callers use a connection again well before any limit that may be in force, also when
# the process of both sides is held up for half a second.
MAX_THINK_S = 0.375
MIN_ANSWERED = 100
MIN_NOT_FOUND = 50
HEAD_END = b"\r\n\r\n"


@define(eq=False)
class Story:
    """What callers saw: the statuses of answers, and the requests without one."""

    statuses: list[int] = field(factory=list)
    lost: list[str] = field(factory=list)

    def has_enough(self) -> bool:
        """Whether so many answers of each kind came that the story tells something."""
        answered = self.statuses.count(200) > MIN_ANSWERED
        return answered and self.statuses.count(404) > MIN_NOT_FOUND


def send_now(transport: Any, content: bytes) -> None:
    """Writes to the socket at once, before any timer of the other side runs."""
    transport.write(content)
    if transport.connected:
        transport.doWrite()


def has_whole_answer(received: bytes) -> bool:
    """Whether the bytes hold an answer and its body."""
    head, separator, body = received.partition(HEAD_END)
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return bool(separator) and len(body) >= int(value)
    return False


class ChangeTests(DaemonTestCase):
    async def call(self, client: Client, name: str, story: Story) -> None:
        """Sends a request in two parts and waits for its answer, or the close."""
        body = b"x" * self.random.choice((0, 10, 70_000))
        request = (
            b"POST /%b/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: abc\r\n"
            b"Authorization: Token key-1\r\nContent-Length: %d\r\n\r\n"
        ) % (name.encode(), len(body)) + body
        cut = self.random.randint(1, len(request) - 1)
        client.received = b""
        transport: Any = client.transport
        send_now(transport, request[:cut])
        await self.sleep(self.random.choice((0.0, 0.0, 0.05)))
        send_now(transport, request[cut:])
        await self.wait_until(
            lambda: client.closed or has_whole_answer(client.received)
        )
        if has_whole_answer(client.received):
            story.statuses.append(int(client.received.split()[1]))
        else:
            story.lost.append(f"{name}: {client.received!r}")

    async def run_caller(self, story: Story) -> None:
        """Sends requests on kept connections until new ones are refused."""
        _, _, port = self.settings["callers"].partition(":")
        while True:
            try:
                client = await connect_client(self.reactor, int(port), b"")
            except ConnectError:
                return
            while not client.closed and b"Connection: close" not in client.received:
                name = self.random.choice(("calls", "bookings", "other"))
                await self.call(client, name, story)
                await self.sleep(self.random.random() * MAX_THINK_S)
            client.transport.loseConnection()  # type: ignore[union-attr]

    async def change_configuration(self, story: Story) -> None:
        """Puts new configurations into force until enough answers came beside them."""
        version = 1
        until = self.reactor.seconds() + CHANGES_S
        while self.reactor.seconds() < until or not story.has_enough():
            version += 1
            document = make_document(version)
            document["routes"] = [
                {**route, "timeout_ms": self.random.choice((300, 2000))}
                for route in document["routes"]
                if self.random.random() < 0.8
            ]
            document["limits"] = {"idle_timeout_ms": self.random.choice(LIMITS_MS)}
            self.store.put("op", "config", document)
            await self.sleep(self.random.random() * 0.1)

    @on_loopback
    async def test_each_request_is_answered_beside_changes_and_a_stop(self) -> None:
        self.random = Random(SEED)
        daemon = await self.start([WHOLE], [WHOLE])
        story = Story()
        callers = [
            Deferred.fromCoroutine(self.run_caller(story)) for _ in range(CALLERS)
        ]
        await self.change_configuration(story)
        daemon.leave("SIGTERM")
        await gatherResults(callers)
        await self.wait_until(lambda: bool(self.stopped))
        self.assertEqual(story.lost, [])
        self.assertTrue(story.has_enough())
