"""Tests of single faults of a stream and the time limits for its resumption."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from attrs import evolve, frozen

from magnoliahold.core.events import CallerDisconnected, GenerationArrived, LinkBroke
from magnoliahold.measure.fakes.callers import GenerationCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.workspaces import make_work, make_workspace
from magnoliahold.measure.recovery_metrics import (
    count_extra_tokens,
    find_resume_latency,
)
from magnoliahold.wire.messages import (
    AckTokens,
    CancelStream,
    StartStream,
    StreamTokens,
    TakeStream,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.streams import Stream
    from magnoliahold.core.worlds import EntryWorld, SidecarWorld
    from magnoliahold.measure.fakes.fleet import Fleet

INTERVAL_S = 0.02
TOKENS = 200
FREEZE_S = 3.0
VISIBLE_FAULT_LIMIT_S = 1.0
ANY_FAULT_LIMIT_S = 2.0


def make_small_fleet(seed: int = 1) -> Fleet:
    """Builds two entries and four engines."""
    workspace = make_workspace("kennels", [make_work("listing", "draft")])
    fleet = make_fleet(seed, FleetSpec(), [workspace])
    fleet.run_for(2.0)
    return fleet


def start_caller(fleet: Fleet, *, stream: bool = True) -> GenerationCaller:
    """Starts a long generation."""
    request = GenerationArrived(
        "", "kennels", "listing", "list the hounds", TOKENS, stream, "print-1"
    )
    caller = GenerationCaller(fleet.clock, fleet, request, resumes=stream)
    caller.start_request()
    return caller


def find_sidecar(caller: GenerationCaller) -> str:
    """Finds the sidecar that serves a caller."""
    assert caller.last_event is not None
    return caller.last_event.sidecar


def find_engine(caller: GenerationCaller) -> str:
    """Finds the engine that serves a caller."""
    return find_sidecar(caller).removeprefix("sidecar-")


def find_world(fleet: Fleet, name: str) -> SidecarWorld:
    """Finds the tables of a sidecar."""
    world: SidecarWorld = fleet.find_node(name).world
    return world


def find_stream(fleet: Fleet, caller: GenerationCaller) -> Stream:
    """Finds a caller's stream at its sidecar."""
    assert caller.last_event is not None
    world = find_world(fleet, find_sidecar(caller))
    return world.streams.by_lineage[caller.last_event.lineage]


def kill_engine(fleet: Fleet, caller: GenerationCaller) -> None:
    fleet.engines[find_engine(caller)].kill_engine()


def freeze_engine(fleet: Fleet, caller: GenerationCaller) -> None:
    engine = fleet.engines[find_engine(caller)]
    engine.freeze_engine()
    fleet.clock.callLater(FREEZE_S, engine.thaw_engine)


def silence_engine(fleet: Fleet, caller: GenerationCaller) -> None:
    fleet.engines[find_engine(caller)].silence_streams()


def kill_sidecar(fleet: Fleet, caller: GenerationCaller) -> None:
    fleet.kill_process(find_sidecar(caller))


def lose_instance(fleet: Fleet, caller: GenerationCaller) -> None:
    fleet.lose_instance(find_engine(caller))


def freeze_sidecar(fleet: Fleet, caller: GenerationCaller) -> None:
    name = find_sidecar(caller)
    fleet.freeze_process(name)
    fleet.clock.callLater(FREEZE_S, fleet.thaw_process, name)


def silence_link(fleet: Fleet, caller: GenerationCaller) -> None:
    fleet.network.silence_connection(caller.entry, find_sidecar(caller))


def cut_link(fleet: Fleet, caller: GenerationCaller) -> None:
    pair = (caller.entry, find_sidecar(caller))
    fleet.network.cut_pair(*pair)
    fleet.clock.callLater(FREEZE_S, fleet.network.reconnect_pair, *pair)


def kill_entry(fleet: Fleet, caller: GenerationCaller) -> None:
    fleet.kill_process(caller.entry)


def freeze_entry(fleet: Fleet, caller: GenerationCaller) -> None:
    name = caller.entry
    fleet.freeze_process(name)
    fleet.clock.callLater(2.5, fleet.thaw_process, name)


def kill_entry_and_sidecar(fleet: Fleet, caller: GenerationCaller) -> None:
    kill_sidecar(fleet, caller)
    kill_entry(fleet, caller)


def lose_caller_connection(fleet: Fleet, caller: GenerationCaller) -> None:
    entry, request_id = caller.entry, caller.request_id
    fleet.callers[entry].sessions.pop(request_id)
    fleet.find_node(entry).post_event(CallerDisconnected(request_id))
    fleet.leaving.add(entry)
    caller.handle_disconnect()


