"""Tests that the odd Host of a caller's request decides over that request alone."""

from __future__ import annotations

from tests.loopback import on_loopback
from tests.serving.test_callers import connect_client
from tests.serving.test_daemon import DaemonTestCase
from tests.serving.test_exchanges import WHOLE

HOST = b"Host: 127.0.0.1\r\n"
REQUEST = (
    b"POST /calls/x HTTP/1.1\r\n%sRequest-Id: abc\r\n"
    b"Authorization: Token key-1\r\nContent-Length: 2\r\n\r\nhi"
)
ODD_HEADERS = (
    ("two hosts", HOST + HOST, b"400"),
    ("host as a connection option", HOST + b"Connection: Host\r\n", b"200"),
    ("id as a connection option", HOST + b"Connection: Request-Id\r\n", b"200"),
)


class OddHostTests(DaemonTestCase):
    # Failure: a caller could make each upstream look as if it failed.
    @on_loopback
    async def test_odd_host_is_no_failure_of_an_upstream(self) -> None:
        daemon = await self.start([WHOLE], [WHOLE])
        _, _, port = self.settings["callers"].partition(":")
        for name, headers, status in ODD_HEADERS:
            with self.subTest(name):
                content = REQUEST % headers
                client = await connect_client(self.reactor, int(port), content)
                await self.wait_until(lambda client=client: bool(client.received))
                self.assertEqual(client.received.split()[1], status)
                for upstream in daemon.node.world.upstreams.by_id.values():
                    self.assertEqual(upstream.failures, 0.0)
