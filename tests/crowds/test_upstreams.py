"""Tests that upstreams which send without end don't end the entry that calls them."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import DeferredList

from magnoliahold.httpclient import HttpClient
from tests.crowds.test_serving import EntryTestCase
from tests.flooding import BODIES, HEADS, STATUS, FloodingServer
from tests.loopback import on_loopback
from tests.serving.test_endless_answers import STREAMS

HEADERS = (
    ("Authorization", "Token key-1"),
    ("Request-Id", "abc"),
    ("Deadline-Ms", "2000"),
)
ROUTES = ("calls", "bookings", "streams")
REQUESTS = 30
TIMEOUT_S = 4.0
# What costs an entry far more than its bytes, beside the parts of any answer.
SMALL_PARTS = (
    ("small chunks", STATUS + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    ("names of headers", STATUS, b"%d:\n"),
)


class FloodingUpstreamTests(EntryTestCase):
    timeout_s = 240.0

    # Failure: upstreams that sent without end filled the memory of an entry, and all
    # requests on it were lost with its process (review case 6, issue 57).
    @on_loopback
    async def test_upstream_that_sends_without_end(self) -> None:
        process = await self.start_entry()
        floods = (*SMALL_PARTS, *HEADS, *BODIES, *STREAMS)
        for number, (name, start, filler) in enumerate(floods):
            with self.subTest(name):
                server = FloodingServer(start, filler)
                server.count_from = 0 if b"%d" in filler else None
                self.listeners.append(server.listen(self.reactor))
                self.put_upstream(number, server.port, "ready")
                while not server.requests:
                    await self.send_requests()
                self.put_upstream(number, server.port, "draining")
                server.stop()
                await self.count_attempts(self.ask)
                self.check_process(process)

    def put_upstream(self, number: int, port: int, state: str) -> None:
        """Registers a flooding upstream beside the sound one."""
        record = {"service": "s-1", "address": f"127.0.0.1:{port}", "zone": "z"}
        self.store.put("servers", f"flooding-{number}", {**record, "state": state})

    async def send_requests(self) -> None:
        """Sends requests of each kind at once, and waits for their ends.

        The entry hears of a new upstream a little after it is registered.
        """
        client = HttpClient(self.reactor, f"http://{self.settings['callers']}")
        sending: list[Any] = [
            client.send("POST", f"/{name}/0", b"", HEADERS, TIMEOUT_S)
            for _ in range(REQUESTS // len(ROUTES))
            for name in ROUTES
        ]
        await DeferredList(sending, consumeErrors=True)
