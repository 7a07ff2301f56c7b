"""Tests calls to plain services in a simulated fleet under faults."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from attrs import define

from magnoliahold.core.calls import Dispatch
from magnoliahold.core.events import CallArrived, Received
from magnoliahold.core.identity import Sender
from magnoliahold.core.systems.dispatch import is_target_usable
from magnoliahold.core.workspaces import ServiceRule
from magnoliahold.measure.calls import count_runs, has_false_not_run_refusal, run_calls
from magnoliahold.measure.fakes.callers import ServiceCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.workspaces import make_workspace
from magnoliahold.measure.options import BASELINE, MeasureOptions
from magnoliahold.wire.messages import CallFailed

if TYPE_CHECKING:
    from magnoliahold.core.events import GenerationArrived
    from magnoliahold.measure.fakes.callers import Session
    from magnoliahold.measure.fakes.fleet import Fleet

BODY = b"booking"
ANSWER_LIMIT_S = 9.0


def make_service_fleet(seed: int, upstreams: int = 1, entries: int = 2) -> Fleet:
    """Builds a fleet with one service whose calls take half a second."""
    names = tuple(f"desk-{number}" for number in range(upstreams))
    rule = ServiceRule("desk", names, ("GET /*",))
    spec = FleetSpec(entries=entries, engines={}, services={"desk": upstreams})
    fleet = make_fleet(seed, spec, [make_workspace("kennels", [], [rule])])
    for service in fleet.services.values():
        service.work_s = 0.5
    fleet.run_for(2.0)
    return fleet


@define(eq=False)
class SingleEntryBalancer:
    """A load balancer that sends every request to one entry."""

    fleet: Fleet
    entry: str

    def choose_entry(self) -> str | None:
        """Returns the entry."""
        return self.entry

    def send_request(
        self, entry: str, event: GenerationArrived | CallArrived, session: Session
    ) -> str:
        """Sends a request to the entry."""
        return self.fleet.send_request(entry, event, session)

    def disconnect_caller(self, entry: str, request_id: str) -> None:
        """Closes a caller's connection."""
        self.fleet.disconnect_caller(entry, request_id)


def send_call(
    fleet: Fleet,
    key: str = "",
    method: str = "POST",
    entry: str = "entry-0",
    body: bytes = BODY,
) -> ServiceCaller:
    """Sends one call to one entry."""
    request = CallArrived(
        "", "kennels", "desk", method, "/book", (), body, "print", idempotency_key=key
    )
    caller = ServiceCaller(fleet.clock, SingleEntryBalancer(fleet, entry), request)
    caller.start_request()
    return caller


def name_outcome(caller: ServiceCaller) -> str:
    """Returns "answered", the code of the refusal, or "none"."""
    if caller.answer is not None:
        return "answered"
    return caller.refusal.code if caller.refusal else "none"


