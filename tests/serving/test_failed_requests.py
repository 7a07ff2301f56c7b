"""Tests that an error in this entry leaves no whole request without an answer."""

from __future__ import annotations

from typing import Any
from unittest import mock

from magnoliahold.serving import callerrequests
from magnoliahold.serving.callerexchanges import CallerExchange
from magnoliahold.serving.connectionends import EndCause
from magnoliahold.serving.exchanges import Exchange
from tests.loopback import on_loopback
from tests.serving.exchanging import make_body
from tests.serving.test_callers import HEAD, REQUEST, UPSTREAM, CallerTestCase

ERRORS = (KeyError("a fault"), RecursionError("a fault"), TypeError("a fault"))


class FailedRequestTests(CallerTestCase):
    @on_loopback
    async def test_request_whose_reading_fails_is_refused(self) -> None:
        for error in ERRORS:
            with (
                self.subTest(type(error).__name__),
                mock.patch.object(
                    callerrequests, "read_caller_request", side_effect=error
                ),
                self.assertLogs("magnoliahold", "ERROR") as logs,
            ):
                client = await self.connect(REQUEST)
                await self.wait_until(lambda client=client: client.closed)
                self.assertEqual(client.received.split()[1:2], [b"503"])
                self.assertIn(b"Request-Id: abc", client.received)
                self.assertEqual(logs.records[0].__dict__["fields"]["request"], "abc")
        self.assertEqual(self.events, [])
        await self.wait_until(lambda: not self.callers.channels)
        self.assertEqual(self.callers.ends, {EndCause.REFUSED: len(ERRORS)})

    @on_loopback
    async def test_request_that_can_not_be_passed_on_is_refused(self) -> None:
        self.callers.post = mock.Mock(side_effect=KeyError("a fault"))
        with self.assertLogs("magnoliahold", "ERROR"):
            client = await self.connect(REQUEST)
            await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.split()[1:2], [b"503"])
        self.assertEqual(self.callers._open_requests, {})

    @on_loopback
    async def test_error_while_headers_are_read_has_an_answer(self) -> None:
        client = await self.connect(HEAD)
        await self.wait_until(lambda: bool(self.callers.channels))
        (channel,) = self.callers.channels
        transport: Any = client.transport
        with (
            mock.patch.object(channel, "headerReceived", side_effect=KeyError("x")),
            self.assertLogs("magnoliahold", "ERROR"),
        ):
            transport.write(REQUEST.removeprefix(HEAD))
            await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.split()[1:2], [b"500"])
        await self.wait_until(lambda: not self.callers.channels)
        self.assertEqual(self.callers.ends, {EndCause.UNHANDLED_ERROR: 1})

    @on_loopback
    async def test_error_behind_a_stream_cuts_it(self) -> None:
        client, handle = await self.send_request(REQUEST)
        self.callers.open_answer(handle, Exchange(1, UPSTREAM, status=200))
        (channel,) = self.callers.channels
        transport: Any = client.transport
        with (
            mock.patch.object(channel, "rawDataReceived", side_effect=KeyError("x")),
            self.assertLogs("magnoliahold", "ERROR"),
        ):
            transport.write(REQUEST)
            await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.count(b"HTTP/1.1"), 1)
        await self.wait_until(lambda: not self.callers.channels)
        self.assertEqual(self.callers.ends, {EndCause.UNHANDLED_ERROR: 1})

    @on_loopback
    async def test_request_that_is_cut_before_its_answer_began_is_refused(self) -> None:
        client, handle = await self.send_request(REQUEST)
        self.callers.abort(handle)
        await self.wait_until(lambda: bool(client.received) or client.closed)
        self.assertEqual(client.received.split()[1:2], [b"502"])

    @on_loopback
    async def test_stream_that_was_never_opened_is_no_success(self) -> None:
        for content in (b"", b"id: 1\n\n"):
            with self.subTest(content):
                client, handle = await self.send_request(REQUEST)
                self.callers.write_pieces(handle, content)
                self.callers.finish_stream(handle, closing=False)
                await self.wait_until(lambda client=client: bool(client.received))
                self.assertEqual(client.received.split()[1:2], [b"502"])
                self.assertNotIn(b"id: 1", client.received)

    # Failure: the request was forgotten, and its connection stayed open.
    @on_loopback
    async def test_request_whose_answer_can_not_be_written_ends(self) -> None:
        headers = [(b"Response-Signature", b"s")]
        upstream = Exchange(
            1, UPSTREAM, status=200, headers=headers, body=make_body(b"x")
        )
        for error in ERRORS:
            client, handle = await self.send_request(REQUEST)
            writing = mock.patch.object(CallerExchange, "write", side_effect=error)
            with (
                self.subTest(type(error).__name__),
                self.assertLogs("magnoliahold", "ERROR"),
            ):
                with writing:
                    self.callers.answer(handle, upstream, closing=False)
                await self.wait_until(lambda client=client: client.closed)
                self.assertEqual(client.received, b"")
