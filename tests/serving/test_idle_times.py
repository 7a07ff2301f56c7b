"""Tests of idle times and stops beside callers that take their answers slowly.

Sockets are on loopback, timers on a paused clock.
"""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from typing import Any

from attrs import evolve
from twisted.internet.task import Clock

from magnoliahold.serving.backpressure import MAX_UNWRITTEN_BYTES
from magnoliahold.serving.callerstates import FRESH_S, LINGER_S
from magnoliahold.serving.connectionends import EndCause
from magnoliahold.serving.exchanges import Exchange
from tests.loopback import on_loopback
from tests.serving.exchanging import make_body
from tests.serving.test_callers import LIMITS, REQUEST, UPSTREAM, CallerTestCase

LARGE_BODY = b"x" * 6_000_000
LARGE_END = b"y"
# All of it goes into the queues of the kernel.
KERNEL_BODY = b"x" * 1_000_000
CLOCK_STEP_S = 0.05
# Small, so that what the caller hasn't taken waits at the entry, as on a slow link.
RECEIVE_BUFFER_BYTES = 64 * 1024
SEND_BUFFER_BYTES = 400 * 1024
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
# Real time in which loopback has passed on what it takes without a reader.
SETTLED_S = 0.1


class PausedCallerTestCase(CallerTestCase):
    """A test case with sockets on loopback and timers on a paused clock."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.callers.clock = self.clock

    def connect_socket(self) -> Any:
        """Connects as a caller that takes bytes only when it is told to."""
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.connect(("127.0.0.1", self.port))
        client.setblocking(False)
        return client

    def reset(self, client: Any) -> None:
        """Ends a connection, which is certain to its entry; a FIN alone isn't."""
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        client.close()

    def advance(self, seconds: float) -> None:
        """Lets time pass in short steps."""
        steps = round(seconds / CLOCK_STEP_S)
        self.clock.pump([CLOCK_STEP_S] * steps)


