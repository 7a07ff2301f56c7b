"""Tests that a datagram decides over itself alone, whatever it holds."""

from __future__ import annotations

import unittest
from math import inf, nan
from typing import Any
from unittest.mock import Mock, patch

import msgspec

from magnoliahold.core.load.pace import PaceSample
from magnoliahold.core.moves import MoveState
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import DeliverAnswer, SendAttempt, SendNotice
from magnoliahold.core.serving.events import NoticeReceived
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.limits import LimitReport
from magnoliahold.core.serving.loads import UpstreamLoad
from magnoliahold.core.serving.moves import (
    Exposure,
    MoveOrder,
    MoveRecord,
    Suspension,
)
from magnoliahold.core.serving.peers import (
    LoadNotice,
    PeerRecord,
    PrefixCacheLocation,
)
from magnoliahold.core.serving.proofs import ConfigurationProof
from magnoliahold.core.serving.queues import QueueReport
from magnoliahold.core.serving.suspicions import (
    Clearance,
    CrashReport,
    QuarantineRecord,
)
from magnoliahold.core.serving.upstreams import UpstreamStart
from magnoliahold.serving import notices
from magnoliahold.serving.notices import (
    PROOF_TAG,
    NoticePort,
    NoticeProtocol,
    encode_notice,
)
from magnoliahold.wire.messages import EvidenceCount
from tests.core.serving.harness import ENGINES, ServingHarness
from tests.core.serving.test_odd_rows import LEFT_OUT, list_paths, replace_value
from tests.platform.test_foreign_rows import ERRORS

MAX_64_BITS = 2**63 - 1
ODD_VALUES = (
    0,
    -1,
    -0.5,
    1e-300,
    1e300,
    inf,
    -inf,
    nan,
    MAX_64_BITS,
    -(2**63),
    2**64 - 1,
    "",
    "+",
    "x" * 300,
    b"\xff",
    None,
    True,
    [],
    {},
)
LEVELS = 20_000
ORDER = MoveOrder(ENGINES, "2", 30.0, 11)
RECORD = MoveRecord(ENGINES, ORDER.id, "2", MoveState.CANARY, 100.0)
PEERS = {
    name: PeerRecord(name, f"{name}.a", "10.9.0.1", 7)
    for name in ("entry-2", "entry-3")
}
UPSTREAM = f"{ENGINES}-1"
NOTICE = LoadNotice(
    sender="entry-2",
    incarnation="entry-2.a",
    serial=7,
    loads=(UpstreamLoad(UPSTREAM, 1, 2, 3, 4),),
    down=(f"{ENGINES}-2",),
    places=(PrefixCacheLocation("p1", UPSTREAM),),
    evidence=(
        EvidenceCount(ORDER.id, "2", "route", False, 9, 1, ((5, 9),), ((4, 9),)),
    ),
    exposures=(Exposure(ORDER.id, 5, 6),),
    suspensions=(Suspension(ORDER.id, "bad"),),
    crash_reports=(CrashReport(UPSTREAM, 1001, "r", ("p1", "p2"), 100.0, 99.0),),
    quarantines=(QuarantineRecord("p1+p2", 90.0, 45.0),),
    clearances=(Clearance("p1", 95.0),),
    leaving=(UpstreamStart(f"{ENGINES}-3", 1003),),
    trials=("p1",),
    limits=(LimitReport(UPSTREAM, 1001, 5.0, 99.0),),
    paces=(PaceSample(UPSTREAM, 0.05, 2.0),),
    queues=(QueueReport(ENGINES, 1, 4, 2.0, 1),),
    settled_epoch=1,
)
PROOF = ConfigurationProof("entry-2", "entry-2.a", 1, 1, 1)
GOOD = LoadNotice("entry-3", "entry-3.a", 1, loads=(UpstreamLoad(UPSTREAM, 7),))


def nest(levels: int) -> bytes:
    """Encodes lists within lists."""
    return b"\x91" * levels + b"\x01"


def make_odd_datagrams() -> tuple[tuple[str, bytes], ...]:
    """Makes datagrams that are no notice."""
    notice = encode_notice(GOOD)
    fields = len(msgspec.msgpack.decode(notice))
    # The header of a map that has one field more, as 16 bits.
    more = b"\xde" + (fields + 1).to_bytes(2, "big") + notice[-len(notice) + 3 :]
    return (
        ("nothing", b""),
        ("the tag of a proof alone", PROOF_TAG),
        ("nested lists", nest(LEVELS)),
        ("nested proof", PROOF_TAG + nest(LEVELS)),
        ("nested maps", b"\x81\xa1a" * LEVELS + b"\x01"),
        ("nested in an unknown field", more + b"\xa1x" + nest(LEVELS)),
        (
            "a proof that nests in an unknown field",
            PROOF_TAG + b"\x81\xa1x" + nest(9999),
        ),
    )


