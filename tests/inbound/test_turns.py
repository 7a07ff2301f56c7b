"""Tests that work for one connection leaves time for the others."""

from __future__ import annotations

from typing import Any

from attrs import evolve

from magnoliahold.core.serving.configuration import CallerLimits
from magnoliahold.core.serving.events import RequestArrived
from tests.loopback import on_loopback
from tests.serving.test_callers import HEAD, REQUEST, CallerTestCase, set_limits

CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNK = b"1\r\nx\r\n"
SEGMENT = SMALL_CHUNK * 10_000
LIMITS = CallerLimits(header_bytes=16_000, body_bytes=1_000_000)
NO_ID = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ReadingTurnTests(CallerTestCase):
    def setUp(self) -> None:
        super().setUp()
        set_limits(self.callers, LIMITS)

    async def connect_channel(self, content: bytes) -> Any:
        """Connects a caller; returns its connection."""
        before = set(self.callers.channels)
        await self.connect(content)
        await self.wait_until(lambda: len(self.callers.channels) > len(before))
        (channel,) = self.callers.channels - before
        await self.wait_until(lambda: bool(channel.requests))
        return channel

    # Failure: a connection's segment of small chunks was decoded at once, 64 KB in a
    # pass, and crowds of them kept the entry from being ready.
    @on_loopback
    async def test_small_chunks_are_decoded_in_turns(self) -> None:
        channel = await self.connect_channel(CHUNKED)
        await self.sleep(0.05)
        channel.dataReceived(SEGMENT)
        exchange = channel.requests[0]
        self.assertLessEqual(exchange.body_bytes, 1000)
        channel.dataReceived(b"0\r\n\r\n")
        await self.wait_until(lambda: bool(self.events))
        found = self.callers.find_content(self.events[0].caller.handle)
        assert found is not None
        self.assertEqual(found.body, b"x" * 10_000)

    @on_loopback
    async def test_many_connections_share_a_pass(self) -> None:
        policy = evolve(self.callers.intake.policy, parts_per_pass=1000)
        self.callers.intake.turns.policy = policy
        channels = [await self.connect_channel(CHUNKED) for _ in range(20)]
        await self.sleep(0.05)
        for channel in channels:
            channel.dataReceived(SEGMENT + b"0\r\n\r\n")
        decoded = sum(item.requests[0].body_bytes for item in channels)
        self.assertLessEqual(decoded, 1000)
        await self.wait_until(lambda: len(self.events) == len(channels))

    @on_loopback
    async def test_ordinary_request_is_read_beside_small_chunks(self) -> None:
        for _ in range(20):
            channel = await self.connect_channel(CHUNKED)
            channel.dataReceived(SEGMENT * 2)
        await self.connect(REQUEST)
        await self.wait_until(lambda: bool(self.events))
        (event,) = self.events
        self.assertIsInstance(event, RequestArrived)

    @on_loopback
    async def test_requests_behind_one_another_are_read_in_turns(self) -> None:
        client = await self.connect(b"")
        await self.wait_until(lambda: bool(self.callers.channels))
        (channel,) = self.callers.channels
        channel.dataReceived(NO_ID * 500)
        self.assertLess(channel.unwritten_bytes, 100 * 200)
        await self.wait_until(lambda: client.received.count(b" 400 ") == 500)

    @on_loopback
    async def test_caller_that_leaves_in_its_turn_is_forgotten(self) -> None:
        channel = await self.connect_channel(CHUNKED)
        channel.dataReceived(SEGMENT)
        self.assertTrue(channel.waits_for_turn)
        channel.transport.abortConnection()
        await self.wait_until(lambda: not self.callers.channels)
        await self.sleep(0.05)
        self.assertEqual(self.callers.intake.memory.held_bytes, 0)
