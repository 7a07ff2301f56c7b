"""Tests that an answer that waits to be read isn't taken for no answer."""

from __future__ import annotations

import socket
import time
from threading import Thread

from magnoliahold.core.serving.events import UpstreamAnsweredProbe
from tests.loopback import on_loopback
from tests.serving.exchanging import ExchangeTestCase

PROBE_TIMEOUT_S = 0.2
# The upstream answers in time, while the process reads something long.
ANSWER_S = 0.1
BUSY_FROM_S = 0.05
BUSY_S = 0.4


class ProbesAfterPausesTests(ExchangeTestCase):
    def answer_once(self, listening: socket.socket) -> None:
        """Answers one probe as an upstream of another process."""
        connection, _ = listening.accept()
        with connection:
            connection.recv(65536)
            time.sleep(ANSWER_S)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            time.sleep(BUSY_S + PROBE_TIMEOUT_S)

    # Failure: the probe's timer, due in the pause, ran before the answer was read.
    @on_loopback
    async def test_probe_that_was_answered_during_a_pause_has_not_failed(self) -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening.close)
        thread = Thread(target=self.answer_once, args=(listening,))
        thread.start()
        self.addCleanup(thread.join)
        self.exchanges.probe(
            self.make_record(listening.getsockname()[1]), PROBE_TIMEOUT_S
        )
        # A handler, such as that of a large configuration, runs between the reactor's
        # look for what is readable and its timers.
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        reader = BusyReader(self.reactor, near)
        self.reactor.addReader(reader)
        self.reactor.callLater(BUSY_FROM_S, far.send, b"x")
        await self.wait_until(lambda: bool(self.events))
        self.assertIsInstance(self.events[0], UpstreamAnsweredProbe)


class BusyReader:
    """Takes long to handle what it reads."""

    def __init__(self, reactor: object, connection: socket.socket) -> None:
        self.reactor = reactor
        self.connection = connection

    def fileno(self) -> int:
        return self.connection.fileno()

    def logPrefix(self) -> str:  # noqa: N802
        return "busy"

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Does nothing."""

    def doRead(self) -> None:  # noqa: N802
        self.reactor.removeReader(self)  # type: ignore[attr-defined]
        self.connection.recv(1)
        time.sleep(BUSY_S)
