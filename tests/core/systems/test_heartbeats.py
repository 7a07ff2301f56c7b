"""Tests of when heartbeats are sent and loads are reported."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import TYPE_CHECKING
from unittest.mock import patch

from magnoliahold.core.events import GenerationArrived
from magnoliahold.core.policy import MembershipPolicy, Policy
from magnoliahold.measure.fakes.callers import GenerationCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.network import FakeNetwork
from magnoliahold.measure.fakes.workspaces import make_work, make_workspace
from magnoliahold.wire.messages import Heartbeat

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.fleet import Fleet
    from magnoliahold.wire.codec import Header
    from magnoliahold.wire.messages import Message

TOKENS = 500
RESUME_LIMIT_S = 2.0
LONG_INTERVAL_S = 30.0


def make_small_fleet(
    engines: int = 4, entries: int = 1, policy: Policy | None = None
) -> Fleet:
    """Builds a fleet of engines with one role."""
    workspace = make_workspace("kennels", [make_work("listing", "draft")])
    spec = FleetSpec(entries=entries, engines={"draft": engines})
    fleet = make_fleet(1, spec, [workspace], policy)
    fleet.run_for(2.0)
    return fleet


def start_caller(fleet: Fleet, prompt: str = "list the hounds") -> GenerationCaller:
    """Starts a caller that asks for one listing."""
    request = GenerationArrived("", "kennels", "listing", prompt, TOKENS, True, prompt)
    caller = GenerationCaller(fleet.clock, fleet, request)
    caller.start_request()
    return caller


def count_heartbeats(fleet: Fleet, seconds: float) -> Counter[tuple[str, bool]]:
    """Counts heartbeats by sender and by whether they are answers."""
    counts: Counter[tuple[str, bool]] = Counter()
    send_message = FakeNetwork.send_message

    def send(
        network: FakeNetwork, sender: str, receiver: str, message: Message, head: Header
    ) -> bool:
        if isinstance(message, Heartbeat):
            counts[sender, message.answer] += 1
        return send_message(network, sender, receiver, message, head)

    with patch.object(FakeNetwork, "send_message", send):
        fleet.run_for(seconds)
    return counts


class HeartbeatTests(unittest.TestCase):
    def test_idle_links_and_links_with_tokens_get_few_heartbeats(self) -> None:
        fleet = make_small_fleet()
        for state in ("resting", "flowing"):
            with self.subTest(state):
                counts = count_heartbeats(fleet, 4.0)
                self.assertLessEqual(counts["entry-0", False], 4 * 5)
                start_caller(fleet)
                fleet.run_for(0.5)

    def test_silence_of_one_link_triggers_heartbeats_on_all(self) -> None:
        fleet = make_small_fleet(engines=8)
        caller = start_caller(fleet)
        fleet.run_for(1.0)
        last_event = caller.last_event
        sidecar = last_event.sidecar if last_event else ""
        others = [f"sidecar-{name}" for name in fleet.engines if name not in sidecar]
        for name in (sidecar, *others[:-1]):
            fleet.network.cut_pair("entry-0", name)
        before = len(caller.tokens)
        fleet.run_for(RESUME_LIMIT_S)
        self.assertGreater(len(caller.tokens), before)
        lost = fleet.journal.decisions["resumption: Attempt lost, resuming."]
        self.assertEqual(lost, 1)
        used = caller.last_event
        self.assertEqual(used and used.sidecar, others[-1])

    def test_changed_load_is_reported_before_the_next_heartbeat(self) -> None:
        membership = MembershipPolicy(resting_heartbeat_s=LONG_INTERVAL_S)
        fleet = make_small_fleet(entries=2, policy=Policy(membership=membership))
        fleet.leaving.add("entry-1")
        for number in range(fleet.spec.capacity):
            start_caller(fleet, f"list {number}")
        fleet.run_for(0.4)
        for entry in fleet.list_entries():
            sidecars = fleet.find_node(entry).world.peers.list_by_role("sidecar")
            reported = sum(peer.report.running for peer in sidecars if peer.report)
            self.assertEqual(reported, fleet.spec.capacity)
