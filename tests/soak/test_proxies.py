"""Tests of the proxies that disturb connections."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol

from magnoliahold.soak.deployment import FIRST_PORT, LAST_PORT, find_free_port
from magnoliahold.soak.proxies import LOOPBACK, Proxy, ProxyMode
from tests.loopback import LoopbackTestCase, on_loopback


class Recorder(Protocol):
    """Records the received data and the loss of the connection."""

    def __init__(self, ends: list[Recorder]) -> None:
        self.received = b""
        self.lost = False
        ends.append(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.lost = True


# The start of the ephemeral port range of Linux by default.
FIRST_EPHEMERAL_PORT = 32_768


class PortTests(unittest.TestCase):
    def test_ports_are_below_the_ephemeral_range(self) -> None:
        self.assertLess(LAST_PORT, FIRST_EPHEMERAL_PORT)
        for _ in range(20):
            self.assertIn(find_free_port(), range(FIRST_PORT, LAST_PORT))


class ProxyTests(LoopbackTestCase):
    async def connect(self) -> tuple[Proxy, Any, Any]:
        """Connects through a proxy; returns the proxy and both ends."""
        near: list[Recorder] = []
        far: list[Recorder] = []
        server = Factory()
        server.buildProtocol = lambda _: Recorder(far)  # type: ignore[assignment]
        listener = self.reactor.listenTCP(0, server, interface=LOOPBACK)
        proxy = Proxy(self.reactor, listener.getHost().port)
        client = ClientFactory()
        client.buildProtocol = lambda _: Recorder(near)  # type: ignore[assignment]
        self.reactor.connectTCP(LOOPBACK, proxy.open(), client)
        await self.wait_until(lambda: bool(near and near[0].connected))
        near[0].transport.write(b"hello")
        await self.wait_until(lambda: bool(far and far[0].received))
        return proxy, near[0], far[0]

    @on_loopback
    async def test_bytes_keep_their_order_when_a_delay_ends(self) -> None:
        """Guards against data that overtakes delayed data, as seen with seed 19."""
        proxy, near, far = await self.connect()
        sent = b""
        for number in range(40):
            proxy.mode = ProxyMode.DELAYED if number < 20 else ProxyMode.PLAIN
            far.transport.write(b"%d." % number)
            sent += b"%d." % number
            await self.sleep(0.004)
        await self.wait_until(lambda: len(near.received) == len(sent))
        self.assertEqual(near.received, sent)
        proxy.close()

    @on_loopback
    async def test_each_mode_forwards_the_expected_bytes(self) -> None:
        for mode, to_target, from_target in (
            (ProxyMode.PLAIN, b"a", b"b"),
            (ProxyMode.SILENT, b"", b""),
            (ProxyMode.ONE_WAY, b"a", b""),
            (ProxyMode.DELAYED, b"a", b"b"),
        ):
            with self.subTest(mode):
                proxy, near, far = await self.connect()
                far.received = b""
                proxy.mode = mode
                near.transport.write(b"a")
                far.transport.write(b"b")
                await self.sleep(0.2)
                self.assertEqual(
                    (far.received, near.received), (to_target, from_target)
                )
                proxy.close()

    @on_loopback
    async def test_proxy_knows_of_a_close_that_it_did_not_pass_on(self) -> None:
        """Guards against a target that counts as told of a close, as seen with seed 1.

        A silenced connection, or one in the silent mode, was forgotten as soon as its
        client had closed it, while its target still worked.
        """
        for name in ("silenced", "silent mode", "plain"):
            with self.subTest(name):
                proxy, near, far = await self.connect()
                if name == "silenced":
                    proxy.silence_open_connections()
                elif name == "silent mode":
                    proxy.mode = ProxyMode.SILENT
                near.transport.abortConnection()
                await self.wait_until(lambda near=near: near.lost)
                await self.sleep(0.05)
                proxy.mode = ProxyMode.PLAIN
                self.assertEqual(far.lost, name == "plain")
                self.assertEqual(proxy.passes_on_closes, name == "plain")
                far.transport.abortConnection()
                await self.wait_until(lambda proxy=proxy: proxy.passes_on_closes)
                proxy.close()

    @on_loopback
    async def test_reset_closes_both_ends(self) -> None:
        proxy, near, far = await self.connect()
        proxy.reset_connections()
        await self.wait_until(lambda: near.lost and far.lost)
        proxy.close()


if __name__ == "__main__":
    unittest.main()
