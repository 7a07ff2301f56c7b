"""Tests that a request of a caller that can't be read is refused."""

from __future__ import annotations

from unittest.mock import Mock, patch

from magnoliahold.serving import callerrequests
from tests.loopback import on_loopback
from tests.platform.test_foreign_rows import ERRORS
from tests.serving.test_callers import GET, CallerTestCase

# What odd headers raise; any other error is a fault of this entry.
CALLER_ERRORS = (ValueError, ArithmeticError)


class OddRequestTests(CallerTestCase):
    # Failure: a request ended without an answer if its reader raised an error that
    # wasn't expected.
    @on_loopback
    async def test_request_is_refused_whatever_error_its_reader_raises(self) -> None:
        for name in ("read_caller_request", "check_numbers"):
            for error in ERRORS:
                failing = Mock(side_effect=error("odd"))
                with (
                    self.subTest(name, error=error.__name__),
                    patch.object(callerrequests, name, failing),
                    self.assertLogs("magnoliahold.callers", "WARNING") as logged,
                ):
                    client = await self.connect(GET)
                    await self.wait_until(lambda client=client: client.closed)
                    status = b"400" if issubclass(error, CALLER_ERRORS) else b"503"
                    self.assertEqual(client.received.split()[1:2], [status])
                    self.assertIn("refused", logged.output[0])
        self.assertEqual(self.events, [])
