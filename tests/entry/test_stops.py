"""Tests that a stop waits until callers have taken their answers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any
from unittest.mock import Mock

from attrs import evolve
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.web.resource import Resource

from magnoliahold.core.policy import Policy
from magnoliahold.daemon import make_daemon, make_identity
from magnoliahold.entry.requests import EntrySite
from magnoliahold.entry.untaken import STALLED_S
from magnoliahold.inbound.limits import IntakePolicy
from magnoliahold.node import BROKEN_TABLES
from magnoliahold.settings.model import InstanceSettings
from tests.loopback import LoopbackTestCase, on_loopback

if TYPE_CHECKING:
    from magnoliahold.daemon import Daemon
    from magnoliahold.node import Ports

LOOPBACK = "127.0.0.1"
ANSWER_BYTES = 8 * 1024 * 1024
PART_BYTES = 256 * 1024
PART_S = 0.01
RECEIVE_BUFFER_BYTES = 64 * 1024


class LongAnswer(Resource):
    """Answers with many bytes."""

    isLeaf = True  # noqa: N815

    def render_GET(self, _: Any) -> bytes:  # noqa: N802
        """Answers."""
        return b"x" * ANSWER_BYTES


class SlowCaller(Protocol):
    """Sends a request and reads its answer in parts, unless it `reads` none."""

    def __init__(self, reads: bool, reactor: Any) -> None:
        self.reads = reads
        self.reactor = reactor
        self.received = 0
        self.ended = False

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the request."""
        transport: Any = self.transport
        transport.getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        transport.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        transport.pauseProducing()
        self.read_later()

    def read_later(self) -> None:
        """Reads the next part after a while."""
        if self.reads and not self.ended:
            transport: Any = self.transport
            self.reactor.callLater(PART_S, transport.resumeProducing)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads a part."""
        transport: Any = self.transport
        self.received += len(data)
        transport.pauseProducing()
        self.read_later()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Notes the end of the connection."""
        self.ended = True


class CallerFactory(ClientFactory):
    """Makes one caller."""

    noisy = False

    def __init__(self, caller: SlowCaller) -> None:
        self.caller = caller

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Returns the caller."""
        return self.caller


class StopTests(LoopbackTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.stopped: list[str] = []
        self.ports: list[Ports] = []

    def start_daemon(self, take_limit_s: float) -> tuple[Daemon, int]:
        """Starts a daemon that answers callers; returns it and its port."""
        policy = Policy()
        drain = evolve(policy.drain, take_limit_s=take_limit_s)
        node = Mock()
        node.world.policy = evolve(policy, drain=drain)

        def make_node(ports: Ports) -> Any:
            self.ports.append(ports)
            return node

        settings: Any = Mock()
        settings.platform.base_url = f"http://{LOOPBACK}:1"
        settings.platform.timeout_s = 1.0
        settings.instance = InstanceSettings()
        settings.intake = IntakePolicy()
        identity = make_identity("entry-1", "entry", "data-centre-1")
        daemon = make_daemon(
            self.reactor, identity, settings, make_node, self.stopped.append
        )
        table = daemon.intake.add_callers()
        site = EntrySite(LongAnswer(), daemon.intake, table, 1000, Mock())
        daemon.untaken.append(site.untaken)
        return daemon, daemon.add_listener(site, LOOPBACK, 0)

    async def call(self, port: int, reads: bool) -> SlowCaller:
        """Calls the daemon and waits until its answer is on its way."""
        caller = SlowCaller(reads, self.reactor)
        self.reactor.connectTCP(LOOPBACK, port, CallerFactory(caller))
        await self.sleep(0.2)
        return caller

    # Failure: a stop ended the process while callers had answers to take, which were
    # cut.
    @on_loopback
    async def test_stop_waits_until_a_slow_caller_has_its_answer(self) -> None:
        _, port = self.start_daemon(8.0)
        caller = await self.call(port, reads=True)
        self.assertLess(caller.received, ANSWER_BYTES)
        self.ports[0].stop("drained")
        await self.wait_until(lambda: bool(self.stopped))
        # The kernel of the caller acknowledges what the caller hasn't read yet.
        self.assertGreater(caller.received, ANSWER_BYTES - 16 * RECEIVE_BUFFER_BYTES)
        await self.wait_until(lambda: caller.received >= ANSWER_BYTES)
        self.assertEqual(self.stopped, ["drained"])

    @on_loopback
    async def test_stop_gives_up_a_caller_that_takes_nothing(self) -> None:
        _, port = self.start_daemon(8.0)
        await self.call(port, reads=False)
        began = self.reactor.seconds()
        self.ports[0].stop("drained")
        await self.wait_until(lambda: bool(self.stopped))
        self.assertLess(self.reactor.seconds() - began, STALLED_S + 2.0)

    @on_loopback
    async def test_stop_waits_no_longer_than_its_limit(self) -> None:
        _, port = self.start_daemon(0.3)
        await self.call(port, reads=False)
        with self.assertLogs("magnoliahold.daemon", "WARNING") as logged:
            began = self.reactor.seconds()
            self.ports[0].stop("drained")
            await self.wait_until(lambda: bool(self.stopped))
        self.assertLess(self.reactor.seconds() - began, 1.5)
        self.assertIn("answers to take", logged.output[0])

    @on_loopback
    async def test_stop_waits_for_nobody_without_callers_or_after_a_failed_tick(
        self,
    ) -> None:
        for reason, calls in (("drained", False), (BROKEN_TABLES, True)):
            with self.subTest(reason):
                self.stopped.clear()
                self.ports.clear()
                _, port = self.start_daemon(8.0)
                if calls:
                    await self.call(port, reads=False)
                began = self.reactor.seconds()
                self.ports[0].stop(reason)
                await self.wait_until(lambda: bool(self.stopped))
                self.assertLess(self.reactor.seconds() - began, 1.0)
                self.assertEqual(self.stopped, [reason])


if __name__ == "__main__":
    import unittest

    unittest.main()
