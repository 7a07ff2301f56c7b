from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from twisted.internet.error import ConnectionAborted
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from magnoliahold.httpclient import HttpClient, HttpExchangeError
from magnoliahold.httpconnections import (
    DirectConnector,
    build_agent,
    start_request,
)
from tests.loopback import LoopbackTestCase, on_loopback
from tests.serving.scripted import CLOSE, ScriptedServer

if TYPE_CHECKING:
    from twisted.web.server import Request

SILENT_PATH = "/silent"
CUT_HEADS = (
    b"HTTP/1.1 200 OK\r\nX-Seen: a\r\nContent-Length: 2\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
)


class Echo(Resource):
    """Answers with the method and the body, or never."""

    isLeaf = True  # noqa: N815

    def render(self, request: Request) -> Any:
        if request.uri == SILENT_PATH.encode("ascii"):
            return NOT_DONE_YET
        request.setHeader(b"x-seen", request.getHeader("x-sent") or b"")
        return request.method + b" " + cast("Any", request.content).read()


class HttpClientTests(LoopbackTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.listener = self.serve(Echo())
        self.client = HttpClient(self.reactor, self.listener.address)

    @on_loopback
    async def test_requests_and_answers_arrive_unchanged(self) -> None:
        for method, body in (("POST", b"two"), ("PUT", b"x" * 300_000), ("GET", b"")):
            with self.subTest(method):
                headers = (("X-Sent", method),)
                answer = await self.client.send(method, "/a", body, headers)
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.body, method.encode("ascii") + b" " + body)
                self.assertIn(("X-Seen", method), answer.headers)

    @on_loopback
    async def test_connections_stay_open_only_when_persistent(self) -> None:
        persistent = HttpClient(self.reactor, self.listener.address, persistent=True)
        for client, count in ((self.client, 0), (persistent, 1)):
            with self.subTest(count=count):
                await client.send("GET", "/a")
                await client.send("GET", "/b")
                await self.sleep(0.05)
                self.assertEqual(self.listener.count_connections(), count)

    @on_loopback
    async def test_failures_report_whether_the_request_was_sent(self) -> None:
        refused = HttpClient(self.reactor, "http://127.0.0.1:1")
        table = (
            ("refused", refused, "/a", {}, False, "ConnectionRefusedError"),
            ("timeout", self.client, SILENT_PATH, {"timeout_s": 0.1}, True, "0.1 s"),
            ("too large", self.client, "/a", {"max_body_bytes": 3}, True, "3 bytes"),
            ("invalid", self.client, "/a\nb", {}, False, "ValueError"),
        )
        for name, client, path, options, sent, reason in table:
            with self.subTest(name):
                with self.assertRaises(HttpExchangeError) as caught:
                    await client.send("GET", path, **options)
                self.assertEqual(caught.exception.sent, sent)
                self.assertIn(reason, caught.exception.reason)
                await self.wait_until(lambda: not self.listener.count_connections())

    # Failure elsewhere: an engine stopped in the middle of its head and closed; clients
    # got a 200 with an empty or short body.
    @on_loopback
    async def test_head_that_is_cut_at_any_byte_is_no_answer(self) -> None:
        server = ScriptedServer([[]])
        self.listeners.append(server.listen(self.reactor))
        client = HttpClient(self.reactor, f"http://127.0.0.1:{server.port}")
        for head in CUT_HEADS:
            for size in range(len(head)):
                with self.subTest(head=head, size=size):
                    server.scripts = [[head[:size], CLOSE]]
                    with self.assertRaises(HttpExchangeError) as caught:
                        await client.send("GET", "/a")
                    self.assertTrue(caught.exception.sent)

    @on_loopback
    async def test_abort_before_connecting_prevents_the_request(self) -> None:
        connector = DirectConnector(self.reactor)
        connector.abort()
        agent = build_agent(self.reactor, connector)
        with self.assertRaises(ConnectionAborted):
            await start_request(agent, "POST", self.listener.address, b"x", ())
        self.assertFalse(connector.connected)

    @on_loopback
    async def test_cancelling_closes_the_connection(self) -> None:
        exchange = self.client.send("GET", SILENT_PATH)
        await self.wait_until(lambda: self.listener.count_connections() == 1)
        exchange.cancel()
        with self.assertRaises(HttpExchangeError):
            await exchange
        await self.wait_until(lambda: not self.listener.count_connections())
