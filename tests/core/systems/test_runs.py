"""Tests of a sidecar's runs and fences."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from magnoliahold.core.effects import SendMessage, StartServiceCall
from magnoliahold.core.events import MessageExpired, Received, ServiceFailed
from magnoliahold.core.identity import Identity, Sender
from magnoliahold.core.streams import Upstream
from magnoliahold.core.systems import runs
from magnoliahold.core.worlds import SidecarWorld
from magnoliahold.wire.messages import CallFailed, CallVerdict, FenceCall, StartCall

ENTRY = Sender("entry-0", "entry-0.1")
START = StartCall("nonce", "kennels", "desk", "POST", "/book", (), b"", expires_at=2.0)
FENCE = FenceCall("nonce", 2.0)
KEPT_S = 3600.0


def make_world() -> SidecarWorld:
    """Builds the sidecar of a live service."""
    identity = Identity("sidecar-desk-0", "sidecar-desk-0.1", "sidecar", "dc-0")
    upstream = Upstream("desk-0", "service", 4, ready=True)
    return SidecarWorld(identity, Random(1), upstream=upstream)


def run_tick(world: SidecarWorld, now: float, *events: object) -> list[object]:
    """Runs the call systems on some events and returns the effects."""
    for event in events:
        world.inbox.add_event(event)
    for system in (
        runs.finish_runs,
        runs.report_lost_runs,
        runs.start_runs,
        runs.fence_runs,
        runs.expire_runs,
    ):
        system(world, now)
    world.inbox.clear_events()
    effects, world.effects = world.effects, []
    return effects


def list_verdicts(effects: list[object]) -> list[str]:
    """Lists the verdicts among effects."""
    messages = [item.message for item in effects if isinstance(item, SendMessage)]
    return [item.verdict for item in messages if isinstance(item, CallVerdict)]


def list_not_run(effects: list[object]) -> list[bool]:
    """Lists the `not_run` flags of the failures among effects."""
    messages = [item.message for item in effects if isinstance(item, SendMessage)]
    return [item.not_run for item in messages if isinstance(item, CallFailed)]


class FenceTests(unittest.TestCase):
    def test_call_starts_only_once_and_only_in_time(self) -> None:
        start, fence = Received(ENTRY, START), Received(ENTRY, FENCE)
        table: tuple[tuple[Any, ...], ...] = (
            ("alone", [(0.0, start)], 1),
            ("twice", [(0.0, start), (0.1, start)], 1),
            ("after its fence", [(0.0, fence), (0.1, start)], 0),
            ("in one tick with its fence", [(0.0, start), (0.0, fence)], 1),
            ("delayed past its expiry", [(2.1, start)], 0),
            (
                "after it was found expired",
                [(0.0, MessageExpired(ENTRY, START)), (0.1, start)],
                0,
            ),
            (
                "after it was not sent",
                [
                    (0.0, start),
                    (0.1, ServiceFailed("nonce", True, "refused")),
                    (0.2, start),
                ],
                1,
            ),
        )
        for name, steps, starts in table:
            with self.subTest(name):
                world = make_world()
                effects = [
                    effect
                    for at, event in steps
                    for effect in run_tick(world, at, event)
                ]
                count = sum(isinstance(item, StartServiceCall) for item in effects)
                self.assertEqual(count, starts)

    def test_verdict_matches_the_state_of_the_run(self) -> None:
        start = Received(ENTRY, START)
        lost = ServiceFailed("nonce", False, "reset")
        unsent = ServiceFailed("nonce", True, "refused")
        table: tuple[tuple[Any, ...], ...] = (
            ("never received", [], 3.0, "fenced"),
            ("runs", [start], 3.0, "running"),
            ("lost", [start, lost], 3.0, "lost"),
            ("not sent", [start, unsent], 3.0, "fenced"),
            ("lost, within the retention time", [start, lost], KEPT_S - 1.0, "lost"),
            (
                "lost, after the retention time",
                [start, lost],
                KEPT_S + 10.0,
                "forgotten",
            ),
        )
        for name, events, queried_at, verdict in table:
            with self.subTest(name):
                world = make_world()
                for number, event in enumerate(events):
                    run_tick(world, 0.1 * number, event)
                run_tick(world, queried_at - 0.1)
                effects = run_tick(world, queried_at, Received(ENTRY, FENCE))
                self.assertEqual(list_verdicts(effects), [verdict])

    def test_lost_run_is_reported_after_a_delay_without_a_probe(self) -> None:
        world = make_world()
        run_tick(world, 0.0, Received(ENTRY, START))
        lost = ServiceFailed("nonce", False, "reset")
        self.assertEqual(list_not_run(run_tick(world, 0.1, lost)), [])
        self.assertEqual(list_not_run(run_tick(world, 0.7)), [False])