class IdleTimeTests(PausedCallerTestCase):
    async def answer_largely(self, client: Any, body: bytes = LARGE_BODY) -> None:
        """Sends a request, and answers it with more than the caller's socket holds."""
        client.sendall(REQUEST)
        count = len(self.events)
        await self.wait_until(lambda: len(self.events) > count)
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(body, LARGE_END))
        self.callers.answer(self.events[-1].caller.handle, answer, closing=False)
        await self.sleep(SETTLED_S)

    async def take(self, client: Any, size: int) -> bool:
        """Takes up to that many bytes; tells whether the end of the answer came."""
        taken = bytearray()
        while len(taken) < size and not taken.endswith(LARGE_END):
            await self.sleep(0)
            with suppress(BlockingIOError):
                data = client.recv(size - len(taken))
                self.assertTrue(data, "the connection was closed")
                taken += data
        return taken.endswith(LARGE_END)

    async def expect_next_request(self, client: Any, think_s: float) -> None:
        """Sends another request after some time, and waits until it was read."""
        self.advance(think_s)
        count = len(self.events)
        client.sendall(REQUEST)
        await self.sleep(SETTLED_S)
        self.assertEqual(len(self.events), count + 1)

    @on_loopback
    async def test_idle_time_begins_when_the_answer_has_been_written(self) -> None:
        self.callers.limits = evolve(LIMITS, idle_timeout_s=1.0)
        for name, paused_s, think_s in (
            ("after a look at the connection", 1.5, 0.6),
            ("before the first look", 0.8, 0.5),
        ):
            with self.subTest(name):
                client = self.connect_socket()
                await self.answer_largely(client)
                self.advance(paused_s)
                self.assertTrue(await self.take(client, 2 * len(LARGE_BODY)))
                await self.expect_next_request(client, think_s)

    @on_loopback
    async def test_answer_that_is_taken_slowly_leaves_its_caller_the_idle_timeout(
        self,
    ) -> None:
        self.callers.limits = evolve(LIMITS, idle_timeout_s=1.0)
        for step_s, size, think_s in (
            (0.1, 100_000, 0.8),
            (0.05, 100_000, 0.8),
            (0.5, 1_000_000, 0.4),
        ):
            with self.subTest(step_s=step_s, size=size):
                client = self.connect_socket()
                await self.answer_largely(client)
                while not await self.take(client, size):
                    self.advance(step_s)
                await self.expect_next_request(client, think_s)

    async def start_stop(self) -> Any:
        """Answers a request, of which a part waits in the kernel when a stop begins."""
        self.callers.limits = evolve(LIMITS, idle_timeout_s=30.0)
        client = self.connect_socket()
        await self.answer_largely(client, KERNEL_BODY)
        (channel,) = self.callers.channels
        self.assertEqual(channel.unwritten_bytes, 0)
        self.assertGreater(channel.untaken_bytes, 0)
        return client

    def stop_until_closed(self) -> float:
        """Looks for idle connections as a stop does; returns how long that took."""
        begun_at = self.clock.seconds()
        while self.callers.channels:
            self.callers.close_idle()
            self.advance(CLOCK_STEP_S)
        return self.clock.seconds() - begun_at

    @on_loopback
    async def test_caller_that_is_gone_does_not_hold_up_a_stop(self) -> None:
        await self.start_stop()
        limit_s = LINGER_S + FRESH_S + 2 * CLOCK_STEP_S
        self.assertLessEqual(self.stop_until_closed(), limit_s)
        self.assertEqual(self.callers.ends, {EndCause.NOT_TAKEN: 1})

    @on_loopback
    async def test_caller_that_takes_slowly_has_its_answer_in_a_stop(self) -> None:
        client = await self.start_stop()
        begun_at = self.clock.seconds()
        while not await self.take(client, 20_000):
            self.callers.close_idle()
            self.advance(CLOCK_STEP_S)
        self.assertGreater(self.clock.seconds() - begun_at, LINGER_S)
        self.assertGreaterEqual(self.stop_until_closed(), FRESH_S - CLOCK_STEP_S)
        self.assertEqual(self.callers.ends, {EndCause.IDLE_AT_STOP: 1})

    @on_loopback
    async def test_idle_connection_closes_in_the_moment_of_the_last_look(self) -> None:
        def stop() -> None:
            self.callers.close_idle()

        def wait() -> None:
            self.clock.advance(LIMITS.idle_timeout_s)

        for close in (stop, wait):
            with self.subTest(close.__name__):
                client = self.connect_socket()
                await self.wait_until(lambda: bool(self.callers.channels))
                self.clock.advance(FRESH_S)
                close()
                self.assertEqual(client.recv(1), b"")
                self.assertFalse(self.callers.channels)

    @on_loopback
    async def test_request_that_crosses_an_idle_close_is_not_passed_on(self) -> None:
        """One that came a moment before is read, in part or as a whole, and answered.

        An answer behind the close can't be had in HTTP/1.1: its caller would take what
        comes without a request for the answer to the next one.
        """

        def stop() -> None:
            self.callers.close_idle()

        def wait() -> None:
            self.clock.advance(LIMITS.idle_timeout_s)

        for close in (stop, wait):
            for content in (REQUEST, REQUEST[:40], REQUEST[:-1]):
                for before in (True, False):
                    with self.subTest(close.__name__, part=content, before=before):
                        self.events.clear()
                        client = self.connect_socket()
                        await self.wait_until(lambda: bool(self.callers.channels))
                        self.clock.advance(FRESH_S)
                        if before:
                            client.sendall(content)
                        close()
                        if not before:
                            client.sendall(content)
                        await self.sleep(SETTLED_S)
                        self.assertEqual(len(self.callers.channels), int(before))
                        expected = int(before and content == REQUEST)
                        self.assertEqual(len(self.events), expected)
                        if not before:
                            with suppress(ConnectionResetError):
                                self.assertEqual(client.recv(1000), b"")
                        self.reset(client)
                        await self.wait_until(lambda: not self.callers.channels)
        self.assertEqual(self.callers.unanswered.get("entry", 0), 0)

    @on_loopback
    async def test_caller_that_takes_nothing_and_sends_more_is_disconnected(
        self,
    ) -> None:
        client = self.connect_socket()
        await self.wait_until(lambda: bool(self.callers.channels))
        (channel,) = self.callers.channels
        connection = channel.transport.getHandle()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        for _ in range(2):
            await self.answer_largely(client, KERNEL_BODY[: MAX_UNWRITTEN_BYTES // 2])
        self.assertGreater(channel.unwritten_bytes, 0)
        self.assertFalse(channel.paused)
        client.sendall(REQUEST)
        self.advance(3 * LIMITS.idle_timeout_s)
        await self.wait_until(lambda: bool(self.callers.ends))
        self.assertEqual(self.callers.ends, {EndCause.NOT_TAKEN: 1})
