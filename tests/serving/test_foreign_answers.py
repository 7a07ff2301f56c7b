"""Tests of answers on a connection that belong to no request that was sent on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.serving.events import (
    AnswerReceived,
    AttemptSent,
    UpstreamAnsweredProbe,
)
from tests.loopback import on_loopback
from tests.serving.exchanging import ExchangeTestCase
from tests.serving.scripted import CLOSE
from tests.serving.test_daemon import DaemonTestCase
from tests.serving.test_exchanges import STREAM, WHOLE

if TYPE_CHECKING:
    from magnoliahold.serving.daemon import ServingDaemon

NOT_EXECUTED = b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
OTHER_ID = b"Request-Id: other\r\n"
REJECTED = b"HTTP/1.1 503 Full\r\nRequest-Id: abc\r\n" + NOT_EXECUTED
# Refusals that an upstream may send once more where the next answer is expected.
FOREIGN_REFUSALS = (
    ("of a probe", b"HTTP/1.1 400 No id\r\n" + NOT_EXECUTED),
    ("of another probe", b"HTTP/1.1 503 Full\r\n" + NOT_EXECUTED),
    ("of a probe to another upstream", b"HTTP/1.1 421 Other\r\n" + NOT_EXECUTED),
    ("of another request", b"HTTP/1.1 503 Full\r\n" + OTHER_ID + NOT_EXECUTED),
    ("that may have run", b"HTTP/1.1 429 Full\r\nContent-Length: 0\r\n\r\n"),
)
FOREIGN_ANSWERS = (
    *FOREIGN_REFUSALS,
    ("a success", WHOLE.replace(b"abc", b"other")),
    ("a stream", STREAM.replace(b"abc", b"other")),
    ("a body without end", WHOLE.replace(b"abc", b"other")[:-1]),
)


class RefusedBookingTests(DaemonTestCase):
    # Failure: a client was told "not run" for a booking that an engine had run, after
    # the engine had sent an earlier refusal once more (review case 1).
    @on_loopback
    async def test_booking_after_a_late_copy_of_a_refusal_may_have_run(self) -> None:
        daemon = await self.start([CLOSE], [CLOSE])
        for name, refusal in FOREIGN_REFUSALS:
            with self.subTest(name):
                for server in self.servers:
                    server.requests.clear()
                    server.scripts = [[refusal], [refusal]]
                await self.probe_all(daemon)
                answer = await self.send_request("bookings")
                self.assertEqual(answer.status, 502)
                self.assertNotIn("Retry-After", dict(answer.headers))
                self.assertEqual(self.count_bookings(), 1)

    @on_loopback
    async def test_rejected_booking_is_still_retried(self) -> None:
        await self.start([REJECTED], [REJECTED])
        answer = await self.send_request("bookings")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", dict(answer.headers))

    async def probe_all(self, daemon: ServingDaemon) -> None:
        """Lets each upstream answer a probe, whose connection is kept."""
        upstreams = daemon.node.world.upstreams.by_id.values()
        for upstream in upstreams:
            daemon.node.ports.upstreams.probe(upstream.record, 1.0)
        await self.wait_until(lambda: all(item.requests for item in self.servers))
        await self.wait_until(lambda: self.count_idle(daemon) >= len(self.servers))

    def count_idle(self, daemon: ServingDaemon) -> int:
        """Counts the kept connections to upstreams."""
        return sum(map(len, daemon.node.ports.upstreams.pool._idle.values()))

    def count_bookings(self) -> int:
        """Counts the bookings that reached an upstream."""
        return sum(
            head.startswith(b"POST") for item in self.servers for head in item.requests
        )


class ForeignAnswerTests(ExchangeTestCase):
    @on_loopback
    async def test_foreign_answer_ends_its_connection(self) -> None:
        for name, answer in FOREIGN_ANSWERS:
            with self.subTest(name):
                self.events.clear()
                server = self.listen([answer], [WHOLE])
                self.send(server.port)
                await self.wait_until(lambda: len(self.events) == 2)
                sent, answered = self.events
                self.assertIsInstance(sent, AttemptSent)
                self.assertIsInstance(answered, AnswerReceived)
                self.assertNotEqual(answered.head.request_id, "abc")
                await self.wait_until(lambda server=server: server.ended == 1)
                self.assertEqual(self.pool._idle, {})
                self.assertEqual(len(self.events), 2)

    # Failure: a refusal that was sent once more has the id of the request if that is
    # sent to the same upstream again.
    @on_loopback
    async def test_repeat_at_the_same_upstream_takes_a_new_connection(self) -> None:
        server = self.listen([REJECTED])
        for new, connections in ((False, 1), (False, 1), (True, 2)):
            self.events.clear()
            self.send(server.port, new=new)
            await self.wait_until(lambda: len(self.events) == 2)
            await self.sleep(0.02)
            self.assertEqual(server.connections, connections)

    @on_loopback
    async def test_connection_of_a_probe_is_kept(self) -> None:
        server = self.listen([FOREIGN_REFUSALS[0][1]], [WHOLE])
        self.exchanges.probe(self.make_record(server.port), 1.0)
        await self.wait_until(lambda: bool(self.pool._idle))
        self.assertIsInstance(self.events[0], UpstreamAnsweredProbe)
        self.events.clear()
        self.send(server.port)
        await self.wait_until(lambda: len(self.events) == 2)
        self.assertEqual(server.connections, 1)
