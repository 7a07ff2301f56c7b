"""Tests of the evidence by which requests that crash upstreams are quarantined."""

from __future__ import annotations

import unittest
from random import Random

from magnoliahold.core.effects import RefuseRequest
from magnoliahold.core.events import Received
from magnoliahold.core.identity import Identity, Sender
from magnoliahold.core.peers import Peer
from magnoliahold.core.systems import quarantine, suspects
from magnoliahold.core.worlds import EntryWorld
from magnoliahold.wire.messages import EngineDied, SuspicionNotice, UpstreamReport

SIDECAR = Sender("sidecar-e", "sidecar-e.1")


def make_world() -> EntryWorld:
    """Builds the tables of an entry without peers or suspicions."""
    identity = Identity("entry-0", "entry-0.1", "entry", "dc-0")
    return EntryWorld(identity, Random(1))


def report_death(
    world: EntryWorld, number: int, produced: dict[str, int], rerun: str = ""
) -> None:
    """Reports the death of engine `number`; `rerun` names those run as suspects."""
    died = EngineDied(
        upstream=f"engine-{number}",
        engine_incarnation="1",
        fingerprints=tuple(produced),
        produced=tuple(produced.values()),
        suspects=tuple(rerun),
    )
    world.inbox.add_event(Received(SIDECAR, died))
    quarantine.record_deaths(world, float(number))
    world.inbox.clear_events()


def list_quarantined(world: EntryWorld) -> str:
    """Names the quarantined fingerprints."""
    found = world.suspicions.by_fingerprint.values()
    names = [item.fingerprint for item in found if item.quarantined_until is not None]
    return "".join(sorted(names))


class EvidenceTests(unittest.TestCase):
    def test_only_the_poison_request_is_quarantined(self) -> None:
        table: tuple[tuple[str, list[tuple[dict[str, int], str]], str], ...] = (
            ("first death quarantines nothing", [({"a": 0, "b": 90}, "")], ""),
            ("same point", [({"a": 9, "b": 90}, ""), ({"a": 10, "c": 4}, "a")], "a"),
            ("at once", [({"a": 80, "b": 90}, ""), ({"a": 0, "c": 4}, "a")], "a"),
            ("different points", [({"a": 80, "b": 9}, ""), ({"a": 30}, "a")], ""),
            ("not as a suspect", [({"a": 9}, ""), ({"a": 9}, "")], ""),
            (
                "two with the same evidence",
                [({"a": 0, "b": 0}, ""), ({"a": 0, "b": 0}, "ab")],
                "",
            ),
            (
                "decided by a third death",
                [
                    ({"a": 0, "b": 0}, ""),
                    ({"a": 0, "b": 0}, "ab"),
                    ({"a": 0, "c": 9}, "a"),
                ],
                "a",
            ),
            (
                "stronger evidence first",
                [({"a": 50, "b": 90}, ""), ({"a": 50, "b": 0}, "ab")],
                "a",
            ),
            (
                "no pattern, but too often",
                [({"a": 90}, ""), ({"a": 50}, "a"), ({"a": 20}, "a"), ({"a": 70}, "a")],
                "a",
            ),
        )
        for name, deaths, expected in table:
            with self.subTest(name):
                world = make_world()
                for number, (produced, rerun) in enumerate(deaths):
                    report_death(world, number, produced, rerun)
                self.assertEqual(list_quarantined(world), expected)

    def test_quarantine_clears_requests_that_ran_with_the_poison_request(self) -> None:
        world = make_world()
        report_death(world, 1, {"a": 9, "b": 90})
        report_death(world, 2, {"a": 9, "c": 40}, "a")
        self.assertEqual(list(world.suspicions.by_fingerprint), ["a"])

    def test_same_death_is_counted_once(self) -> None:
        world = make_world()
        for _ in range(2):
            report_death(world, 1, {"a": 9}, "a")
        self.assertEqual(list_quarantined(world), "")


class QuarantineTests(unittest.TestCase):
    def test_repeats_are_refused_until_the_quarantine_ends(self) -> None:
        for at, refused in ((0.0, True), (9.0, True), (10.5, False)):
            with self.subTest(at):
                world = make_world()
                notice = SuspicionNotice("a", 2, quarantined=True, seconds_left=10.0)
                world.inbox.add_event(Received(SIDECAR, notice))
                quarantine.apply_notices(world, 0.0)
                answered = suspects.refuse_quarantined(world, "request", "a", at)
                self.assertEqual(answered, refused)

    def test_refusal_says_when_to_retry(self) -> None:
        world = make_world()
        notice = SuspicionNotice("a", 2, quarantined=True, seconds_left=10.0)
        world.inbox.add_event(Received(SIDECAR, notice))
        quarantine.apply_notices(world, 0.0)
        self.assertTrue(suspects.refuse_quarantined(world, "request", "a", 4.0))
        refusal = next(
            item for item in world.effects if isinstance(item, RefuseRequest)
        )
        self.assertEqual((refusal.code, refusal.retry_after_s), ("quarantined", 6.0))

    def test_suspects_of_one_death_go_to_different_upstreams(self) -> None:
        world = make_world()
        for number in range(5):
            name = f"sidecar-{number}"
            report = UpstreamReport(f"engine-{number}", "engine", True, role="draft")
            peer = Peer(name, "sidecar", "10.0.0.1", 7000, "dc-0", "i", lost=False)
            peer.report = report
            world.peers.peers[name] = peer
        report_death(world, 0, {"a": 5, "b": 5, "c": 5, "d": 5})
        candidates = [p for p in world.peers.peers.values() if p.name != "sidecar-0"]
        chosen = [
            suspects.select_suspect_upstream(world, fingerprint, candidates)[0].name
            for fingerprint in "abcd"
        ]
        self.assertEqual(len(set(chosen)), 4)
