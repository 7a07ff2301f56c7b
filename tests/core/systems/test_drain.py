"""Tests of planned stops of single processes."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.events import GenerationArrived
from magnoliahold.core.policy import DrainPolicy, Policy
from magnoliahold.measure.fakes.callers import GenerationCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.workspaces import make_work, make_workspace
from magnoliahold.node import make_header
from magnoliahold.wire.messages import AckTokens, Leave

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.fleet import Fleet

TOKENS = 200
LEAVE_PROPAGATION_S = 3.0


def make_small_fleet(policy: Policy | None = None) -> Fleet:
    """Builds two entries and four engines."""
    workspace = make_workspace("kennels", [make_work("listing", "draft")])
    fleet = make_fleet(1, FleetSpec(), [workspace], policy)
    fleet.run_for(2.0)
    return fleet


def make_request(*, stream: bool = True) -> GenerationArrived:
    """Makes a request for a long listing."""
    return GenerationArrived(
        "", "kennels", "listing", "list the hounds", TOKENS, stream, "print-1"
    )


def start_caller(fleet: Fleet, *, stream: bool = True) -> GenerationCaller:
    """Starts a long generation and waits for its first tokens."""
    request = make_request(stream=stream)
    caller = GenerationCaller(fleet.clock, fleet, request)
    caller.start_request()
    fleet.run_for(1.0)
    return caller


class DrainTests(unittest.TestCase):
    def assert_uninterrupted(self, caller: GenerationCaller) -> None:
        self.assertEqual(len(caller.tokens), TOKENS)
        self.assertIsNone(caller.find_break())
        self.assertEqual(
            (caller.restarts, caller.reconnects, caller.refusals), (0, 0, [])
        )

    def test_stop_waits_for_requests_in_flight(self) -> None:
        for kind in ("entry", "sidecar"):
            for stream in (True, False):
                with self.subTest(kind=kind, stream=stream):
                    fleet = make_small_fleet()
                    caller = start_caller(fleet, stream=stream)
                    assert caller.last_event is not None
                    sidecar = caller.last_event.sidecar
                    name = caller.entry if kind == "entry" else sidecar
                    fleet.stop_process(name)
                    fleet.run_for(2.0)
                    self.assertEqual(fleet.stopped, [])
                    fleet.run_for(4.0)
                    self.assertEqual(fleet.stopped, [(name, "drained")])
                    self.assert_uninterrupted(caller)

    def test_streams_beyond_the_drain_limit_continue_elsewhere(self) -> None:
        policy = evolve(Policy(), drain=DrainPolicy(drain_limit_s=0.5))
        fleet = make_small_fleet(policy)
        caller = start_caller(fleet)
        assert caller.last_event is not None
        sidecar = caller.last_event.sidecar
        fleet.stop_process(sidecar)
        fleet.run_for(1.5)
        self.assertEqual(fleet.stopped, [(sidecar, "drained")])
        fleet.run_for(4.0)
        self.assert_uninterrupted(caller)

    def test_leaving_upstream_gets_no_new_work(self) -> None:
        for way in ("signal", "order", "list"):
            with self.subTest(way=way):
                fleet = make_small_fleet()
                name = "sidecar-draft-0"
                if way == "signal":
                    fleet.stop_process(name)
                elif way == "order":
                    world = fleet.find_node("entry-0").world
                    header = make_header(world, name, 0.0, 0.0)
                    fleet.network.send_message("entry-0", name, Leave(name), header)
                else:
                    fleet.mark_listed_leaving(name)
                fleet.run_for(LEAVE_PROPAGATION_S)
                propagated_at = fleet.now()
                for _ in range(20):
                    start_caller(fleet)
                started = fleet.engines["draft-0"].started_by_version.get("v1", [])
                self.assertFalse([at for at in started if at > propagated_at])

    def test_leaving_entry_refuses_late_requests_as_not_run(self) -> None:
        fleet = make_small_fleet()
        busy = start_caller(fleet)
        fleet.stop_process(busy.entry)
        caller = GenerationCaller(fleet.clock, fleet, make_request())
        fleet.run_for(1.2)
        fleet.send_request(busy.entry, caller.request, caller)
        fleet.run_for(0.1)
        refusal = caller.refusals[0]
        self.assertEqual((refusal.code, refusal.ran), ("leaving", "not_run"))
        self.assertIsNotNone(refusal.retry_after_s)
        fleet.run_for(5.0)
        self.assertEqual(len(caller.tokens), TOKENS)
        self.assert_uninterrupted(busy)

    def test_lost_last_acknowledgement_does_not_delay_the_stop(self) -> None:
        fleet = make_small_fleet()
        caller = start_caller(fleet)
        assert caller.last_event is not None
        fleet.run_for(2.5)
        fleet.network.messages_to_drop[AckTokens] = 10
        fleet.stop_process(caller.last_event.sidecar)
        fleet.run_for(4.0)
        self.assertEqual(len(fleet.stopped), 1)

    def test_listed_leaving_mark_does_not_apply_to_the_next_incarnation(self) -> None:
        fleet = make_small_fleet()
        name = "sidecar-draft-0"
        fleet.mark_listed_leaving(name)
        fleet.stop_process(name)
        fleet.run_for(4.0)
        fleet.add_sidecar("draft-0")
        fleet.run_for(3.0)
        peer = fleet.find_node("entry-0").world.peers.peers[name]
        self.assertTrue(peer.usable)
