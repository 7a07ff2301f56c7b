"""Tests that each way in which a caller's connection ends is counted by its cause."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from attrs import evolve
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from magnoliahold.core.serving.systems.admission import HeadRefusal
from magnoliahold.serving.callerstates import FRESH_S
from magnoliahold.serving.connectionends import DiscardedBytes, EndCause
from magnoliahold.serving.exchanges import Exchange
from tests.loopback import on_loopback
from tests.serving.exchanging import make_body
from tests.serving.test_callers import (
    CHUNKED,
    GET,
    HEAD,
    LIMITS,
    REQUEST,
    UPSTREAM,
    CallerTestCase,
    set_limits,
)
from tests.serving.test_daemon import DaemonTestCase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.serving.test_callers import Client

LARGE_BODY = b"x" * 6_000_000
CLOSING = REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")

# Bytes that are discarded, and whether they begin with a whole request.
DISCARDED = (
    (b"", False),
    (b"hi", False),
    (REQUEST, True),
    (REQUEST[:-1], False),
    (GET, True),
    (GET[:-1], False),
    (CHUNKED, True),
    (CHUNKED[:-2], False),
    (HEAD + b"Content-Length: 90000\r\n\r\n" + b"x" * 90000, True),
    (HEAD + b"Content-Length: 90001\r\n\r\n" + b"x" * 90000, False),
)


class DiscardedBytesTests(unittest.TestCase):
    def test_whole_requests_are_recognized(self) -> None:
        for content, whole in DISCARDED:
            with self.subTest(content[:200]):
                discarded = DiscardedBytes()
                for start in range(0, len(content), 5000):
                    discarded.add(content[start : start + 5000])
                self.assertEqual(discarded.count, len(content))
                self.assertEqual(discarded.hold_request, whole)


class ConnectionEndTests(CallerTestCase):
    @property
    def channels(self) -> set[Any]:
        """The connections of callers."""
        return self.callers.channels

    async def answer(self, content: bytes, body: bytes = b"x") -> tuple[Client, int]:
        """Sends a request and answers it; the connection closes behind that."""
        client, handle = await self.send_request(content)
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(body))
        self.callers.answer(handle, answer, closing=True)
        return client, handle

    async def start_stream(self) -> tuple[Client, int]:
        """Sends a request and writes the beginning of a stream."""
        client, handle = await self.send_request(REQUEST)
        self.callers.open_answer(handle, Exchange(1, UPSTREAM, status=200))
        self.callers.write_pieces(handle, b"id: 1\n\n")
        await self.wait_until(lambda: b"id" in client.received)
        return client, handle

    async def leave_after(self, content: bytes) -> None:
        """Sends bytes and disconnects."""
        client = await self.connect(content)
        await self.sleep(0.05)
        self.disconnect(client)

    def disconnect(self, client: Client) -> None:
        """Ends a connection as its caller."""
        transport: Any = client.transport
        transport.abortConnection()

    async def end_answered(self) -> None:
        await self.answer(REQUEST)

    async def end_answered_as_asked(self) -> None:
        _, handle = await self.send_request(CLOSING)
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(b"x"))
        self.callers.answer(handle, answer, closing=False)

    async def end_refused(self) -> None:
        _, handle = await self.send_request(REQUEST)
        self.callers.refuse(handle, 503, "leaving", None, closing=True)

    async def end_after_failed_tick(self) -> None:
        await self.start_stream()
        self.callers.fail_open_requests("broken")

    async def end_malformed(self) -> None:
        await self.connect(b"POST /a\r\n\r\n")

    async def end_with_large_headers(self) -> None:
        await self.connect(HEAD + b"X: " + b"x" * 700 + b"\r\n\r\n")

    async def end_with_large_body(self) -> None:
        await self.connect(HEAD + b"Content-Length: 99999999\r\n\r\n")

    async def end_refused_by_head(self) -> None:
        refusal = HeadRefusal(401, "the credential is unknown")
        with patch.object(self.callers, "find_head_refusal", return_value=refusal):
            set_limits(self.callers, evolve(LIMITS, body_bytes=9_000_000))
            await self.connect(HEAD + b"Content-Length: 100000\r\n\r\n")
            await self.wait_until(lambda: bool(self.callers.ends))
        set_limits(self.callers, LIMITS)

    async def end_with_full_memory(self) -> None:
        await self.connect(REQUEST[:-1])
        await self.wait_until(lambda: any(item.requests for item in self.channels))
        (channel,) = self.channels
        channel.give_up()

    async def end_for_room(self) -> None:
        await self.connect(b"")
        await self.wait_until(lambda: bool(self.channels))
        (channel,) = self.channels
        channel.close_for_room()

    async def end_with_late_headers(self) -> None:
        await self.connect(HEAD)

    async def end_with_late_body(self) -> None:
        await self.connect(REQUEST[:-1])

    async def end_unfinished_at_stop(self) -> None:
        await self.connect(REQUEST[:-1])
        await self.sleep(0.05)
        self.callers.reject_unfinished()

    async def end_cut(self) -> None:
        _, handle = await self.start_stream()
        self.callers.abort(handle)

    async def end_not_taken(self) -> None:
        client, handle = await self.send_request(REQUEST)
        transport: Any = client.transport
        transport.pauseProducing()
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(LARGE_BODY))
        self.callers.answer(handle, answer, closing=False)

    async def end_with_discarded_request(self) -> None:
        client, _ = await self.answer(REQUEST)
        transport: Any = client.transport
        transport.write(REQUEST)

    async def end_idle(self) -> None:
        await self.connect(b"")

    async def end_idle_at_stop(self) -> None:
        self.callers.limits = evolve(LIMITS, idle_timeout_s=30.0)
        await self.connect(b"")
        await self.sleep(FRESH_S)
        self.callers.close_idle()

    async def stop_process(self) -> None:
        """Does to the connections of callers what the reactor does when it stops."""
        self.callers.is_stopping = True
        for channel in list(self.callers.channels):
            transport: Any = channel.transport
            transport.connectionLost(Failure(ConnectionLost()))

    async def end_with_process(self) -> None:
        await self.send_request(REQUEST)
        await self.stop_process()

    async def end_idle_with_process(self) -> None:
        await self.connect(b"")
        await self.wait_until(lambda: bool(self.callers.channels))
        await self.stop_process()

    async def end_by_unhandled_error(self) -> None:
        await self.send_request(REQUEST)
        (channel,) = self.callers.channels
        transport: Any = channel.transport
        transport.connectionLost(Failure(KeyError("a fault")))

    async def end_idle_by_caller(self) -> None:
        await self.leave_after(b"")

    async def end_reading_by_caller(self) -> None:
        await self.leave_after(REQUEST[:-1])

    async def end_reading_headers_by_caller(self) -> None:
        await self.leave_after(HEAD)

    async def end_reading_first_line_by_caller(self) -> None:
        await self.leave_after(HEAD[:10])

    async def end_waiting_by_caller(self) -> None:
        await self.leave_after(REQUEST)

    async def end_answer_by_caller(self) -> None:
        client, _ = await self.start_stream()
        self.disconnect(client)

    async def end_unwritten_by_caller(self) -> None:
        client, handle = await self.send_request(REQUEST)
        transport: Any = client.transport
        transport.pauseProducing()
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(LARGE_BODY))
        self.callers.answer(handle, answer, closing=True)
        await self.sleep(0.05)
        self.disconnect(client)

    async def half_close(self, client: Client, handle: int) -> None:
        """Closes a caller's writing side, and refuses its request."""
        transport: Any = client.transport
        transport.loseWriteConnection()
        await self.wait_until(lambda: len(self.events) == 2)
        self.callers.refuse(handle, 502, "half closed", None, closing=False)

    async def end_half_closed_by_caller(self) -> None:
        await self.half_close(*await self.send_request(REQUEST))

    async def end_unwritten_by_half_closed_caller(self) -> None:
        client, handle = await self.send_request(REQUEST)
        transport: Any = client.transport
        transport.pauseProducing()
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(LARGE_BODY))
        self.callers.answer(handle, answer, closing=False)
        await self.sleep(0.05)
        transport.loseWriteConnection()
        await self.sleep(0.05)
        transport.resumeProducing()

    async def end_waiting_by_full_close(self) -> None:
        client, handle = await self.send_request(REQUEST)
        transport: Any = client.transport
        transport.loseConnection()
        await self.wait_until(lambda: len(self.events) == 2)
        self.callers.refuse(handle, 502, "half closed", None, closing=False)

    async def end_answer_by_full_close(self) -> None:
        client, handle = await self.start_stream()
        transport: Any = client.transport
        transport.loseConnection()
        await self.wait_until(lambda: len(self.events) == 2)
        self.callers.abort(handle)

    async def end_reading_by_full_close(self) -> None:
        client = await self.connect(REQUEST[:-1])
        await self.sleep(0.05)
        transport: Any = client.transport
        transport.loseConnection()

    async def end_idle_by_full_close(self) -> None:
        client = await self.connect(b"")
        await self.sleep(0.05)
        transport: Any = client.transport
        transport.loseConnection()

    def list_ends(
        self,
    ) -> tuple[tuple[Callable[[], Awaitable[None]], EndCause, str], ...]:
        """Lists ways in which connections end, the cause, and by whom unanswered."""
        return (
            (self.end_answered, EndCause.ANSWERED, ""),
            (self.end_answered_as_asked, EndCause.ANSWERED, ""),
            (self.end_refused, EndCause.REFUSED, ""),
            (self.end_after_failed_tick, EndCause.FAILED_TICK, ""),
            (self.end_malformed, EndCause.MALFORMED, ""),
            (self.end_with_large_headers, EndCause.HEADERS_TOO_LARGE, ""),
            (self.end_with_large_body, EndCause.BODY_TOO_LARGE, ""),
            (self.end_refused_by_head, EndCause.REFUSED_BY_HEAD, ""),
            (self.end_with_full_memory, EndCause.MEMORY_FULL, ""),
            (self.end_for_room, EndCause.NO_ROOM, ""),
            (self.end_with_late_headers, EndCause.HEADERS_LATE, ""),
            (self.end_with_late_body, EndCause.BODY_LATE, ""),
            (self.end_unfinished_at_stop, EndCause.UNFINISHED_AT_STOP, ""),
            (self.end_cut, EndCause.ANSWER_CUT, ""),
            (self.end_not_taken, EndCause.NOT_TAKEN, "entry"),
            (self.end_with_discarded_request, EndCause.DISCARDED, "entry"),
            (self.end_idle, EndCause.IDLE, ""),
            (self.end_idle_at_stop, EndCause.IDLE_AT_STOP, ""),
            (self.end_with_process, EndCause.PROCESS_STOPPED, "entry"),
            (self.end_idle_with_process, EndCause.IDLE_AT_STOP, ""),
            (self.end_by_unhandled_error, EndCause.UNHANDLED_ERROR, "entry"),
            (self.end_idle_by_caller, EndCause.CALLER_LEFT_IDLE, ""),
            (self.end_reading_by_caller, EndCause.CALLER_LEFT_READING, "caller"),
            (
                self.end_reading_headers_by_caller,
                EndCause.CALLER_LEFT_READING,
                "caller",
            ),
            (self.end_reading_first_line_by_caller, EndCause.CALLER_LEFT_READING, ""),
            (self.end_waiting_by_caller, EndCause.CALLER_LEFT_WAITING, "caller"),
            (self.end_answer_by_caller, EndCause.CALLER_LEFT_ANSWER, "caller"),
            (self.end_unwritten_by_caller, EndCause.CALLER_LEFT_ANSWER, "caller"),
            (self.end_half_closed_by_caller, EndCause.CALLER_HALF_CLOSED, ""),
            (
                self.end_unwritten_by_half_closed_caller,
                EndCause.CALLER_HALF_CLOSED,
                "",
            ),
            (self.end_waiting_by_full_close, EndCause.CALLER_LEFT_WAITING, "caller"),
            (self.end_answer_by_full_close, EndCause.CALLER_LEFT_ANSWER, "caller"),
            (self.end_reading_by_full_close, EndCause.CALLER_LEFT_READING, "caller"),
            (self.end_idle_by_full_close, EndCause.CALLER_LEFT_IDLE, ""),
        )

    @on_loopback
    async def test_each_end_has_its_cause_and_its_line(self) -> None:
        for end, cause, unanswered_by in self.list_ends():
            with (
                self.subTest(end.__name__),
                self.assertLogs("magnoliahold", "DEBUG") as logs,
            ):
                self.callers.limits = LIMITS
                self.callers.is_stopping = False
                self.callers.refusing_because = ""
                self.callers.unanswered.clear()
                self.callers.ends.clear()
                self.events.clear()
                await end()
                await self.wait_until(lambda: bool(self.callers.ends))
                self.assertEqual(self.callers.ends, {cause: 1})
                expected = {unanswered_by: 1} if unanswered_by else {}
                self.assertEqual(self.callers.unanswered, expected)
                fields = [record.__dict__["fields"] for record in logs.records]
                (line,) = [line for line in fields if "ended_by" in line]
                self.assertEqual(line["cause"], cause.name.lower())

    @on_loopback
    async def test_every_cause_has_a_way(self) -> None:
        causes = {cause for _, cause, _ in self.list_ends()}
        self.assertEqual(causes, set(EndCause))

    @on_loopback
    async def test_end_names_its_request(self) -> None:
        for end, level in (
            (self.end_with_discarded_request, "INFO"),
            (self.end_answered, "DEBUG"),
        ):
            with (
                self.subTest(end.__name__),
                self.assertLogs("magnoliahold", level) as logs,
            ):
                self.callers.ends.clear()
                await end()
                await self.wait_until(lambda: bool(self.callers.ends))
                fields = logs.records[-1].__dict__["fields"]
                self.assertEqual(fields["request"], "abc")
                expected = len(REQUEST) if level == "INFO" else 0
                self.assertEqual(fields["discarded_bytes"], expected)


class ConnectionMetricTests(DaemonTestCase):
    @on_loopback
    async def test_ends_are_counted_by_cause(self) -> None:
        daemon = await self.start()
        daemon.node.ports.callers.ends[EndCause.DISCARDED] += 2
        _, content = daemon._read_metrics()
        line = b'magnoliahold_connections_ended{cause="discarded"'
        self.assertTrue(
            any(
                part.startswith(line) and part.endswith(b" 2.0")
                for part in content.splitlines()
            )
        )