@frozen
class Case:
    """A fault, the longest pause, and the expected lost attempts and takeovers."""

    fault: Callable[[Fleet, GenerationCaller], None]
    limit_s: float
    attempts_lost: int
    takeovers_failed: int = 0


CASES = (
    Case(kill_engine, VISIBLE_FAULT_LIMIT_S, 1),
    Case(kill_sidecar, VISIBLE_FAULT_LIMIT_S / 2, 1),
    Case(kill_entry, VISIBLE_FAULT_LIMIT_S, 0),
    Case(kill_entry_and_sidecar, VISIBLE_FAULT_LIMIT_S, 0, 1),
    Case(lose_caller_connection, VISIBLE_FAULT_LIMIT_S, 0),
    Case(lose_instance, ANY_FAULT_LIMIT_S / 2, 1),
    Case(freeze_engine, ANY_FAULT_LIMIT_S / 2, 1),
    Case(silence_engine, ANY_FAULT_LIMIT_S / 2, 0),
    Case(freeze_sidecar, ANY_FAULT_LIMIT_S / 2, 1),
    Case(silence_link, ANY_FAULT_LIMIT_S / 2, 0),
    Case(cut_link, ANY_FAULT_LIMIT_S / 2, 1),
    Case(freeze_entry, ANY_FAULT_LIMIT_S, 0),
)


class FaultRecoveryTests(unittest.TestCase):
    def test_stream_resumes_without_loss_within_the_limit(self) -> None:
        for case in CASES:
            for seed in (1, 2):
                with self.subTest(fault=case.fault.__name__, seed=seed):
                    self.check_case(case, seed)

    def check_case(self, case: Case, seed: int) -> None:
        fleet = make_small_fleet(seed)
        caller = start_caller(fleet)
        fleet.run_for(1.0)
        fault_at = fleet.now()
        case.fault(fleet, caller)
        fleet.run_for(7.0)
        self.assertEqual(len(caller.tokens), TOKENS)
        self.assertIsNone(caller.find_break())
        faults = (caller.restarts, caller.offsets_skipped, caller.offsets_repeated)
        self.assertEqual(faults, (0, 0, 0))
        pause = find_resume_latency(caller.progress, fault_at, INTERVAL_S)
        self.assertIsNotNone(pause)
        self.assertLess(pause[1] if pause else 0.0, case.limit_s)
        counters = fleet.journal.counters
        self.assertEqual(counters["attempts_lost"], case.attempts_lost)
        self.assertEqual(counters["takeovers_failed"], case.takeovers_failed)

    def test_no_stream_is_left_running_after_the_answer(self) -> None:
        for case in CASES:
            with self.subTest(fault=case.fault.__name__):
                fleet = make_small_fleet()
                caller = start_caller(fleet)
                fleet.run_for(1.0)
                case.fault(fleet, caller)
                fleet.run_for(7.0)
                runs = [run for item in fleet.engines.values() for run in item.runs]
                extra = count_extra_tokens(runs, [caller])
                produced_unread = FREEZE_S / INTERVAL_S
                self.assertLess(extra.output + extra.duplicates, produced_unread)
                fleet.run_for(30.0)
                self.assertEqual(count_extra_tokens(runs, [caller]), extra)
                held = [
                    len(process.node.world.streams.by_lineage)
                    for name, process in fleet.network.processes.items()
                    if name.startswith("sidecar")
                ]
                self.assertEqual(sum(held), 0)


class LostMessageTests(unittest.TestCase):
    def test_lost_message_is_recovered(self) -> None:
        for kind, count in (
            (StartStream, 1),
            (StreamTokens, 1),
            (StreamTokens, 10),
            (AckTokens, 5),
            (TakeStream, 1),
        ):
            for after_s in (0.0, 1.0, 3.9):
                with self.subTest(kind=kind.__name__, count=count, after_s=after_s):
                    self.check_lost(kind, count, after_s)

    def check_lost(self, kind: type, count: int, after_s: float) -> None:
        fleet = make_small_fleet()
        caller = start_caller(fleet)
        fleet.run_for(after_s)
        fleet.network.messages_to_drop[kind] = count
        if kind is TakeStream and caller.tokens:
            kill_entry(fleet, caller)
        fleet.run_for(8.0)
        self.assertEqual(len(caller.tokens), TOKENS)
        self.assertIsNone(caller.find_break())
        assert caller.finished_at is not None
        usual_s = (TOKENS + 5) * INTERVAL_S
        self.assertLess(
            caller.finished_at - caller.started_at - usual_s, ANY_FAULT_LIMIT_S
        )

    def test_lost_cancellation_is_repeated(self) -> None:
        fleet = make_small_fleet()
        caller = start_caller(fleet)
        fleet.run_for(1.0)
        fleet.network.messages_to_drop[CancelStream] = 1
        fleet.disconnect_caller(caller.entry, caller.request_id)
        fleet.run_for(2.0)
        self.assertFalse(any(item.streams for item in fleet.engines.values()))


