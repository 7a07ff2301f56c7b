"""Tests that no whole request of a caller ends with neither answer nor refusal."""

from __future__ import annotations

import socket
import time
from typing import Any

from attrs import evolve

from magnoliahold.core.serving.effects import DeliverAnswer
from magnoliahold.node import perform_effect
from magnoliahold.serving.callerstates import FRESH_S
from magnoliahold.serving.exchanges import Exchange
from tests.loopback import on_loopback
from tests.serving.exchanging import make_body
from tests.serving.stopping import StoppingTestCase
from tests.serving.test_callers import (
    GET,
    HEAD,
    LIMITS,
    REQUEST,
    UPSTREAM,
    CallerTestCase,
)
from tests.serving.test_exchanges import HEAD as ANSWER_HEAD
from tests.serving.test_exchanges import LAST_CHUNK, STREAM, WHOLE, make_chunk

ODD_NUMBER = b"9" * 5000

# Headers that no caller should send; each such request still gets an answer.
ODD_HEADERS = (
    ("a request id that is no text", b"Request-Id: \xff\xfe\r\n"),
    ("a credential that is no text", b"Request-Id: a\r\nAuthorization: Token \xff\r\n"),
    ("a host that is no text", b"Request-Id: a\r\nHost: \xe9\r\n"),
    ("a deadline beyond any number", b"Request-Id: a\r\nDeadline-Ms: %b\r\n"),
    ("a deadline too large", b"Request-Id: a\r\nDeadline-Ms: %.400b\r\n"),
    ("a piece number too long", b"Request-Id: a\r\nLast-Event-Id: %b\r\n"),
    ("a prompt too long", b"Request-Id: a\r\nPrompt-Prefix: ab:%b\r\n"),
    ("a prompt too large", b"Request-Id: a\r\nPrompt-Prefix: ab:%.400b\r\n"),
)