class OddNoticeTests(unittest.TestCase):
    def setUp(self) -> None:
        self.posted: list[Any] = []
        self.port = NoticePort(self.posted.append, Mock())

    def start(self) -> ServingHarness:
        """Starts an entry with a move in progress and two other entries."""
        harness = ServingHarness()
        harness.world.checks_all_rows = False
        harness.start()
        harness.world.store_offset_s = 0.0
        harness.read(Feed.QUARANTINE, {})
        harness.change(Feed.PEERS, PEERS, 12)
        harness.change(Feed.CONFIGURATION, {"rollout/engines": ORDER}, 13)
        harness.read(Feed.MOVES, {ENGINES: RECORD}, 14)
        return harness

    def receive(self, harness: ServingHarness, *datagrams: bytes) -> None:
        """Receives datagrams."""
        self.posted.clear()
        for datagram in datagrams:
            self.port.handle_datagram(datagram)
        harness.post(*self.posted)

    def work(self, harness: ServingHarness) -> None:
        """Serves streams, and a call; its own notices can be sent."""
        for number in range(2):
            caller = harness.request(RouteKind.STREAM)
            harness.report_no_prompts()
            for sent in harness.pop_effects(SendAttempt):
                harness.open(sent, caller)
                harness.produce(sent, 1)
                harness.interrupt(sent) if number else harness.finish(sent)
            harness.advance(1.0, 0.25)
        harness.pop_effects(SendAttempt)
        caller = harness.request(RouteKind.IDEMPOTENT)
        harness.answer(harness.send(), caller, 200)
        self.assertEqual(len(harness.pop_effects(DeliverAnswer)), 1)
        for effect in harness.pop_effects(SendNotice):
            self.assertGreater(len(encode_notice(effect.notice)), 0)

    def check_odd_datagrams(self, document: Any, tag: bytes = b"") -> None:
        """Lets an entry work with each odd datagram that isn't dropped."""
        for path in list_paths(document):
            for value in (*ODD_VALUES, LEFT_OUT):
                odd = replace_value(document, path, value)
                datagram = tag + msgspec.msgpack.encode(odd)
                self.posted.clear()
                self.port.handle_datagram(datagram)
                if not self.posted:
                    continue
                with self.subTest(path=path, value=str(value)):
                    harness = self.start()
                    self.receive(harness, datagram)
                    self.work(harness)

    # An error of a tick would end the process.
    def test_entry_works_with_each_odd_notice(self) -> None:
        self.check_odd_datagrams(msgspec.msgpack.decode(encode_notice(NOTICE)))

    def test_entry_works_with_each_odd_proof(self) -> None:
        document = msgspec.msgpack.decode(msgspec.msgpack.encode(PROOF))
        self.check_odd_datagrams(document, PROOF_TAG)

    def test_notice_is_applied(self) -> None:
        harness = self.start()
        self.receive(harness, encode_notice(NOTICE), encode_notice(GOOD))
        others = harness.world.other_entries
        for notice in (NOTICE, GOOD):
            self.assertEqual(others.by_name[notice.sender].notice, notice)
        self.assertEqual(others.loads[UPSTREAM].reading, 8)
        self.work(harness)

    # Failure: a datagram that nests deeply ended in an error that wasn't expected.
    def test_datagram_that_is_no_notice_is_logged_and_dropped(self) -> None:
        protocol = NoticeProtocol(self.port)
        for name, datagram in make_odd_datagrams():
            with self.subTest(name):
                self.posted.clear()
                with self.assertLogs("magnoliahold.peers", "WARNING") as logged:
                    protocol.datagramReceived(datagram, ("10.9.0.1", 7))
                    protocol.datagramReceived(encode_notice(GOOD), ("10.9.0.1", 7))
                self.assertEqual(self.posted, [NoticeReceived(GOOD)])
                fields: Any = logged.records[0].fields  # type: ignore[attr-defined]
                self.assertEqual(fields["address"], "10.9.0.1")
                self.assertTrue(fields["reason"])

    def test_datagram_is_dropped_whatever_its_decoder_raises(self) -> None:
        for name in ("_decoder", "_proof_decoder"):
            for error in ERRORS:
                failing = Mock(decode=Mock(side_effect=error("odd")))
                content = b"x" if name == "_decoder" else PROOF_TAG
                with (
                    self.subTest(name, error=error.__name__),
                    patch.object(notices, name, failing),
                    self.assertLogs("magnoliahold.peers", "WARNING"),
                ):
                    self.port.handle_datagram(content)
                self.assertEqual(self.posted, [])

    def test_unsendable_notice_does_not_affect_others(self) -> None:
        for error in ERRORS:
            written = []

            def write(_: bytes, address: Any, error: Any = error) -> None:
                if address == ("10.9.0.1", 1):
                    raise error("odd")
                written.append(address)  # noqa: B023

            self.port.transport = Mock(write=write)
            peers = [PeerRecord(str(n), "a", "10.9.0.1", n) for n in (2, 1, 3)]
            with (
                self.subTest(error=error.__name__),
                self.assertLogs("magnoliahold.peers", "WARNING") as logged,
            ):
                self.port.send(peers, GOOD)
                self.port.send_proofs((peer, PROOF) for peer in peers)
                self.assertEqual([port for _, port in written], [2, 3] * 2)
                self.assertEqual(len(logged.records), 2)


if __name__ == "__main__":
    unittest.main()
