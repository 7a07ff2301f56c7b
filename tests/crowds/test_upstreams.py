"""Tests that upstreams which send without end don't end the entry that calls them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import DeferredList

from magnoliahold.httpclient import HttpClient
from tests.crowds.test_serving import EntryTestCase
from tests.flooding import BODIES, CHUNKED, HEADS, STATUS, FloodingServer, make_chunk
from tests.loopback import on_loopback
from tests.serving.test_endless_answers import STREAMS

if TYPE_CHECKING:
    from subprocess import Popen

HEADERS = (
    ("Authorization", "Token key-1"),
    ("Request-Id", "abc"),
    ("Deadline-Ms", "2000"),
)
ROUTES = ("calls", "bookings", "streams")
REQUESTS = 30
TIMEOUT_S = 4.0
SMALL_CHUNKS = ("small chunks", STATUS + CHUNKED, make_chunk(b"x"))
HEADER_NAMES = ("names of headers", STATUS, b"%d:\n")


class FloodingUpstreamTests(EntryTestCase):
    timeout_s = 240.0

    # Failure: bodies of calls, each in a buffer that grows, left holes in the memory of
    # an entry until it had more than its instance.
    @on_loopback
    async def test_each_part_of_an_answer_without_end(self) -> None:
        process = await self.start_entry()
        for flood in (SMALL_CHUNKS, HEADER_NAMES, *HEADS, *BODIES, *STREAMS):
            with self.subTest(flood[0]):
                await self.check_flood(process, flood)

    async def check_flood(
        self, process: Popen[bytes], flood: tuple[str, bytes, bytes]
    ) -> None:
        """Checks that an entry outlives a flooding upstream, within its memory."""
        _, start, filler = flood
        server = FloodingServer(start, filler)
        server.count_from = 0 if b"%d" in filler else None
        self.listeners.append(server.listen(self.reactor))
        self.put_upstream(server.port, "ready")
        while not server.requests:
            await self.send_requests()
        self.check_process(process)
        self.put_upstream(server.port, "draining")
        server.stop()
        await self.count_attempts(self.ask)
        self.check_process(process)

    def put_upstream(self, port: int, state: str) -> None:
        """Registers a flooding upstream beside the sound one."""
        record = {"service": "s-1", "address": f"127.0.0.1:{port}", "zone": "z"}
        self.store.put("servers", f"flooding-{port}", {**record, "state": state})

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
