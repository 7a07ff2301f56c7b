"""Tests of callers that reconnect to a stream with valid or invalid event ids."""

from __future__ import annotations

import unittest
from itertools import product
from typing import TYPE_CHECKING

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliahold.core.events import EventId, GenerationArrived
from magnoliahold.measure.fakes.callers import GenerationCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.workspaces import make_work, make_workspace

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.fleet import Fleet

TOKENS = 200
PROMPT = "list the hounds"
ANSWER_LIMIT_S = 30.0
VERSIONS = st.sampled_from(["v1", "v9", ""])


def make_small_fleet() -> Fleet:
    """Builds two entries and three engines."""
    workspace = make_workspace("kennels", [make_work("listing", "draft")])
    spec = FleetSpec(engines={"draft": 3})
    fleet = make_fleet(1, spec, [workspace])
    fleet.run_for(2.0)
    return fleet


def start_caller(
    fleet: Fleet,
    last_event: EventId | None = None,
    max_tokens: int = TOKENS,
    prefix: tuple[str, ...] = (),
) -> GenerationCaller:
    """Starts a new caller, or one that reconnects with a last event id."""
    request = GenerationArrived(
        "", "kennels", "listing", PROMPT, max_tokens, True, "print", last_event, prefix
    )
    caller = GenerationCaller(fleet.clock, fleet, request, max_refusals=0)
    caller.sends_prefix = bool(prefix)
    caller.last_event = last_event
    caller.tokens = list(prefix) or ["?"] * (last_event.offset if last_event else 0)
    caller.start_request()
    return caller


class ReconnectTests(unittest.TestCase):
    def test_lower_token_limit_than_the_stream_crashes_no_entry(self) -> None:
        for same_entry, limit in product((True, False), (5, 150)):
            with self.subTest(same_entry=same_entry, limit=limit):
                fleet = make_small_fleet()
                first = start_caller(fleet)
                fleet.run_for(2.0)
                last_event = first.last_event
                assert last_event is not None
                first.gave_up = True
                others = [name for name in fleet.list_entries() if name != first.entry]
                fleet.leaving.update(others if same_entry else [first.entry])
                second = start_caller(
                    fleet, evolve(last_event, offset=3), max_tokens=limit
                )
                fleet.run_for(ANSWER_LIMIT_S)
                self.assertTrue(second.done)
                self.assertLessEqual(len(second.tokens), limit)
                self.assertEqual(len(fleet.list_entries()), 2)

    def test_stream_survives_loss_of_entry_and_upstream_with_a_prefix(self) -> None:
        fleet = make_small_fleet()
        first = start_caller(fleet)
        fleet.run_for(2.0)
        last_event = first.last_event
        assert last_event is not None
        prefix = tuple(first.tokens)
        first.gave_up = True
        fleet.kill_instance(last_event.sidecar.removeprefix("sidecar-"))
        fleet.kill_process(first.entry)
        second = start_caller(fleet, last_event, prefix=prefix)
        fleet.run_for(ANSWER_LIMIT_S)
        self.assertEqual(len(second.tokens), TOKENS)
        self.assertIsNone(second.find_break())

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(
        st.integers(0, TOKENS),
        st.integers(1, TOKENS),
        VERSIONS,
        st.booleans(),
        st.booleans(),
        st.booleans(),
    )
    def test_any_event_id_gets_a_final_answer(
        self,
        offset: int,
        max_tokens: int,
        version: str,
        known_lineage: bool,
        with_prefix: bool,
        killed: bool,
    ) -> None:
        fleet = make_small_fleet()
        first = start_caller(fleet)
        fleet.run_for(1.0)
        last_event = first.last_event
        assert last_event is not None
        first.gave_up = True
        lineage = last_event.lineage if known_lineage else "lineage-x"
        offset = min(offset, max_tokens)
        event_id = EventId(lineage, last_event.sidecar, offset, version)
        if killed:
            fleet.kill_process(last_event.sidecar)
        prefix = ("made-up",) * offset if with_prefix else ()
        second = start_caller(fleet, event_id, max_tokens, prefix)
        fleet.run_for(ANSWER_LIMIT_S, 0.02)
        self.assertTrue(second.done)
        self.assertEqual(len(fleet.list_entries()), 2)