class CallFaultTests(unittest.TestCase):
    def check_outcome(
        self, fleet: Fleet, caller: ServiceCaller, expected: str, runs: int
    ) -> None:
        fleet.run_for(ANSWER_LIMIT_S)
        self.assertEqual(name_outcome(caller), expected)
        fleet.run_for(5.0)
        self.assertEqual(count_runs(fleet)[BODY], runs)
        self.assertFalse(has_false_not_run_refusal(fleet, caller))

    def test_each_fault_gives_the_expected_outcome(self) -> None:
        table = (
            ("service_dead", "not_run", 0),
            ("service_frozen_for_good", "may_have_run", 0),
            ("sidecar_frozen", "may_have_run", 0),
            ("sidecar_killed_before", "not_run", 0),
            ("sidecar_killed_while_it_runs", "may_have_run", 1),
            ("link_cut_while_it_runs", "answered", 1),
            ("link_silent", "not_run", 0),
        )
        for fault, expected, runs in table:
            with self.subTest(fault):
                fleet = make_service_fleet(11)
                caller = self.start_with_fault(fleet, fault)
                self.check_outcome(fleet, caller, expected, runs)

    def start_with_fault(self, fleet: Fleet, fault: str) -> ServiceCaller:
        service = fleet.services["desk-0"]
        later = fleet.clock.callLater
        if fault == "service_dead":
            service.live = False
        elif fault == "service_frozen_for_good":
            service.freeze_service()
        elif fault == "sidecar_frozen":
            fleet.freeze_process("sidecar-desk-0")
            later(6.0, fleet.thaw_process, "sidecar-desk-0")
        elif fault == "sidecar_killed_before":
            fleet.kill_process("sidecar-desk-0")
        elif fault == "sidecar_killed_while_it_runs":
            later(0.2, fleet.kill_process, "sidecar-desk-0")
        elif fault == "link_cut_while_it_runs":
            later(0.2, fleet.network.cut_pair, "entry-0", "sidecar-desk-0")
            later(2.0, fleet.network.reconnect_pair, "entry-0", "sidecar-desk-0")
        elif fault == "link_silent":
            fleet.network.silence_connection("entry-0", "sidecar-desk-0")
        return send_call(fleet)

    def test_restarted_sidecar_accepts_calls(self) -> None:
        fleet = make_service_fleet(12)
        fleet.kill_process("sidecar-desk-0")
        fleet.run_for(3.0)
        fleet.add_sidecar("desk-0")
        fleet.run_for(2.0)
        self.check_outcome(fleet, send_call(fleet), "answered", 1)

    def test_call_that_certainly_did_not_run_is_retried_elsewhere(self) -> None:
        for fault in ("service_dead", "link_silent"):
            with self.subTest(fault):
                fleet = make_service_fleet(13, upstreams=2)
                caller = self.start_with_fault(fleet, fault)
                fleet.network.processes["entry-0"].node.world.peers.peers[
                    "sidecar-desk-1"
                ].assigned = 50
                self.check_outcome(fleet, caller, "answered", 1)

    def test_only_the_sidecar_incarnation_of_a_call_resolves_it(self) -> None:
        for incarnation, expected in (
            ("sidecar-desk-0.0", "answered"),
            ("", "not_run"),
        ):
            with self.subTest(incarnation):
                fleet = make_service_fleet(14)
                caller = send_call(fleet)
                fleet.run_for(0.2)
                node = fleet.find_node("entry-0")
                (dispatch,) = next(iter(node.world.calls.by_request.values())).in_flight
                actual = node.world.peers.peers["sidecar-desk-0"].incarnation
                sender = Sender("sidecar-desk-0", incarnation or actual)
                failed = CallFailed(dispatch, not_run=True, reason="crossed")
                node.post_event(Received(sender, failed))
                fleet.run_for(2.0)
                self.assertEqual(name_outcome(caller), expected)

    def test_claimed_call_goes_only_to_the_incarnation_of_its_claim(self) -> None:
        fleet = make_service_fleet(15)
        node = fleet.find_node("entry-0")
        peer = node.world.peers.peers["sidecar-desk-0"]
        now = node.clock.seconds()
        later = now + peer.clock_offset + 1.0
        table = (
            (peer.incarnation, later, True),
            ("sidecar-desk-0.0", later, False),
            (peer.incarnation, later - 2.0, False),
        )
        for incarnation, expires_at, usable in table:
            with self.subTest(incarnation=incarnation, expires_at=expires_at):
                target = Dispatch("nonce", peer.name, incarnation, expires_at)
                found = is_target_usable(node.world, target, now)
                self.assertEqual(found, usable)


