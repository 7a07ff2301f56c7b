"""Tests that an error in this entry leaves no whole request without an answer."""

from __future__ import annotations

from unittest import mock

from magnoliahold.serving import callers as callers_module
from magnoliahold.serving.connectionends import EndCause
from tests.loopback import on_loopback
from tests.serving.test_callers import REQUEST, CallerTestCase

ERRORS = (KeyError("a fault"), RecursionError("a fault"), TypeError("a fault"))


class FailedRequestTests(CallerTestCase):
    @on_loopback
    async def test_request_whose_reading_fails_is_refused(self) -> None:
        for error in ERRORS:
            with (
                self.subTest(type(error).__name__),
                mock.patch.object(
                    callers_module, "read_caller_request", side_effect=error
                ),
                self.assertLogs("magnoliahold", "ERROR") as logs,
            ):
                client = await self.connect(REQUEST)
                await self.wait_until(lambda client=client: client.closed)
                self.assertEqual(client.received.split()[1:2], [b"503"])
                self.assertIn(b"Request-Id: abc", client.received)
                self.assertEqual(logs.records[0].__dict__["fields"]["request"], "abc")
        self.assertEqual(self.events, [])
        self.assertEqual(self.callers.ends, {EndCause.REFUSED: len(ERRORS)})

    @on_loopback
    async def test_request_that_can_not_be_passed_on_is_refused(self) -> None:
        self.callers.post = mock.Mock(side_effect=KeyError("a fault"))
        with self.assertLogs("magnoliahold", "ERROR"):
            client = await self.connect(REQUEST)
            await self.wait_until(lambda: client.closed)
        self.assertEqual(client.received.split()[1:2], [b"503"])
        self.assertEqual(self.callers._open_requests, {})
