"""Cases of sound answers that the bounds of answers must let pass."""

from __future__ import annotations

from magnoliahold.core.serving.events import (
    AnswerReceived,
    AttemptInterrupted,
    StreamEnded,
)
from tests.loopback import on_loopback
from tests.serving.earlyservers import EarlyServerTestCase, close, read_later

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: abc\r\nResponse-Signature: s\r\n"
EVENTS = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
MIB = 1024 * 1024


class SoundAnswerTests(EarlyServerTestCase):
    async def find_end(self) -> type:
        """Waits until the attempt has ended, and returns the kind of its end."""
        end = await self.wait_for_end()
        if isinstance(end, AttemptInterrupted):
            self.fail(end.reason)
        return type(end)

    @on_loopback
    async def test_large_answer_before_the_request_was_read(self) -> None:
        for size in (40_000, 1 * MIB, 12 * MIB):
            for body in (b"", b"y" * 8 * MIB):
                with self.subTest(size=size, body=len(body)):
                    self.events.clear()
                    length = b"Content-Length: %d\r\n\r\n" % size
                    port = self.listen_early(HEAD + length + b"x" * size, read_later)
                    attempt = self.send(port, body=body)
                    self.assertIs(await self.find_end(), AnswerReceived)
                    exchange = self.exchanges.find(attempt)
                    assert exchange is not None
                    self.assertEqual(len(exchange.body), size)

    @on_loopback
    async def test_long_stream(self) -> None:
        for size in (12, 20):
            with self.subTest(mib=size):
                self.events.clear()
                event = b"id: %d\ndata: " + b"a" * 1000 + b"\n\n"
                content = b"".join(event % n for n in range(1, size * 1024))
                self.send(self.listen_early(EVENTS + content, close))
                self.assertIs(await self.find_end(), StreamEnded)