class TakeoverTests(unittest.TestCase):
    def test_former_owner_is_fenced(self) -> None:
        fleet = make_small_fleet()
        caller = start_caller(fleet)
        fleet.run_for(1.0)
        former = caller.entry
        freeze_entry(fleet, caller)
        fleet.run_for(1.5)
        self.assertNotEqual(caller.entry, former)
        stream = find_stream(fleet, caller)
        self.assertEqual((stream.owner, stream.owner_epoch), (caller.entry, 2))
        fleet.run_for(1.3)
        world: EntryWorld = fleet.find_node(former).world
        self.assertEqual(world.generations.by_request, {})
        self.assertEqual(stream.owner, caller.entry)

    def test_lost_stream_without_prefix_is_answered_at_once(self) -> None:
        fleet = make_small_fleet()
        caller = start_caller(fleet)
        caller.sends_prefix = False
        fleet.run_for(1.0)
        kill_entry_and_sidecar(fleet, caller)
        fleet.run_for(1.2)
        refusals = [(item.code, item.retry_after_s) for item in caller.refusals]
        self.assertEqual(refusals, [("stream_lost", 0.1)])
        fleet.run_for(8.0)
        self.assertIsNone(caller.find_break())
        self.assertEqual((len(caller.tokens), caller.restarts), (TOKENS, 1))

    def test_stream_is_given_to_its_own_request_only(self) -> None:
        fleet = make_small_fleet()
        caller = start_caller(fleet)
        fleet.run_for(1.0)
        intruder = start_caller(fleet)
        intruder.last_event = evolve(caller.last_event, offset=1)
        intruder.request = evolve(intruder.request, fingerprint="print-2")
        intruder.restarts = 0
        for entry in fleet.list_entries():
            event = evolve(intruder.request, resume_from=intruder.last_event)
            fleet.send_request(entry, event, intruder)
        fleet.run_for(1.0)
        self.assertTrue(intruder.refusals)
        first_tokens = {item.tokens[0] for item in (intruder, caller)}
        self.assertEqual(len(first_tokens), 2)
        fleet.run_for(6.0)
        self.assertEqual(len(caller.tokens), TOKENS)

    def test_buffered_stream_without_entry_is_discarded_soon(self) -> None:
        fleet = make_small_fleet()
        caller = start_caller(fleet, stream=False)
        fleet.run_for(1.0)
        world = find_world(fleet, find_sidecar(caller))
        lineage = caller.last_event and caller.last_event.lineage
        kill_entry(fleet, caller)
        fleet.run_for(1.0)
        self.assertTrue(world.streams.by_lineage[lineage or ""].paused)
        fleet.run_for(4.0)
        self.assertNotIn(lineage, world.streams.by_lineage)
        fleet.run_for(5.0)
        self.assertEqual(len(caller.tokens), TOKENS)

    def test_fences_expire(self) -> None:
        fleet = make_small_fleet()
        caller = start_caller(fleet)
        fleet.run_for(1.0)
        world = find_world(fleet, find_sidecar(caller))
        fleet.run_for(5.0)
        self.assertEqual(len(world.streams.fences), 1)
        fleet.run_for(world.policy.streams.attempts_kept_s, 0.05)
        self.assertEqual(len(world.streams.fences), 0)


class MembershipTests(unittest.TestCase):
    def test_own_pause_does_not_mark_peers_lost(self) -> None:
        fleet = make_small_fleet()
        caller = start_caller(fleet)
        fleet.run_for(1.0)
        fleet.freeze_process(caller.entry)
        fleet.run_for(0.9)
        fleet.thaw_process(caller.entry)
        peers = fleet.find_node(caller.entry).world.peers.peers.values()
        self.assertFalse([peer.name for peer in peers if peer.lost])
        fleet.run_for(4.0)
        self.assertEqual(fleet.journal.counters["attempts_lost"], 0)
        self.assertEqual(len(caller.tokens), TOKENS)

    def test_refused_connection_marks_the_peer_lost(self) -> None:
        fleet = make_small_fleet()
        caller = start_caller(fleet)
        fleet.run_for(1.0)
        name, node = find_sidecar(caller), fleet.find_node(caller.entry)
        kill_sidecar(fleet, caller)
        fleet.run_for(0.01)
        self.assertFalse(node.world.peers.peers[name].lost)
        node.post_event(LinkBroke(name))
        fleet.run_for(0.01)
        self.assertTrue(node.world.peers.peers[name].lost)
