"""Tests that what a late tick knows as read was read before its pass of the reactor."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any
from unittest.mock import Mock

from twisted.internet.task import Clock

from magnoliahold.core.identity import Identity
from magnoliahold.core.policy import Policy
from magnoliahold.core.serving.policy import ServingPolicy
from magnoliahold.core.serving.systems.pauses import detect_pause
from magnoliahold.core.serving.world import ServingWorld
from magnoliahold.node import Node

TICK_S = 0.02
# How long the process stands still before the pass, and its first tick in the pass.
STILL_S = 0.3
LONG_TICK_S = 0.1
SLACK_S = 0.001


class PassClock(Clock):
    """A clock on which a tick takes time, and which reads only between passes."""

    read_at = 0.0

    def run_pass(self) -> None:
        """Runs what is due when the pass begins; then reads what has arrived."""
        began_at = self.rightNow
        pending = sorted(self.getDelayedCalls(), key=lambda item: item.getTime())
        for call in pending:
            if call.active() and call.getTime() <= began_at:
                self.calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)
        self.read_at = self.rightNow


class TicksOfOnePassTests(unittest.TestCase):
    # Failure: a tick that an event asked for and the periodic one ran behind each other
    # without a read between them; the second counted as hardly late.
    def test_second_tick_of_a_pass_knows_of_nothing_that_was_not_read(self) -> None:
        for posted_s in (0.0, TICK_S / 2, STILL_S):
            with self.subTest(posted_s=posted_s):
                clock = PassClock()
                world = ServingWorld(
                    identity=Identity("entry-1", "entry-1.a", "entry", "dc-1"),
                    random=Random(1),
                    policy=Policy(tick_s=TICK_S),
                    serving_policy=ServingPolicy(),
                    boot_clock=clock.seconds,
                )
                looks: list[tuple[float, float]] = []

                def work(
                    world: Any,
                    now: float,
                    clock: PassClock = clock,
                    looks: list[tuple[float, float]] = looks,
                ) -> None:
                    if now > TICK_S and world.scan_due:
                        looks.append((world.find_read_until(now), clock.read_at))
                        clock.rightNow += LONG_TICK_S

                node = Node(clock, world, (detect_pause, work), Mock())
                node.start_ticks()
                clock.run_pass()
                clock.rightNow += posted_s
                node.post_event(object())
                clock.rightNow += STILL_S - posted_s
                clock.run_pass()
                self.assertTrue(looks)
                for read_until, read_at in looks:
                    self.assertLessEqual(read_until, read_at + TICK_S + SLACK_S)


if __name__ == "__main__":
    unittest.main()
