"""Tests that an error while a refusal is written leaves no caller waiting."""

from __future__ import annotations

from unittest import mock

from magnoliahold.serving.callerexchanges import CallerExchange
from magnoliahold.serving.exchanges import Exchange
from tests.loopback import on_loopback
from tests.serving.test_callers import REQUEST, UPSTREAM, CallerTestCase

UNAVAILABLE = 503
EVENT_STREAM = [(b"Content-Type", b"text/event-stream")]
WAIT_S = 1.0


class FailedRefusalTests(CallerTestCase):
    # Failure: the request had left the tables, and its connection stayed open.
    @on_loopback
    async def test_request_whose_refusal_can_not_be_written_ends(self) -> None:
        client, handle = await self.send_request(REQUEST)
        failing = mock.patch.object(CallerExchange, "write", side_effect=KeyError("x"))
        with failing, self.assertLogs("magnoliahold", "ERROR"):
            self.callers.refuse(handle, UNAVAILABLE, "full", None, closing=False)
        until = self.reactor.seconds() + WAIT_S
        await self.wait_until(lambda: client.closed or self.reactor.seconds() > until)
        self.assertTrue(client.closed)

    # Failure: the stream had left the tables, and its caller waited for its last bytes.
    @on_loopback
    async def test_stream_whose_end_can_not_be_written_is_cut(self) -> None:
        client, handle = await self.send_request(REQUEST)
        head = Exchange(1, UPSTREAM, status=200, headers=EVENT_STREAM, is_stream=True)
        self.callers.open_answer(handle, head)
        failing = mock.patch.object(CallerExchange, "finish", side_effect=KeyError("x"))
        with failing, self.assertLogs("magnoliahold", "ERROR"):
            self.callers.finish_stream(handle, closing=False)
        until = self.reactor.seconds() + WAIT_S
        await self.wait_until(lambda: client.closed or self.reactor.seconds() > until)
        self.assertTrue(client.closed)
        self.assertNotIn(b"\r\n0\r\n", client.received)

    # Failure: a reason that isn't text in UTF-8 ended the refusal.
    @on_loopback
    async def test_refusal_is_written_whatever_its_reason_holds(self) -> None:
        client, handle = await self.send_request(REQUEST)
        self.callers.refuse(handle, UNAVAILABLE, "odd \ud800", None, closing=True)
        until = self.reactor.seconds() + WAIT_S
        await self.wait_until(lambda: client.closed or self.reactor.seconds() > until)
        self.assertEqual(client.received.split()[1:2], [b"503"])
