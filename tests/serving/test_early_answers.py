"""Tests of answers without a length that begin before their request is read."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from magnoliahold.core.serving.events import (
    AnswerReceived,
    AttemptInterrupted,
    StreamEnded,
)
from tests.flooding import MIB, STATUS
from tests.loopback import on_loopback
from tests.serving.earlyservers import EarlyServerTestCase, close

if TYPE_CHECKING:
    from collections.abc import Callable

UPLOAD = b"y" * 8 * MIB
EVENTS = STATUS + b"Content-Type: text/event-stream\r\n"
# An answer that is a call's, and one that is a stream.
ANSWERS = (
    ("call", STATUS + b"\r\npart", AnswerReceived),
    ("stream", EVENTS + b"\r\nid: 1\ndata: a\n\n", StreamEnded),
)
RESET_DELAY_S = 0.1


def reset(transport: Any) -> None:
    """Resets the connection a little later: a reset discards what wasn't read."""
    transport.reactor.callLater(RESET_DELAY_S, transport.abortConnection)


def close_and_reset(transport: Any) -> None:
    """Closes this side of the connection, and resets it a little later."""
    transport.loseWriteConnection()
    reset(transport)


def close_and_read(transport: Any) -> None:
    """Closes this side of the connection, and reads the request later."""
    transport.loseWriteConnection()
    transport.reactor.callLater(RESET_DELAY_S, transport.resumeProducing)


BROKEN: tuple[tuple[str, Callable[[Any], None]], ...] = (
    ("reset", reset),
    ("closed with the request unread", close),
    ("closed, then reset", close_and_reset),
)


class EarlyAnswerTests(EarlyServerTestCase):
    async def send_upload(self, answer: bytes, act: Callable[[Any], None]) -> Any:
        """Sends a long request, and returns the event of its end."""
        self.events.clear()
        self.send(self.listen_early(answer, act), body=UPLOAD)
        return await self.wait_for_end()

    # Failure: a part of an answer was taken for all of it, since its upstream had
    # closed the connection before it reset that.
    @on_loopback
    async def test_answer_that_is_reset_beside_an_upload_is_not_complete(self) -> None:
        for name, act in BROKEN:
            for kind, answer, _ in ANSWERS:
                with self.subTest(name, kind=kind):
                    end = await self.send_upload(answer, act)
                    self.assertIsInstance(end, AttemptInterrupted)

    @on_loopback
    async def test_answer_whose_upload_is_read_later_is_complete(self) -> None:
        for kind, answer, complete in ANSWERS:
            with self.subTest(kind):
                end = await self.send_upload(answer, close_and_read)
                self.assertIsInstance(end, complete)
