"""Tests of requests at a silent upstream while no other one can take them."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    AbortAnswer,
    CloseAttempt,
    FinishAnswer,
    ProbeServingUpstream,
    RefuseCaller,
)
from magnoliahold.core.serving.events import (
    UpstreamFailedProbe,
    UpstreamSignalled,
)
from magnoliahold.core.serving.feeds import Feed
from tests.core.serving.harness import (
    CALLS,
    ENGINES,
    ServingHarness,
    make_configuration,
    make_route,
    make_upstream,
)

if TYPE_CHECKING:
    from magnoliahold.core.serving.upstreams import UpstreamRecord

SILENT_S = 1.5
KINDS = (
    (RouteKind.STREAM, ENGINES),
    (RouteKind.IDEMPOTENT, CALLS),
)
# How many other upstreams there are.
OTHERS = (
    ("none", 0),
    ("down", 3),
    ("leaving", 3),
    ("backing off", 3),
    ("gone", 3),
)


class SoleUpstreamTests(unittest.TestCase):
    def test_silence_ends_no_answer_that_nothing_else_can_give(self) -> None:
        for kind, service in KINDS:
            for state, others in OTHERS:
                with self.subTest(state, kind=kind):
                    self.play(kind, service, state, others)

    def play(self, kind: RouteKind, service: str, state: str, others: int) -> None:
        """Starts a request, and lets all upstreams be silent for a while."""
        harness = ServingHarness()
        records = [make_upstream(n, service) for n in range(1, others + 2)]
        harness.start(upstreams=tuple(records))
        caller = harness.request(kind, timeout_s=25.0)
        harness.report_no_prompts()
        attempt = harness.send()
        if kind is RouteKind.STREAM:
            harness.open(attempt, caller)
            harness.produce(attempt, 1)
        others_left = [item for item in records if item != attempt.upstream]
        take_away(harness, others_left, state)
        harness.emitted.clear()
        for _ in range(round(SILENT_S / 0.02)):
            harness.advance(0.02)
            for probe in harness.pop_effects(ProbeServingUpstream):
                harness.post(make_failed_probe(probe.upstream))
            for ended in (CloseAttempt, AbortAnswer, RefuseCaller):
                self.assertEqual(harness.pop_effects(ended), [])
        self.assertEqual(list(harness.world.requests.by_handle), [caller.handle])

    def test_stream_leaves_no_silent_engine_for_a_queue(self) -> None:
        for name, idle_s in (("used lately", 0.0), ("idle before", 3.0)):
            with self.subTest(name):
                self.play_full(idle_s)

    def play_full(self, idle_s: float) -> None:
        """Lets an engine fall silent, after an idle time, while the other is full."""
        urgent = make_route(
            RouteKind.STREAM, ENGINES, name="urgent", prefix="/u/", priority=1
        )
        whole = make_configuration()
        engines = evolve(whole.services[0], slots=1, keeps_copies=False)
        configuration = evolve(
            whole, routes=(*whole.routes, urgent), services=(engines,)
        )
        harness = ServingHarness()
        records = tuple(make_upstream(number, ENGINES) for number in (1, 2))
        harness.start(configuration, records)
        harness.advance(idle_s)
        running = harness.request(RouteKind.STREAM)
        busy = harness.send()
        harness.open(busy, running)
        caller = harness.request(RouteKind.STREAM)
        silent = harness.send()
        for piece in range(1, round(SILENT_S / 0.1)):
            harness.produce(busy, piece)
            harness.advance(0.1)
            for probe in harness.pop_effects(ProbeServingUpstream):
                if probe.upstream == silent.upstream:
                    harness.post(make_failed_probe(probe.upstream))
        self.assertEqual(harness.pop_effects(CloseAttempt), [])
        harness.open(silent, caller)
        harness.produce(silent, 1)
        harness.finish(silent)
        self.assertEqual(harness.pop_effect(FinishAnswer).handle, caller.handle)


def take_away(
    harness: ServingHarness, records: list[UpstreamRecord], state: str
) -> None:
    """Brings upstreams into a state in which they can't take requests."""
    if state == "down":
        harness.post(*(make_failed_probe(item) for item in records))
    elif state == "gone":
        harness.change(Feed.UPSTREAMS, {item.id: None for item in records})
    else:
        leaving = state == "leaving"
        backoff_s = None if leaving else 5.0
        harness.post(
            *(
                UpstreamSignalled(item.id, item.born_ms, leaving, backoff_s)
                for item in records
            )
        )


def make_failed_probe(record: UpstreamRecord) -> UpstreamFailedProbe:
    """Makes the result of a probe that a silent upstream didn't answer."""
    return UpstreamFailedProbe(record.id, record.born_ms, "no answer", True)


if __name__ == "__main__":
    unittest.main()
