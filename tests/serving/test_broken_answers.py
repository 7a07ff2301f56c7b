"""Tests that an answer that broke off is never passed on as a whole one.

The cases are reports of operators of similar systems; neither was seen here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from magnoliahold.core.serving.events import AttemptInterrupted, AttemptSent
from magnoliahold.core.serving.upstreams import UpstreamHealth
from magnoliahold.soak.pipelining import join_chunks
from tests.loopback import on_loopback
from tests.serving.exchanging import ExchangeTestCase
from tests.serving.scripted import CLOSE, RESET
from tests.serving.test_callers import connect_client
from tests.serving.test_daemon import DaemonTestCase
from tests.serving.test_exchanges import (
    HEAD,
    LAST_CHUNK,
    STREAM,
    WHOLE,
    make_chunk,
)

if TYPE_CHECKING:
    from magnoliahold.serving.daemon import ServingDaemon
    from tests.serving.test_callers import Client

HEAD_END = b"\r\n\r\n"
ANSWER_TO_PROBE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CLOSING = HEAD.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
# Heads with each way to tell the length of a body, of a call and of a stream.
HEADS = (
    ("length", HEAD + b"Content-Length: 2" + HEAD_END),
    ("chunks", HEAD + b"Transfer-Encoding: chunked" + HEAD_END),
    ("end of the connection", CLOSING + b"\r\n"),
    ("no body", HEAD.replace(b"200 OK", b"204 None") + b"\r\n"),
    ("old version", b"HTTP/1.0 200 OK\r\nRequest-Id: abc\r\n\r\n"),
    ("interim head", b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"\r\n"),
    ("stream", STREAM),
)
HEADS_TO_CALLERS = (WHOLE.partition(HEAD_END)[0], STREAM.removesuffix(HEAD_END))

PIECES = [b"id: %d\ndata: x\n\n" % number for number in range(1, 6)]
BROKEN = [STREAM, *map(make_chunk, PIECES[:3]), RESET]
REST = [STREAM, *map(make_chunk, PIECES), LAST_CHUNK]
TEXT = b"Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nERROR"
SIGNED = b"Request-Id: abc\r\nResponse-Signature: s\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
EVENT_BODY = make_chunk(b"id: 4\ndata: ERROR\n\n") + LAST_CHUNK
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
# What the next upstream answers after a stream has begun elsewhere and broken off.
ERRORS: tuple[tuple[str, list[Any]], ...] = (
    ("failure", [b"HTTP/1.1 500 Broken\r\n" + SIGNED + TEXT]),
    ("failure that is not signed", [b"HTTP/1.1 500 Broken\r\n" + TEXT]),
    ("failure in chunks", [b"HTTP/1.1 502 Bad\r\n" + SIGNED + CHUNKS + EVENT_BODY]),
    (
        "failure of no length",
        [b"HTTP/1.1 500 Broken\r\n" + SIGNED + b"\r\nERROR", CLOSE],
    ),
    (
        "failure as a stream",
        [b"HTTP/1.1 500 No\r\n" + SIGNED + EVENTS + CHUNKS + EVENT_BODY],
    ),
    ("not found", [b"HTTP/1.1 404 None\r\n" + SIGNED + TEXT]),
    ("rejection", [b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + SIGNED + TEXT]),
    ("foreign rejection", [b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + TEXT]),
    ("success that is no stream", [b"HTTP/1.1 200 OK\r\n" + SIGNED + TEXT]),
    (
        "stream that is not signed",
        [b"HTTP/1.1 200 OK\r\nRequest-Id: abc\r\n" + EVENTS + CHUNKS + EVENT_BODY],
    ),
    ("stream of another request", [STREAM.replace(b"abc", b"other") + EVENT_BODY]),
    ("no status", [b"HTTP/1.1 000 ERROR\r\n" + SIGNED + TEXT]),
    ("no HTTP", [b"ERROR\r\n\r\n", CLOSE]),
    ("part of a head", [STREAM[:-3], CLOSE]),
    ("part of a piece", [STREAM + make_chunk(b"id: 4\nERROR"), CLOSE]),
)
# Status lines without a status of the protocol, which no caller may get.
NO_STATUS = (b"HTTP/1.1 000 Odd", b"HTTP/1.1 099 Odd", b"HTTP/1.1 600 Odd")
SOUND = {
    "bookings": [WHOLE],
    "calls": [WHOLE],
    "streams": [STREAM, *map(make_chunk, PIECES), LAST_CHUNK],
}
# Bodies of which all events, some, or none have a number.
EVENT_BODIES = (
    b"".join(PIECES),
    b"event: booked\ndata: a\n\nevent: end\ndata:\n\n",
    b"".join(PIECES) + b"data: [DONE]\n\n",
    b": comment\n\n" + b"".join(PIECES) + b": end\n\n\n",
)
# Such of which only a call may be answered with: its numbers aren't rising.
EVENTS_IN_ANY_ORDER = PIECES[1] + PIECES[0] + PIECES[1]


class CutHeadTests(ExchangeTestCase):
    # Failure elsewhere: an engine stopped in the middle of its head and closed; clients
    # got a 200 with an empty or short body, framed as whole.
    @on_loopback
    async def test_head_that_is_cut_at_any_byte_is_no_answer(self) -> None:
        server = self.listen([])
        for name, head in HEADS:
            for size in range(len(head)):
                with self.subTest(name, size=size):
                    self.events.clear()
                    server.scripts = [[head[:size], CLOSE]]
                    self.send(server.port)
                    await self.wait_until(lambda: len(self.events) > 1)
                    kinds = [type(event) for event in self.events]
                    self.assertEqual(kinds, [AttemptSent, AttemptInterrupted])


class BrokenAnswerTests(DaemonTestCase):
    daemon: ServingDaemon

    def share_scripts(self, *scripts: list[Any]) -> None:
        """Lets the n-th request of any server be answered with the n-th script."""
        requests: list[bytes] = []
        for server in self.servers:
            server.requests = requests
            server.probe_script = [ANSWER_TO_PROBE]
            server.scripts = list(scripts)

    async def forget_failures(self) -> None:
        """Renews the retry budget, and waits until all upstreams are healthy again."""
        world = self.daemon.node.world
        world.budgets.clear()
        upstreams = world.upstreams.by_id.values()
        await self.wait_until(
            lambda: all(item.health is UpstreamHealth.HEALTHY for item in upstreams)
        )

    async def ask(self, name: str) -> bytes:
        """Sends a request on a new connection and returns all bytes of its answer."""
        port = int(self.settings["callers"].rpartition(":")[2])
        request = (
            b"POST /%b/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: abc\r\n"
            b"Authorization: Token key-1\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n"
        ) % name.encode()
        client: Client = await connect_client(self.reactor, port, request)
        await self.wait_until(lambda: client.closed)
        return client.received

    @on_loopback
    async def test_caller_of_a_cut_head_gets_no_success(self) -> None:
        self.daemon = await self.start([CLOSE], [CLOSE])
        for head in HEADS_TO_CALLERS:
            for name in ("bookings", "calls", "streams"):
                with self.subTest(name, head=head):
                    self.share_scripts([head, CLOSE])
                    await self.forget_failures()
                    answer = await self.ask(name)
                    self.assertEqual(answer.split()[1], b"502")

    # Failure: callers got the status 000 of an upstream in trouble, with its signature.
    @on_loopback
    async def test_caller_never_gets_what_is_no_status(self) -> None:
        self.daemon = await self.start([CLOSE], [CLOSE])
        for line in NO_STATUS:
            for name, sound in SOUND.items():
                with self.subTest(line, name=name):
                    odd = line + b"\r\n" + SIGNED + TEXT
                    self.share_scripts([odd], sound)
                    await self.forget_failures()
                    answer = await self.ask(name)
                    status = b"502" if name == "bookings" else b"200"
                    self.assertEqual(answer.split()[1], status)
                    self.assertNotIn(b"ERROR", answer)

    # Failure: a caller got a signed success with an empty body for an answer of events
    # without numbers (review case 10).
    @on_loopback
    async def test_caller_gets_all_of_an_answer_of_events(self) -> None:
        self.daemon = await self.start([CLOSE], [CLOSE])
        answers = [(body, name) for body in EVENT_BODIES for name in SOUND]
        answers += [(EVENTS_IN_ANY_ORDER, name) for name in ("bookings", "calls")]
        for body, name in answers:
            with self.subTest(body, name=name):
                self.share_scripts([STREAM, make_chunk(body), LAST_CHUNK])
                await self.forget_failures()
                head, _, got = (await self.ask(name)).partition(HEAD_END)
                self.assertEqual(head.split()[1], b"200")
                if b"chunked" in head:
                    joined = join_chunks(bytearray(got), 0)
                    self.assertEqual(joined, (body, len(got)))
                else:
                    self.assertEqual(got, body)

    # Failure elsewhere: clients found an error's text, at times its whole head, in the
    # middle of their stream, or the stream ended as if it were complete.
    @on_loopback
    async def test_error_of_the_next_upstream_is_no_part_of_a_stream(self) -> None:
        await self.check_errors(True)

    @on_loopback
    async def test_stream_is_not_complete_after_errors_of_all_upstreams(self) -> None:
        await self.check_errors(False)

    async def check_errors(self, complete: bool) -> None:
        """Lets a stream break off, and checks what its caller gets after each error."""
        self.daemon = await self.start([CLOSE], [CLOSE])
        for name, error in ERRORS:
            with self.subTest(name):
                self.share_scripts(BROKEN, error, REST if complete else error)
                await self.forget_failures()
                head, _, body = (await self.ask("streams")).partition(HEAD_END)
                self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
                self.assertNotIn(b"ERROR", body)
                self.assertNotIn(b"HTTP/1.1", body)
                self.assertEqual(body.endswith(LAST_CHUNK), complete)
                sent = PIECES if complete else PIECES[:3]
                for piece in PIECES:
                    self.assertEqual(body.count(piece), piece in sent)
