"""A test case that sends attempts to servers and collects the events of the results."""

from __future__ import annotations

from typing import Any

from twisted.web.http_headers import Headers

from magnoliahold.bodybuffers import BodyBuffer
from magnoliahold.core.serving.effects import SendAttempt
from magnoliahold.core.serving.upstreams import UpstreamRecord
from magnoliahold.serving.connections import ConnectionPool
from magnoliahold.serving.exchanges import RequestContent
from magnoliahold.serving.upstreamexchanges import UpstreamExchanges
from tests.loopback import LoopbackTestCase
from tests.serving.scripted import ScriptedServer


def make_body(*parts: bytes) -> BodyBuffer:
    """Makes the body of an answer that came in parts."""
    body = BodyBuffer()
    for part in parts:
        body.add(part)
    return body


class ExchangeTestCase(LoopbackTestCase):
    """A test case with the exchanges of an entry; `events` are those they post."""

    def setUp(self) -> None:
        super().setUp()
        self.events: list[Any] = []
        self.pool = ConnectionPool(self.reactor)
        self.exchanges = UpstreamExchanges(self.reactor, self.events.append, self.pool)
        self.attempt = 0

    def make_record(self, port: int) -> UpstreamRecord:
        """Makes the registration of a server on a port."""
        return UpstreamRecord("i-1", "s-1", "127.0.0.1", port, "z-1", born_ms=5)

    def listen(self, *scripts: list[Any]) -> ScriptedServer:
        """Starts a server that answers with scripts."""
        server = ScriptedServer(list(scripts))
        self.listeners.append(server.listen(self.reactor))
        return server

    def send(
        self, port: int, *, fresh: bool = False, new: bool = False, body: bytes = b""
    ) -> int:
        """Sends an attempt and returns its number."""
        self.attempt += 1
        effect = SendAttempt(
            attempt=self.attempt,
            handle=1,
            request_id="abc",
            upstream=self.make_record(port),
            workspace="w",
            deadline_s=1.0,
            connect_timeout_s=0.5,
            priority=5,
            takes_stream=True,
            fresh_connection=fresh,
            new_connection=new,
        )
        headers = Headers({"Host": ["h"], "Request-Id": ["abc"]})
        self.exchanges.send(effect, RequestContent(b"POST", b"/a", headers, body))
        return self.attempt
