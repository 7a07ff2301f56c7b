"""Tests that no whole request of a caller ends with neither answer nor refusal."""

from __future__ import annotations

from tests.loopback import on_loopback
from tests.serving.test_callers import REQUEST, CallerTestCase


class CallerConnectionTests(CallerTestCase):
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
    async def test_request_that_was_not_read_in_time_is_logged(self) -> None:
        with self.assertLogs("magnoliahold", "INFO") as logged:
            client = await self.connect(REQUEST[:-1])
            await self.wait_until(lambda: client.closed)
        self.assertEqual(self.callers.unanswered, {"entry": 1})
        fields = logged.records[0].__dict__["fields"]
        self.assertEqual(fields["reason"], "it was idle for too long")
        self.assertFalse(fields["read"])
