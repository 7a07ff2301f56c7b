"""Tests that an admitted request keeps the configuration with which it was admitted."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind, ServiceShare, Workspace
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    DeliverAnswer,
    FinishAnswer,
    RefuseCaller,
    SendAttempt,
)
from magnoliahold.core.serving.events import AttemptSent, PromptsListed
from magnoliahold.core.serving.feeds import Feed
from tests.core.serving.harness import (
    ENGINES,
    ServingHarness,
    make_configuration,
    make_route,
    make_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.configuration import Configuration, Route
    from magnoliahold.core.serving.requests import CallerRequest

    Change = Callable[[Configuration], Configuration]

# Expected time of a stream at its engine, so that others wait for it.
RUN_S = 0.5
STATES = ("looked up", "held", "sent", "begun", "broken")
CALL_STATES = (
    (RouteKind.IDEMPOTENT, False),
    (RouteKind.IDEMPOTENT, True),
    (RouteKind.NOT_REPEATABLE, False),
)
SERVED = (DeliverAnswer, FinishAnswer)
FAILED = (AbortAnswer, RefuseCaller)


def make_ranked_configuration() -> Configuration:
    """Makes a configuration in which streams queue: they differ in rank."""
    whole = make_configuration()
    urgent = make_route(RouteKind.STREAM, ENGINES, name="u", prefix="/u/", priority=1)
    engines = evolve(whole.services[0], slots=1, keeps_copies=False)
    services = (engines, *whole.services[1:])
    return evolve(whole, routes=(*whole.routes, urgent), services=services)


def change_routes(**values: object) -> Change:
    """Makes a change of all routes."""

    def change(whole: Configuration) -> Configuration:
        routes: tuple[Route, ...] = tuple(evolve(i, **values) for i in whole.routes)
        return evolve(whole, routes=routes)

    return change


CHANGES: tuple[tuple[str, Change], ...] = (
    ("no routes", lambda whole: evolve(whole, routes=())),
    ("no services", lambda whole: evolve(whole, services=())),
    ("no workspaces", lambda whole: evolve(whole, workspaces=None)),
    ("an empty list of workspaces", lambda whole: evolve(whole, workspaces=())),
    ("other keys", lambda whole: evolve(whole, workspaces=(Workspace("w", ("k",)),))),
    ("nothing", lambda whole: evolve(whole, routes=(), services=(), workspaces=None)),
    ("no ranks", lambda whole: evolve(whole, routes=whole.routes[:3])),
    ("other service", change_routes(shares=(ServiceShare("nowhere", 1.0),))),
    ("other kind", change_routes(kind=RouteKind.NOT_REPEATABLE)),
    ("not resumable", change_routes(resumable=False)),
    ("short timeout", change_routes(timeout_s=0.001)),
    ("no goal", change_routes(goal_s=0.0)),
    ("one attempt", change_routes(max_attempts=1)),
)


class RequestsBesideChangesTests(unittest.TestCase):
    def test_change_ends_no_admitted_stream(self) -> None:
        for state in STATES:
            for name, change in CHANGES:
                with self.subTest(state, change=name):
                    self.play(state, change)

    def test_change_ends_no_admitted_call(self) -> None:
        for kind, broken in CALL_STATES:
            for name, change in CHANGES:
                with self.subTest(kind=kind, broken=broken, change=name):
                    self.play_call(kind, broken, change)

    def play_call(self, kind: RouteKind, broken: bool, change: Change) -> None:
        """Changes the configuration beside a call, which may have to be repeated."""
        harness = ServingHarness()
        whole = make_configuration()
        harness.start(whole)
        caller = harness.request(kind)
        attempt = harness.send()
        if broken:
            harness.interrupt(attempt)
            attempt = harness.send()
        changed = evolve(change(whole), version=2)
        harness.change(Feed.CONFIGURATION, {"config": changed})
        harness.advance(0.04)
        harness.answer(attempt, caller, 200)
        self.assertEqual(harness.pop_effect(DeliverAnswer).handle, caller.handle)
        self.assertEqual(harness.world.requests.by_handle, {})

    def play(self, state: str, change: Change) -> None:
        """Brings a stream into a state, changes the configuration, and serves it."""
        harness = ServingHarness()
        whole = make_ranked_configuration()
        numbers = (1,) if state == "held" else (1, 2)
        harness.start(whole, tuple(make_upstream(n, ENGINES) for n in numbers))
        harness.world.mean_run_by_service[ENGINES] = RUN_S
        busy = harness.request(RouteKind.STREAM) if state == "held" else None
        first = harness.send() if busy is not None else None
        resume_after = 3 if state == "looked up" else None
        caller = harness.request(RouteKind.STREAM, resume_after=resume_after)
        held = [*harness.world.queues[ENGINES].held]
        self.assertEqual(held, [caller.handle] if state == "held" else [])
        if state in ("sent", "begun", "broken"):
            attempt = harness.send()
            if state != "sent":
                harness.open(attempt, caller)
                harness.produce(attempt, 1)
            if state == "broken":
                harness.interrupt(attempt)
            else:
                harness.emitted.append(attempt)
        harness.change(Feed.CONFIGURATION, {"config": evolve(change(whole), version=2)})
        self.assertEqual(harness.world.configuration, evolve(change(whole), version=2))
        harness.advance(0.04)
        if busy is not None and first is not None:
            self.serve(harness, busy, [first])
        if state == "looked up":
            ids = list(harness.world.upstreams.by_id)
            harness.post(*(PromptsListed(item, ()) for item in ids))
        harness.advance(0.04)
        self.serve(harness, caller, harness.pop_effects(SendAttempt))
        self.assertEqual(harness.world.requests.by_handle, {})

    def serve(
        self,
        harness: ServingHarness,
        caller: CallerRequest,
        attempts: list[SendAttempt],
    ) -> None:
        """Completes a request at the upstream that it was sent to last."""
        attempt = attempts[-1]
        harness.post(AttemptSent(attempt.attempt))
        running = harness.world.requests.attempts[attempt.attempt]
        if not running.pieces:
            harness.open(attempt, caller)
        harness.produce(attempt, 9)
        harness.finish(attempt)
        ended = [i for i in harness.emitted if isinstance(i, (*SERVED, *FAILED))]
        handles = [item.handle for item in ended if isinstance(item, SERVED)]
        self.assertEqual(handles, [caller.handle], ended)
        self.assertEqual(len(ended), 1)
        harness.emitted = [i for i in harness.emitted if i not in ended]


if __name__ == "__main__":
    unittest.main()
