"""Tests that a whole entry counts and logs each cause of a connection's end.

Each end follows from what callers, engines, faults or a stop do on loopback; none is
set by the test.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from attrs import evolve

from magnoliahold.serving.callers import Callers
from magnoliahold.serving.connectionends import EndCause
from tests.loopback import on_loopback
from tests.serving.scripted import RESET
from tests.serving.stopping import StoppingTestCase
from tests.serving.test_callers import LIMITS, set_limits
from tests.serving.test_exchanges import HEAD as ANSWER_HEAD
from tests.serving.test_exchanges import STREAM, WHOLE, make_chunk
from tests.serving.test_lost_requests import CALL
from tests.serving.test_unannounced_closes import send_when_answered

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from magnoliahold.serving.daemon import ServingDaemon
    from tests.serving.test_callers import Client

CLOSING = CALL.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
UNKNOWN_KEY = CLOSING.replace(b"key-1", b"key-9")
STREAM_CALL = CALL.replace(b"calls", b"streams")
PIECE = b"id: 1\ndata: x\n\n"
BEGUN = [STREAM, make_chunk(PIECE)]
LARGE_BODY = b"x" * 6_000_000
LARGE = [ANSWER_HEAD + b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY), LARGE_BODY]
# Times of callers' limits: those that a case waits for are short.
LONG_S = 30.0
SHORT_S = 0.2
LIMITS_OF_CASES = evolve(
    LIMITS, header_bytes=800, header_timeout_s=LONG_S, idle_timeout_s=LONG_S
)
# Times of a stop, in seconds.
STOP_TIMES = {"limit_s": 1.0, "flush_s": 0.3}


class EndCauseTests(StoppingTestCase):
    timeout_ms = 1000

    async def start_case(self, *script: Any) -> None:
        """Sets what the engine sends to the next requests, and usual limits."""
        self.servers[0].scripts = [list(script)]
        set_limits(self.callers, LIMITS_OF_CASES)

    async def send(self, content: bytes, *script: Any) -> Client:
        """Sends a request whose engine plays a script."""
        await self.start_case(*script)
        return await self.connect(content)

    async def send_to_engine(self, content: bytes, *script: Any) -> Client:
        """Does the same, and waits until the engine has the request."""
        requests = self.servers[0].requests
        count = len(requests)
        client = await self.send(content, *script)
        await self.wait_until(lambda: len(requests) > count)
        return client

    async def begin_stream(self, *rest: Any) -> Client:
        """Sends a request for a stream, and waits for the first piece."""
        client = await self.send(STREAM_CALL, *BEGUN, *rest)
        await self.wait_until(lambda: PIECE in client.received)
        return client

    async def abort(self, client: Client) -> None:
        """Ends a connection as its caller."""
        await self.sleep(0.05)
        transport: Any = client.transport
        transport.abortConnection()

    async def send_late(self, part: bytes, **limits: float) -> None:
        """Sends a part of a request under a short limit."""
        set_limits(self.callers, evolve(LIMITS_OF_CASES, **limits))
        await self.connect(part)

    async def end_answered(self) -> None:
        await self.send(CLOSING, WHOLE)

    async def end_refused(self) -> None:
        await self.send(UNKNOWN_KEY)

    async def end_malformed(self) -> None:
        await self.send(b"POST /a\r\n\r\n")

    async def end_with_large_headers(self) -> None:
        await self.send(CALL[:-6] + b"\r\nX: " + b"x" * 900 + b"\r\n\r\n")

    async def end_with_large_body(self) -> None:
        await self.send(CALL.replace(b"Length: 2", b"Length: 99999999"))

    async def end_refused_by_head(self) -> None:
        unknown = CALL.replace(b"key-1", b"key-9")
        await self.start_case()
        set_limits(self.callers, evolve(LIMITS_OF_CASES, body_bytes=9_000_000))
        await self.connect(unknown.replace(b"Length: 2", b"Length: 100000"))

    async def end_with_late_headers(self) -> None:
        await self.send_late(CALL[:40], header_timeout_s=SHORT_S)

    async def end_with_late_body(self) -> None:
        await self.send_late(CALL[:-1], idle_timeout_s=SHORT_S)

    async def end_idle(self) -> None:
        await self.send_late(b"", idle_timeout_s=SHORT_S)

    async def end_cut(self) -> None:
        await self.begin_stream(RESET)

    async def end_not_taken(self) -> None:
        client = await self.send_to_engine(CALL, *LARGE)
        transport: Any = client.transport
        transport.pauseProducing()
        await self.sleep(0.1)
        set_limits(self.callers, evolve(LIMITS_OF_CASES, idle_timeout_s=SHORT_S))
        (channel,) = self.channels
        channel.setTimeout(SHORT_S)

    async def end_with_discarded_request(self) -> None:
        client = await self.send_to_engine(CLOSING)
        send_when_answered(client, b"ok", CALL)
        self.servers[0].transports[-1].write(WHOLE)

    async def end_by_unhandled_error(self) -> None:
        with patch.object(Callers, "handle_request", side_effect=KeyError("a fault")):
            await self.send(CALL)
            await self.wait_until(lambda: bool(self.callers.ends))

    async def end_idle_by_caller(self) -> None:
        await self.abort(await self.send(b""))

    async def end_reading_by_caller(self) -> None:
        await self.abort(await self.send(CALL[:-1]))

    async def end_waiting_by_caller(self) -> None:
        await self.abort(await self.send_to_engine(CALL))

    async def end_answer_by_caller(self) -> None:
        await self.abort(await self.begin_stream())

    async def end_half_closed_by_caller(self) -> None:
        client = await self.send_to_engine(CALL)
        transport: Any = client.transport
        transport.loseWriteConnection()

    def list_running_ends(
        self,
    ) -> Iterator[tuple[Callable[[], Awaitable[None]], EndCause, str]]:
        """Lists ends at an entry that runs, and by whom a request is unanswered."""
        yield self.end_answered, EndCause.ANSWERED, ""
        yield self.end_refused, EndCause.REFUSED, ""
        yield self.end_malformed, EndCause.MALFORMED, ""
        yield self.end_with_large_headers, EndCause.HEADERS_TOO_LARGE, ""
        yield self.end_with_large_body, EndCause.BODY_TOO_LARGE, ""
        yield self.end_refused_by_head, EndCause.REFUSED_BY_HEAD, ""
        yield self.end_with_late_headers, EndCause.HEADERS_LATE, ""
        yield self.end_with_late_body, EndCause.BODY_LATE, ""
        yield self.end_idle, EndCause.IDLE, ""
        yield self.end_cut, EndCause.ANSWER_CUT, ""
        yield self.end_not_taken, EndCause.NOT_TAKEN, "entry"
        yield self.end_with_discarded_request, EndCause.DISCARDED, "entry"
        yield self.end_by_unhandled_error, EndCause.UNHANDLED_ERROR, "entry"
        yield self.end_idle_by_caller, EndCause.CALLER_LEFT_IDLE, ""
        yield self.end_reading_by_caller, EndCause.CALLER_LEFT_READING, "caller"
        yield self.end_waiting_by_caller, EndCause.CALLER_LEFT_WAITING, "caller"
        yield self.end_answer_by_caller, EndCause.CALLER_LEFT_ANSWER, "caller"
        yield self.end_half_closed_by_caller, EndCause.CALLER_HALF_CLOSED, ""

    async def start_entry(self) -> ServingDaemon:
        """Starts an entry with one engine."""
        daemon = await self.start_leaving([], **STOP_TIMES)
        self.callers = daemon.node.ports.callers
        return daemon

    async def expect_end(
        self, end: Callable[[], Awaitable[None]], cause: EndCause, unanswered: str
    ) -> None:
        """Ends a connection; exactly this cause must be counted and logged."""
        self.callers.ends.clear()
        self.callers.unanswered.clear()
        with self.assertLogs("magnoliahold", "DEBUG") as logs:
            await end()
            await self.wait_until(lambda: bool(self.callers.ends))
        self.assertEqual(self.callers.ends, {cause: 1})
        expected = {unanswered: 1} if unanswered else {}
        self.assertEqual(self.callers.unanswered, expected)
        fields = [record.__dict__.get("fields", {}) for record in logs.records]
        lines = [line["cause"] for line in fields if "ended_by" in line]
        self.assertEqual(lines, [cause.name.lower()])
        self.assertFalse(self.channels)

    @on_loopback
    async def test_running_entry_counts_each_cause(self) -> None:
        await self.start_entry()
        for end, cause, unanswered in self.list_running_ends():
            with self.subTest(end.__name__):
                await self.expect_end(end, cause, unanswered)

    @on_loopback
    async def test_requests_that_hold_too_much_together(self) -> None:
        await self.start_entry()
        memory = self.callers.intake.memory
        memory.limits = evolve(memory.limits, held_bytes=1)
        clients = [await self.send(CALL[:-1]) for _ in range(2)]
        await self.wait_until(lambda: all(item.closed for item in clients))
        for client in clients:
            self.assertEqual(client.received.split()[1:2], [b"503"])
            self.assertIn(b"Retry-After: ", client.received)
        await self.wait_until(lambda: not self.channels)
        self.assertEqual(self.callers.ends, {EndCause.MEMORY_FULL: 2})
        self.assertEqual(memory.given_up, {"request": 2})
        self.assertEqual(memory.held_bytes, 0)

    @on_loopback
    async def test_connection_that_makes_room_for_another(self) -> None:
        await self.start_entry()
        self.callers.connections.most = 1
        silent = await self.send(b"")
        await self.wait_until(lambda: bool(self.channels))
        client = await self.send(CLOSING, WHOLE)
        await self.wait_until(lambda: silent.closed and client.closed)
        self.assertEqual(client.received.split()[1:2], [b"200"])
        await self.wait_until(lambda: not self.channels)
        expected = {EndCause.NO_ROOM: 1, EndCause.ANSWERED: 1}
        self.assertEqual(self.callers.ends, expected)
        self.assertEqual(self.callers.connections.closed, {"unused": 1})

    async def stop_beside_idle(self, daemon: ServingDaemon) -> None:
        await self.send(b"")
        await self.wait_until(lambda: bool(self.channels))
        daemon.leave("SIGTERM")

    async def stop_beside_unfinished(self, daemon: ServingDaemon) -> None:
        await self.send(CALL[:-1])
        await self.wait_until(lambda: bool(self.channels))
        daemon.leave("SIGTERM")

    async def stop_beside_untaken(self, daemon: ServingDaemon) -> None:
        client = await self.send_to_engine(CALL, *LARGE)
        transport: Any = client.transport
        transport.pauseProducing()
        await self.sleep(0.1)
        daemon.leave("SIGTERM")

    async def fail_tick(self, daemon: ServingDaemon) -> None:
        await self.begin_stream()
        daemon.node.systems = (break_tables,)

    async def expect_stop(
        self,
        stop: Callable[[ServingDaemon], Awaitable[None]],
        cause: EndCause,
        unanswered: str,
    ) -> None:
        """Stops an entry; exactly this cause must be counted and logged."""
        daemon = await self.start_entry()
        await self.expect_end(lambda: stop(daemon), cause, unanswered)
        await self.wait_until(lambda: bool(self.stopped))

    @on_loopback
    async def test_idle_connection_in_a_stop(self) -> None:
        await self.expect_stop(self.stop_beside_idle, EndCause.IDLE_AT_STOP, "")

    @on_loopback
    async def test_unfinished_request_in_a_stop(self) -> None:
        cause = EndCause.UNFINISHED_AT_STOP
        await self.expect_stop(self.stop_beside_unfinished, cause, "")

    @on_loopback
    async def test_untaken_answer_in_a_stop(self) -> None:
        cause = EndCause.PROCESS_STOPPED
        await self.expect_stop(self.stop_beside_untaken, cause, "entry")

    @on_loopback
    async def test_stream_beside_a_failed_tick(self) -> None:
        await self.expect_stop(self.fail_tick, EndCause.FAILED_TICK, "")

    @on_loopback
    async def test_every_cause_is_reached(self) -> None:
        reached = {cause for _, cause, _ in self.list_running_ends()}
        reached |= {EndCause.IDLE_AT_STOP, EndCause.UNFINISHED_AT_STOP}
        reached |= {EndCause.PROCESS_STOPPED, EndCause.FAILED_TICK}
        reached |= {EndCause.MEMORY_FULL, EndCause.NO_ROOM}
        self.assertEqual(reached, set(EndCause))


def break_tables(_world: object, _now: float) -> None:
    """Fails as a system does whose tables are inconsistent."""
    raise RuntimeError("inconsistent tables")
