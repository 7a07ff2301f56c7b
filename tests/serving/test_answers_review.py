"""Cases of sound answers that the bounds of answers must let pass."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol, ServerFactory

from magnoliahold.core.serving.events import (
    AnswerReceived,
    AttemptInterrupted,
    StreamEnded,
)
from tests.loopback import on_loopback
from tests.serving.exchanging import ExchangeTestCase

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: abc\r\nResponse-Signature: s\r\n"
EVENTS = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
MIB = 1024 * 1024


class EarlyServer(Protocol):
    """Answers before it has read the request, and reads on a little later."""

    answer = b""
    close = False
    answered = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.answered:
            return
        self.answered = True
        transport: Any = self.transport
        transport.pauseProducing()
        transport.write(self.answer)
        if self.close:
            transport.loseConnection()
        else:
            transport.reactor.callLater(0.3, transport.resumeProducing)


class SoundAnswerTests(ExchangeTestCase):
    def listen(self, answer: bytes, close: bool = False) -> int:
        """Listens with a server that answers early."""
        factory = ServerFactory()
        factory.noisy = False

        def build(_: Any) -> EarlyServer:
            server = EarlyServer()
            server.answer = answer
            server.close = close
            return server

        factory.buildProtocol = build  # type: ignore
        listener: Any = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        listener.close = listener.stopListening
        self.listeners.append(listener)
        return int(listener.getHost().port)

    async def wait_for_end(self) -> type:
        """Waits until the attempt has ended, and returns the kind of its end."""
        ends = (AnswerReceived, AttemptInterrupted, StreamEnded)
        await self.wait_until(
            lambda: any(isinstance(item, ends) for item in self.events)
        )
        (end,) = [item for item in self.events if isinstance(item, ends)]
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
                    port = self.listen(HEAD + length + b"x" * size)
                    attempt = self.send(port, body=body)
                    self.assertIs(await self.wait_for_end(), AnswerReceived)
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
                self.send(self.listen(EVENTS + content, close=True))
                self.assertIs(await self.wait_for_end(), StreamEnded)
