"""Tests of the fakes with requests through real entry and sidecar nodes."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from magnoliahold.core.effects import RefuseRequest
from magnoliahold.core.events import CallArrived, GenerationArrived
from magnoliahold.core.workspaces import ServiceRule
from magnoliahold.measure.fakes.callers import GenerationCaller, ServiceCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.workspaces import make_work, make_workspace

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.fleet import Fleet


def make_small_fleet(seed: int) -> Fleet:
    """Builds a fleet of two entries, four engines and one service."""
    desk = ServiceRule("desk", ("desk-0",), ("GET /*",))
    workspace = make_workspace("kennels", [make_work("listing", "draft")], [desk])
    fleet = make_fleet(seed, FleetSpec(services={"desk": 1}), [workspace])
    fleet.run_for(2.0)
    return fleet


def make_generation_caller(fleet: Fleet, max_tokens: int = 100) -> GenerationCaller:
    """Builds a caller that requests one generation."""
    request = GenerationArrived(
        "", "kennels", "listing", "list the hounds", max_tokens, True, "print-1"
    )
    return GenerationCaller(fleet.clock, fleet, request)


class FleetTests(unittest.TestCase):
    """Generations and calls through a small fleet."""

    def test_generation_arrives_complete(self) -> None:
        fleet = make_small_fleet(1)
        caller = make_generation_caller(fleet)
        caller.start_request()
        fleet.run_for(5.0)
        self.assertEqual(len(caller.tokens), 100)
        self.assertIsNone(caller.find_break())
        self.assertEqual(caller.finish_reason, "length")

    def test_generation_survives_engine_crash(self) -> None:
        fleet = make_small_fleet(2)
        caller = make_generation_caller(fleet)
        caller.start_request()
        fleet.run_for(1.0)
        running = [engine for engine in fleet.engines.values() if engine.streams]
        self.assertEqual(len(running), 1)
        running[0].kill_engine()
        fleet.run_for(5.0)
        self.assertEqual(len(caller.tokens), 100)
        self.assertIsNone(caller.find_break())

    def test_refused_caller_ignores_reset_of_its_old_entry(self) -> None:
        fleet = make_small_fleet(4)
        caller = make_generation_caller(fleet)
        caller.start_request()
        entry, request_id = caller.entry, caller.request_id
        refusal = RefuseRequest(request_id, 503, "busy", "later", retry_after_s=0.05)
        fleet.callers[entry].refuse_request(refusal)
        fleet.run_for(0.03)
        fleet.leaving.add(entry)
        fleet.kill_process(entry)
        fleet.run_for(5.0)
        self.assertEqual((caller.reconnects, len(caller.refusals)), (0, 1))
        self.assertIsNone(caller.find_break())

    def test_call_is_answered(self) -> None:
        fleet = make_small_fleet(3)
        request = CallArrived(
            "", "kennels", "desk", "POST", "/book", (), b"booking-1", "print-2"
        )
        caller = ServiceCaller(fleet.clock, fleet, request)
        caller.start_request()
        fleet.run_for(1.0)
        answer = caller.answer
        self.assertIsNotNone(answer)
        self.assertEqual(answer and answer.body, b"booking-1")
        self.assertEqual(fleet.services["desk-0"].runs, {"booking-1": 1})