# Bytes from a caller that are rejected while its body still comes, and the status.
EARLY_ANSWERS = (
    ("large headers", HEAD + b"X: " + b"x" * 700 + b"\r\n\r\n", 431),
    ("two lengths", HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n", 400),
    ("a bad chunk", HEAD + b"Transfer-Encoding: chunked\r\n\r\nxx\r\n", 400),
    ("no version", b"POST /a\r\n\r\n", 400),
)
# Requests that are read to their end and then rejected.
UNREADABLE_REQUESTS = (
    ("no request id, no body", b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"),
    ("no request id", REQUEST.replace(b"Request-Id: abc\r\n", b"")),
    ("a large body", HEAD + b"Content-Length: 200\r\n\r\n" + b"x" * 200),
)
LARGE_BODY = b"x" * 6_000_000
CALL = (
    b"POST /calls/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: abc\r\n"
    b"Authorization: Token key-1\r\nContent-Length: 2\r\n\r\nhi"
)


class CallerConnectionTests(CallerTestCase):
    @on_loopback
    async def test_odd_headers_are_refused_with_an_answer(self) -> None:
        self.callers.limits = evolve(LIMITS, header_bytes=16_384)
        for name, headers in ODD_HEADERS:
            with self.subTest(name):
                lines = headers % ODD_NUMBER if b"%" in headers else headers
                client = await self.connect(b"GET /a HTTP/1.1\r\n" + lines + b"\r\n")
                await self.wait_until(lambda client=client: client.closed)
                self.assertEqual(client.received.split()[1:2], [b"400"])
                self.assertEqual(self.events, [])

    @on_loopback
    async def test_connection_that_ends_before_the_answer_is_logged(self) -> None:
        client, _ = await self.send_request(REQUEST)
        assert client.transport is not None
        with self.assertLogs("magnoliahold", "INFO") as logged:
            client.transport.abortConnection()
            await self.wait_until(lambda: len(self.events) == 2)
        self.assertEqual(self.callers.unanswered, {"caller": 1})
        (line,) = logged.output
        self.assertIn("callers: Connection ended before the answer.", line)
        self.assertEqual(logged.records[0].__dict__["fields"]["request"], "abc")

    @on_loopback
    async def test_body_that_does_not_come_in_time_is_rejected(self) -> None:
        for part in (REQUEST[:-1], HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nh"):
            with self.subTest(part):
                client = await self.connect(part)
                await self.wait_until(lambda client=client: client.closed)
                self.assertEqual(client.received.split()[1:2], [b"408"])
        self.assertEqual(self.callers.unanswered, {})

    @on_loopback
    async def test_bytes_on_the_way_do_not_destroy_the_answer_before_a_close(
        self,
    ) -> None:
        for name, content, status in EARLY_ANSWERS:
            with self.subTest(name):
                client = await self.connect(content)
                transport: Any = client.transport
                transport.pauseProducing()
                for _ in range(10):
                    await self.sleep(0.02)
                    transport.write(b"y" * 20_000)
                await self.sleep(0.05)
                transport.resumeProducing()
                await self.wait_until(lambda client=client: client.closed)
                self.assertEqual(client.received.split()[1:2], [b"%d" % status])

    @on_loopback
    async def test_request_with_two_faults_is_rejected_once(self) -> None:
        client = await self.connect(b"POST /a\r\n" + HEAD + b"X: " + b"x" * 5000)
        await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.count(b"HTTP/1.1"), 1)

    @on_loopback
    async def test_bytes_behind_a_request_do_not_destroy_its_answer(self) -> None:
        client, handle = await self.send_request(REQUEST)
        transport: Any = client.transport
        transport.pauseProducing()
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(LARGE_BODY))
        self.callers.answer(handle, answer, closing=True)
        for _ in range(10):
            transport.write(b"y" * 2000)
            await self.sleep(0.02)
        transport.resumeProducing()
        await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.count(b"x"), len(LARGE_BODY))

    @on_loopback
    async def test_body_around_a_change_of_the_limit_is_never_cut(self) -> None:
        head = HEAD + b"Content-Length: 200\r\n\r\n"
        client = await self.connect(head + b"a" * 150)
        await self.sleep(0.05)
        self.callers.limits = evolve(LIMITS, body_bytes=1000)
        assert client.transport is not None
        client.transport.write(b"b" * 50)
        await self.wait_until(lambda: client.closed or bool(self.events))
        self.assertEqual(client.received.split()[1:2], [b"413"])
        self.assertEqual(self.events, [])

    @on_loopback
    async def test_changed_limits_apply_to_open_connections(self) -> None:
        client = await self.connect(b"")
        await self.sleep(0.1)
        self.callers.limits = evolve(LIMITS, idle_timeout_s=3.0, header_bytes=2000)
        await self.sleep(0.8)
        assert client.transport is not None
        client.transport.write(HEAD + b"X: " + b"x" * 700 + b"\r\n\r\n")
        await self.wait_until(lambda: client.closed or bool(self.events))
        self.assertEqual(len(self.events), 1)

    @on_loopback
    async def test_request_that_waits_unread_is_read_before_a_timeout(self) -> None:
        beginnings = (("idle", b"", 0.5), ("head", HEAD, 0.25))
        for name, beginning, wait_s in beginnings:
            with self.subTest(name):
                count = len(self.events)
                client = socket.create_connection(("127.0.0.1", self.port))
                self.addCleanup(client.close)
                client.sendall(beginning)
                await self.sleep(wait_s)
                rest = REQUEST.removeprefix(beginning)

                def hold_up(event: Any, client: Any = client, rest: Any = rest) -> None:
                    self.events.append(event)
                    self.callers.post = self.events.append
                    client.sendall(rest)
                    time.sleep(0.2)

                self.callers.post = hold_up
                await self.connect(REQUEST)
                await self.sleep(0.4)
                self.assertEqual(len(self.events), count + 2)

    @on_loopback
    async def test_caller_that_takes_nothing_does_not_keep_its_connection(self) -> None:
        for closing in (False, True):
            with self.subTest(closing=closing):
                client, handle = await self.send_request(REQUEST)
                transport: Any = client.transport
                transport.pauseProducing()
                answer = Exchange(1, UPSTREAM, status=200, body=make_body(LARGE_BODY))
                self.callers.answer(handle, answer, closing)
                await self.sleep(0.4)
                self.assertEqual(len(self.callers.channels), 1)
                await self.wait_until(lambda: not self.callers.channels)
        self.assertEqual(self.callers.unanswered, {"entry": 2})

    @on_loopback
    async def test_idle_connections_close_without_loss(self) -> None:
        self.callers.limits = evolve(LIMITS, idle_timeout_s=30.0)
        reader, handle = await self.send_request(REQUEST)
        transport: Any = reader.transport
        transport.pauseProducing()
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(LARGE_BODY))
        self.callers.answer(handle, answer, closing=False)
        sender = await self.connect(b"")
        await self.sleep(FRESH_S)
        unread = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(unread.close)
        await self.sleep(0.1)
        unread.sendall(REQUEST)
        self.callers.close_idle()
        await self.wait_until(lambda: sender.closed)
        self.assertFalse(reader.closed)
        transport.resumeProducing()
        while not reader.closed:
            self.callers.close_idle()
            await self.sleep(0.02)
        self.assertEqual(reader.received.count(b"x"), len(LARGE_BODY))
        self.assertEqual(len(self.events), 2)

    @on_loopback
    async def test_requests_behind_one_another_are_all_answered_before_a_close(
        self,
    ) -> None:
        client, handle = await self.send_request(REQUEST + REQUEST + GET)
        answer = Exchange(1, UPSTREAM, status=200, body=make_body(b"first"))
        self.callers.answer(handle, answer, closing=True)
        await self.wait_until(lambda: client.closed or len(self.events) == 2)
        self.assertEqual(len(self.events), 2)
        second = self.events[1].caller.handle
        self.callers.open_answer(second, Exchange(2, UPSTREAM, status=200))
        self.callers.finish_stream(second, closing=True)
        await self.wait_until(lambda: client.closed or len(self.events) == 3)
        self.assertEqual(len(self.events), 3)
        third = self.events[2].caller.handle
        self.callers.refuse(third, 503, "leaving", 0.25, closing=True)
        await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.count(b"HTTP/1.1"), 3)
        self.assertEqual(client.received.count(b"Connection: close"), 1)

    @on_loopback
    async def test_requests_behind_a_rejected_one_are_read(self) -> None:
        for name, content in UNREADABLE_REQUESTS:
            with self.subTest(name):
                self.events.clear()
                client = await self.connect(content + REQUEST)
                await self.wait_until(
                    lambda client=client: client.closed or self.events
                )
                self.assertEqual(len(self.events), 1)
                handle = self.events[0].caller.handle
                self.callers.refuse(handle, 503, "leaving", 0.25, closing=True)
                await self.wait_until(lambda client=client: client.closed)
                statuses = [
                    part[:3] for part in client.received.split(b"HTTP/1.1 ")[1:]
                ]
                self.assertEqual(statuses[1:], [b"503"])
                self.assertEqual(client.received.count(b"Connection: close"), 1)

    @on_loopback
    async def test_requests_behind_a_failed_tick_are_refused(self) -> None:
        client, _ = await self.send_request(REQUEST + REQUEST)
        self.callers.fail_open_requests("broken")
        await self.wait_until(lambda: client.closed)
        statuses = [part[:3] for part in client.received.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual(statuses, [b"502", b"503"])
        self.assertEqual(len(self.events), 1)


class StoppingTests(StoppingTestCase):
    @on_loopback
    async def test_answer_on_a_slow_link_outlives_the_stop(self) -> None:
        answer = (
            ANSWER_HEAD + b"Content-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY
        )
        daemon = await self.start_leaving([answer])
        client = await self.connect(CALL)
        transport: Any = client.transport
        transport.pauseProducing()
        await self.wait_until(lambda: bool(self.servers[0].requests))
        await self.wait_until(lambda: not daemon.node.world.requests.by_handle)
        daemon.leave("SIGTERM")
        await self.sleep(1.0)
        transport.resumeProducing()
        await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.count(b"x"), len(LARGE_BODY))
        await self.wait_until(lambda: bool(self.stopped))

    @on_loopback
    async def test_request_that_is_read_while_the_entry_stops_is_answered(self) -> None:
        daemon = await self.start_leaving([WHOLE])
        client = await self.connect(CALL[:-2])
        await self.sleep(0.1)
        daemon.leave("SIGTERM")
        await self.sleep(1.2)
        transport: Any = client.transport
        transport.write(CALL[-2:])
        await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.split()[1:2], [b"200"])
        await self.wait_until(lambda: bool(self.stopped))

    @on_loopback
    async def test_stop_is_bounded_and_refuses_what_is_left(self) -> None:
        daemon = await self.start_leaving([ANSWER_HEAD + b"Content-Length: 2\r\n\r\n"])
        world = daemon.node.world
        leave = evolve(world.serving_policy.leave, limit_s=1.2)
        world.serving_policy = evolve(world.serving_policy, leave=leave)
        waiting = await self.connect(CALL)
        silent = await self.connect(CALL[:-2])
        await self.sleep(0.1)
        daemon.leave("SIGTERM")
        await self.wait_until(lambda: bool(self.stopped))
        await self.wait_until(lambda: waiting.closed and silent.closed)
        self.assertEqual(waiting.received.split()[1:2], [b"502"])
        self.assertEqual(silent.received.split()[1:2], [b"408"])

    @on_loopback
    async def test_failed_tick_answers_all_open_requests(self) -> None:
        chunk = make_chunk(b"id: 1\ndata: x\n\n")
        daemon = await self.start_leaving([STREAM, chunk])
        stream = await self.connect(CALL.replace(b"calls", b"streams"))
        await self.wait_until(lambda: b"data" in stream.received)
        self.servers[0].scripts = [[]]
        calls = [await self.connect(CALL) for _ in range(3)]
        unread = await self.connect(CALL[:-2])
        await self.wait_until(lambda: len(daemon.node.world.requests.by_handle) == 4)

        def fail(world: Any, now: float) -> None:
            raise KeyError("a fault")

        with self.assertLogs("magnoliahold", "ERROR"):
            daemon.node.systems = (*daemon.node.systems, fail)
            await self.wait_until(lambda: not daemon.node.running)
        await self.wait_until(lambda: bool(self.stopped) and stream.closed)
        for client in calls:
            self.assertEqual(client.received.split()[1:2], [b"502"])
        self.assertEqual(unread.received.split()[1:2], [b"408"])
        self.assertFalse(stream.received.endswith(LAST_CHUNK))
        self.assertTrue(daemon.broken)

    @on_loopback
    async def test_answer_that_is_gone_is_reported_to_the_caller(self) -> None:
        daemon = await self.start_leaving([ANSWER_HEAD + b"Content-Length: 2\r\n\r\n"])
        client = await self.connect(CALL)
        table = daemon.node.world.requests
        await self.wait_until(lambda: bool(table.by_handle))
        (handle,) = table.by_handle
        with self.assertLogs("magnoliahold", "ERROR"):
            perform_effect(DeliverAnswer(handle, 99), daemon.node)
        await self.wait_until(lambda: bool(client.received))
        self.assertEqual(client.received.split()[1:2], [b"502"])

    @on_loopback
    async def test_connection_that_waits_at_the_close_of_the_listener_is_served(
        self,
    ) -> None:
        daemon = await self.start_leaving([WHOLE])
        _, _, port = self.settings["callers"].partition(":")
        clients = []
        for content in (CALL, b""):
            client = socket.create_connection(("127.0.0.1", int(port)))
            self.addCleanup(client.close)
            client.sendall(content)
            client.setblocking(False)
            clients.append(client)
        daemon.close_listener()
        daemon.node.ports.callers.close_idle()
        await self.sleep(0.1)
        clients[1].sendall(CALL)
        await self.sleep(0.3)
        for client in clients:
            self.assertEqual(client.recv(1000).split()[1:2], [b"200"])

    @on_loopback
    async def test_connection_behind_the_close_of_the_listener_is_refused(self) -> None:
        daemon = await self.start_leaving([WHOLE])
        _, _, port = self.settings["callers"].partition(":")
        daemon.close_listener()
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", int(port))).close()
