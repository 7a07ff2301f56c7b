"""A TCP server for tests that answers before it has read its request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.protocol import Protocol, ServerFactory

from magnoliahold.core.serving.events import (
    AnswerReceived,
    AttemptInterrupted,
    StreamEnded,
)
from tests.flooding import HEAD_END
from tests.serving.exchanging import ExchangeTestCase

if TYPE_CHECKING:
    from collections.abc import Callable

READ_DELAY_S = 0.3
ENDS = (AnswerReceived, AttemptInterrupted, StreamEnded)


def close(transport: Any) -> None:
    """Closes the connection, which resets it if the request is unread."""
    transport.loseConnection()


def read_later(transport: Any) -> None:
    """Reads the request a little later."""
    transport.reactor.callLater(READ_DELAY_S, transport.resumeProducing)


@define(eq=False)
class EarlyServer(Protocol):
    """Answers as soon as it has read a head, and then acts on its connection."""

    answer: bytes
    act: Callable[[Any], None]
    received: bytearray = field(factory=bytearray)
    answered: bool = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data
        if self.answered or HEAD_END not in self.received:
            return
        self.answered = True
        transport: Any = self.transport
        transport.pauseProducing()
        transport.write(self.answer)
        self.act(transport)


class EarlyServerTestCase(ExchangeTestCase):
    """A test case with servers that answer early."""

    def listen_early(self, answer: bytes, act: Callable[[Any], None]) -> int:
        """Listens with a server that answers early, and returns its port."""
        factory = ServerFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: EarlyServer(answer, act)  # type: ignore
        listener: Any = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        listener.close = listener.stopListening
        self.listeners.append(listener)
        return int(listener.getHost().port)

    async def wait_for_end(self) -> Any:
        """Waits until the attempt has ended, and returns the event of its end."""
        await self.wait_until(
            lambda: any(isinstance(item, ENDS) for item in self.events)
        )
        (end,) = [item for item in self.events if isinstance(item, ENDS)]
        return end