class KeyTests(unittest.TestCase):
    def test_repeat_of_a_key_gets_the_recorded_result(self) -> None:
        fleet = make_service_fleet(21)
        first = send_call(fleet, "key")
        fleet.run_for(2.0)
        second = send_call(fleet, "key", entry="entry-1")
        fleet.run_for(2.0)
        self.assertEqual([name_outcome(first), name_outcome(second)], ["answered"] * 2)
        self.assertEqual(count_runs(fleet)[BODY], 1)

    def test_key_reused_with_another_body_is_refused(self) -> None:
        fleet = make_service_fleet(22)
        send_call(fleet, "key")
        fleet.run_for(2.0)
        second = send_call(fleet, "key", body=b"other", entry="entry-1")
        fleet.run_for(2.0)
        self.assertEqual(name_outcome(second), "key_reused")
        self.assertEqual(count_runs(fleet)[b"other"], 0)

    def test_racing_entries_run_a_key_once(self) -> None:
        for gap_s in (0.0, 0.005, 0.1):
            for entries in (("entry-0", "entry-1"), ("entry-0", "entry-0")):
                with self.subTest(gap_s=gap_s, entries=entries):
                    fleet = make_service_fleet(23, upstreams=2)
                    first = send_call(fleet, "key", entry=entries[0])
                    fleet.run_for(gap_s)
                    second = send_call(fleet, "key", entry=entries[1])
                    fleet.run_for(4.0)
                    outcomes = [name_outcome(first), name_outcome(second)]
                    self.assertEqual(outcomes, ["answered"] * 2)
                    self.assertEqual(count_runs(fleet)[BODY], 1)

    def test_key_can_be_retried_after_its_entry_failed(self) -> None:
        for killed_after_s in (0.004, 0.012, 0.1, 0.6):
            with self.subTest(killed_after_s):
                fleet = make_service_fleet(24)
                send_call(fleet, "key")
                fleet.run_for(killed_after_s, 0.002)
                fleet.kill_process("entry-0")
                second = send_call(fleet, "key", entry="entry-1")
                fleet.run_for(4.0)
                self.assertEqual(name_outcome(second), "answered")
                self.assertEqual(count_runs(fleet)[BODY], 1)

    def test_keys_are_refused_within_the_timeout_while_the_store_is_down(self) -> None:
        fleet = make_service_fleet(25)
        fleet.platform.outage = True
        first = send_call(fleet, "key-1")
        fleet.run_for(0.5)
        second = send_call(fleet, "key-2")
        fleet.run_for(1.5)
        for caller in (first, second):
            self.assertEqual(name_outcome(caller), "key_unchecked")
            self.assertIsNotNone(caller.refusal and caller.refusal.retry_after_s)
        probe = send_call(fleet, "key-3")
        fleet.run_for(0.1)
        third = send_call(fleet, "key-4")
        fleet.run_for(0.1)
        self.assertEqual(name_outcome(third), "key_unchecked")
        self.assertFalse(probe.done)
        self.assertEqual(count_runs(fleet)[BODY], 0)
        fleet.platform.outage = False
        fleet.run_for(2.0)
        again = send_call(fleet, "key-1")
        fleet.run_for(3.0)
        self.assertEqual(name_outcome(again), "answered")

    def test_lost_store_answer_is_recovered(self) -> None:
        fleet = make_service_fleet(26)
        fleet.platform.lost_answer_share = 1.0
        caller = send_call(fleet, "key")
        fleet.run_for(0.1)
        fleet.platform.lost_answer_share = 0.0
        fleet.run_for(0.9)
        self.assertEqual(name_outcome(caller), "answered")
        self.assertEqual(count_runs(fleet)[BODY], 1)

    def test_conflict_of_one_key_does_not_fail_others_in_its_batch(self) -> None:
        fleet = make_service_fleet(27)
        send_call(fleet, "key", entry="entry-1")
        fleet.run_for(2.0)
        bodies = [f"booking-{number}".encode() for number in range(5)]
        callers = [
            send_call(fleet, f"key-{body.decode()}", body=body) for body in bodies
        ]
        callers.append(send_call(fleet, "key"))
        fleet.run_for(2.0)
        self.assertEqual([name_outcome(caller) for caller in callers], ["answered"] * 6)
        runs = count_runs(fleet)
        self.assertEqual([runs[body] for body in [*bodies, BODY]], [1] * 6)


class CallsExperimentTests(unittest.TestCase):
    def test_guarantees_hold_under_faults(self) -> None:
        for seed, faults in ((1, 1.0), (2, 3.0)):
            with self.subTest(seed=seed, faults=faults):
                options = MeasureOptions(seed=seed, runs=2, faults=faults)
                report = run_calls(options)
                self.assertEqual(report.ran_twice, 0)
                self.assertEqual(report.told_not_run_but_ran, 0)
                self.assertEqual(report.wrong_answers, 0)
                self.assertEqual(report.unanswered, 0)
                self.assertEqual(report.invariant_violations, 0)

    def test_baseline_violates_the_guarantees(self) -> None:
        options = MeasureOptions(seed=1, runs=2, policy=BASELINE)
        report = run_calls(options)
        self.assertGreater(report.ran_twice, 0)
        self.assertGreater(report.told_not_run_but_ran, 0)
