"""Runs tests over real loopback sockets, each on a reactor of its own."""

from __future__ import annotations

import unittest
from functools import wraps
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.selectreactor import SelectReactor
from twisted.internet.task import deferLater

from magnoliahold.standins.server import serve_resource

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from magnoliahold.standins.server import Listener

TEST_TIMEOUT_S = 10.0
POLL_S = 0.005


class LoopbackTestCase(unittest.TestCase):
    """A test case whose `reactor` runs while a test marked `on_loopback` runs."""

    def setUp(self) -> None:
        self.reactor: Any = SelectReactor()
        self.random = Random(1)
        self.listeners: list[Listener] = []

    def serve(self, resource: Any) -> Listener:
        """Serves a resource on a free port until the end of the test."""
        listener = serve_resource(self.reactor, resource, "127.0.0.1", 0)
        self.listeners.append(listener)
        return listener

    def sleep(self, seconds: float) -> Deferred[None]:
        """Waits for a time."""
        return deferLater(self.reactor, seconds, lambda: None)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds; the test's timeout bounds it."""
        while not condition():
            await self.sleep(POLL_S)


def on_loopback(
    test: Callable[[Any], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    """Marks a coroutine as a test that runs on the reactor, for a bounded time."""

    @wraps(test)
    def run(case: LoopbackTestCase) -> None:
        problems: list[Any] = []

        def finish(_result: Any) -> None:
            closing = [maybeDeferred(listener.close) for listener in case.listeners]
            for deferred in closing:
                deferred.addErrback(problems.append)
            case.reactor.callLater(0, case.reactor.stop)

        def start() -> None:
            running = Deferred.fromCoroutine(test(case))
            running.addTimeout(TEST_TIMEOUT_S, case.reactor)
            running.addErrback(problems.append).addBoth(finish)

        case.reactor.callWhenRunning(start)
        case.reactor.run(installSignalHandlers=False)
        if problems:
            problems[0].raiseException()

    return run
