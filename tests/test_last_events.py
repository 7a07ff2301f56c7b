"""Tests that what is read before a process of the own deployment ends is decided."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any
from unittest.mock import Mock

from twisted.internet.task import Clock

from magnoliahold.core.effects import StopProcess
from magnoliahold.core.events import CallArrived
from magnoliahold.core.identity import Identity
from magnoliahold.core.worlds import EntryWorld
from magnoliahold.daemon import Daemon
from magnoliahold.node import Node


class LastEventTests(unittest.TestCase):
    # Failure: a request that was read between the decision to stop and the stop was
    # posted, and never decided upon: its caller got neither an answer nor a refusal.
    def test_request_that_is_read_before_the_stop_is_decided_upon(self) -> None:
        clock = Clock()
        identity = Identity("entry-1", "entry-1.a", "entry", "dc-1")
        world = EntryWorld(identity, Random(1))
        decided: list[Any] = []

        def decide(world: Any, now: float) -> None:
            decided.extend(world.inbox.consume_events(CallArrived))
            if not world.stopping:
                world.stopping = True
                world.emit(StopProcess("drained"))

        ports = Mock()
        node = Node(clock, world, (decide,), ports)
        stopped: list[str] = []
        daemon = Daemon(clock, identity, node, Mock(), Mock(), Mock(), stopped.append)
        ports.stop = lambda reason: clock.callLater(0, daemon.stop, reason)
        node.start_ticks()
        call = CallArrived("r-1", "w", "desk", "POST", "/runs", (), b"", "f")
        node.post_event(call)
        clock.advance(0)
        self.assertEqual(stopped, ["drained"])
        self.assertEqual(len(decided), 1)


if __name__ == "__main__":
    unittest.main()
