"""Runs tests over real loopback sockets, each test on its own reactor."""

from __future__ import annotations

import gc
import unittest
from functools import wraps
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.selectreactor import SelectReactor
from twisted.internet.task import deferLater
from twisted.logger import globalLogPublisher
from twisted.python.failure import Failure

from magnoliahold.standins.server import serve_resource

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.logger import LogEvent

    from magnoliahold.standins.server import Listener

TEST_TIMEOUT_S = 10.0
POLL_S = 0.005


class LoopbackTestCase(unittest.TestCase):
    """A test case with a reactor, which `on_loopback` runs during a test.

    `timeout_s` bounds a test, and `make_reactor` makes its reactor.
    """

    timeout_s = TEST_TIMEOUT_S
    make_reactor: Callable[[], Any] = SelectReactor

    def setUp(self) -> None:
        self.reactor: Any = self.make_reactor()
        self.random = Random(1)
        self.listeners: list[Listener] = []

    def serve(self, resource: Any) -> Listener:
        """Serves a resource on a free port until the test ends."""
        listener = serve_resource(self.reactor, resource, "127.0.0.1", 0)
        self.listeners.append(listener)
        return listener

    def sleep(self, seconds: float) -> Deferred[None]:
        """Waits for some seconds."""
        return deferLater(self.reactor, seconds, lambda: None)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds; the test's timeout bounds it."""
        while not condition():
            await self.sleep(POLL_S)


def on_loopback(
    test: Callable[[Any], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    """Makes a coroutine a test that runs on the reactor, with a timeout.

    A failure that is only logged, such as an unhandled error in a Deferred, also fails
    the test.
    """

    @wraps(test)
    def run(case: LoopbackTestCase) -> None:
        reactor = case.reactor
        problems: list[Failure] = []

        def start() -> None:
            running = Deferred.fromCoroutine(test(case))
            running.addErrback(problems.append).addBoth(stop)

        def time_out() -> None:
            problems.append(
                Failure(TimeoutError(f"test did not finish within {case.timeout_s} s"))
            )
            stop(None)

        def stop(_result: object) -> None:
            if timeout.active():
                timeout.cancel()
            for listener in case.listeners:
                listener.close()
            reactor.callLater(0, reactor.stop)

        def collect_failure(event: LogEvent) -> None:
            if event.get("log_failure") is not None:
                problems.append(event["log_failure"])

        timeout = reactor.callLater(case.timeout_s, time_out)
        reactor.callWhenRunning(start)
        globalLogPublisher.addObserver(collect_failure)
        reactor.run(installSignalHandlers=False)
        gc.collect()
        globalLogPublisher.removeObserver(collect_failure)
        if problems:
            problems[0].raiseException()

    return run
