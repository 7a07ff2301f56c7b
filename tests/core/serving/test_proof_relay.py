"""Tests of proofs of the newest configuration that entries pass on."""

from __future__ import annotations

import unittest

from attrs import define, evolve, field

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    LongPollFeed,
    ReadFeed,
    RefuseCaller,
    SendNotice,
    SendProofs,
)
from magnoliahold.core.serving.events import (
    FeedChanged,
    FeedFailed,
    NoticeReceived,
    ProofReceived,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
from magnoliahold.core.serving.proofs import ConfigurationProof
from magnoliahold.core.serving.systems.proof_relay import is_reader
from tests.core.serving.harness import ServingHarness, make_configuration

NAMES = tuple(f"entry-{number}" for number in range(1, 11))
READ_INTERVAL_S = 0.25
PEERS = {name: PeerRecord(name, f"{name}.a", "10.9.0.1", 7) for name in NAMES}


@define
class Entry:
    """An entry that has read its tables and heard from all others."""

    name: str
    harness: ServingHarness = field(init=False)
    serials: int = 0

    def __attrs_post_init__(self) -> None:
        self.harness = ServingHarness(name=self.name)
        self.harness.start(make_configuration(5))
        self.harness.read(Feed.PEERS, PEERS)
        self.hear()

    def hear(self) -> None:
        """Posts a notice of each other entry."""
        self.serials += 1
        for name in NAMES:
            if name != self.name:
                notice = LoadNotice(name, f"{name}.a", self.serials)
                self.harness.post(NoticeReceived(notice))

    def send_notice(self) -> int:
        """Lets the entry send a notice, and returns its serial."""
        self.harness.world.other_entries.last_sent_notice = None
        self.harness.advance(0.06)
        return self.harness.pop_effects(SendNotice)[-1].notice.serial

    def prove(self, serial: int, **changes: object) -> None:
        """Posts a proof whose read came after the notice `serial`."""
        incarnation = f"{self.name}.a"
        proof = ConfigurationProof("entry-2", incarnation, serial, 5)
        self.harness.post(ProofReceived(evolve(proof, **changes)))  # type: ignore[arg-type]

    def measure_age_s(self) -> float:
        """Returns the age of the proof."""
        return self.harness.world.measure_proof_age() or 0.0

    def poll(self) -> LongPollFeed:
        """Ends the configuration's poll, and returns the next one."""
        call = self.harness.find_call(Feed.CONFIGURATION)
        self.harness.pop_effects(LongPollFeed)
        now = self.harness.now
        self.harness.post(FeedChanged(Feed.CONFIGURATION, call, (), 12, now))
        self.harness.find_call(Feed.CONFIGURATION)
        polls = self.harness.pop_effects(LongPollFeed)
        return next(item for item in polls if item.feed is Feed.CONFIGURATION)

    def follow(self) -> ServingHarness:
        """Lets a proof come and the next poll wait for a while."""
        self.prove(self.send_notice())
        self.poll()
        self.harness.advance(1.0)
        return self.harness


class ProofRelayTests(unittest.TestCase):
    def setUp(self) -> None:
        entries = [Entry(name) for name in NAMES]
        self.readers = [item for item in entries if is_reader(item.harness.world)]
        self.follower = next(item for item in entries if item not in self.readers)

    def test_some_entries_are_readers_and_pass_on_their_proofs(self) -> None:
        self.assertEqual(len(self.readers), 2)
        reader = self.readers[0]
        reader.poll()
        reader.hear()
        poll = reader.poll()
        self.assertLess(poll.wait_s, 1.0)
        reader.harness.pop_effects(SendProofs)
        reader.hear()
        reader.poll()
        (sent,) = reader.harness.pop_effects(SendProofs)
        self.assertEqual(len(sent.messages), len(NAMES) - 1)
        for peer, proof in sent.messages:
            self.assertEqual(proof.incarnation, peer.incarnation)
            self.assertEqual((proof.serial, proof.version), (2, 5))

    def test_few_entries_have_no_readers(self) -> None:
        harness = ServingHarness()
        harness.start()
        harness.read(Feed.PEERS, dict(list(PEERS.items())[:5]))
        self.assertFalse(is_reader(harness.world))

    def test_proof_is_as_old_as_the_notice_that_it_answers(self) -> None:
        serial = self.follower.send_notice()
        self.follower.harness.advance(1.5)
        self.follower.prove(serial)
        self.assertAlmostEqual(self.follower.measure_age_s(), 1.5, delta=0.05)
        self.follower.harness.suspended_s += 10.0
        self.assertGreater(self.follower.measure_age_s(), 11.0)

    def test_proofs_that_prove_nothing_here_are_ignored(self) -> None:
        serial = self.follower.send_notice()
        self.follower.harness.advance(3.0)
        age_s = self.follower.measure_age_s()
        for name, changes in (
            ("for an earlier process", {"incarnation": "entry-9.z"}),
            ("for a notice never sent", {"serial": serial + 1000}),
            ("an older configuration", {"version": 4}),
            ("another epoch of the store", {"epoch": 2}),
        ):
            with self.subTest(name):
                self.follower.prove(**{"serial": serial, **changes})  # type: ignore[arg-type]
                self.assertGreaterEqual(self.follower.measure_age_s(), age_s)

    def test_newer_configuration_elsewhere_is_read_at_once(self) -> None:
        self.follower.follow()
        call = self.follower.harness.find_call(Feed.CONFIGURATION)
        self.follower.prove(self.follower.send_notice(), version=6)
        self.follower.harness.advance(0.04)
        read = self.follower.harness.pop_effect(ReadFeed)
        self.assertIs(read.feed, Feed.CONFIGURATION)
        self.assertGreater(read.call, call)

    def test_outdated_configuration_is_read_without_its_history(self) -> None:
        follower = self.follower
        harness = follower.follow()
        follower.prove(follower.send_notice(), version=9)
        for _ in range(3):
            call = harness.find_call(Feed.CONFIGURATION)
            self.assertEqual(len(harness.pop_effects(ReadFeed)), 1)
            harness.post(FeedFailed(Feed.CONFIGURATION, call, "no answer"))
        harness.read(Feed.CONFIGURATION, {"config": make_configuration(9)}, version=20)
        configuration = harness.world.configuration
        self.assertEqual(configuration and configuration.version, 9)
        harness.find_call(Feed.CONFIGURATION)
        self.assertEqual(harness.pop_effects(ReadFeed), [])
        polls = harness.pop_effects(LongPollFeed)
        after = [item.after for item in polls if item.feed is Feed.CONFIGURATION]
        self.assertEqual(after, [20])

    def test_slow_read_ends_though_newer_configurations_follow(self) -> None:
        follower = self.follower
        harness = follower.follow()
        calls = set()
        for version in range(6, 12):
            follower.prove(follower.send_notice(), version=version)
            harness.advance(READ_INTERVAL_S)
            calls.add(harness.find_call(Feed.CONFIGURATION))
        self.assertEqual(len(calls), 1)
        harness.read(Feed.CONFIGURATION, {"config": make_configuration(10)}, version=20)
        configuration = harness.world.configuration
        self.assertEqual(configuration and configuration.version, 10)
        harness.advance(0.04)
        self.assertNotIn(harness.find_call(Feed.CONFIGURATION), calls)

    def test_entry_asks_itself_as_soon_as_no_proof_comes(self) -> None:
        follower = self.follower
        follower.prove(follower.send_notice())
        self.assertGreater(follower.poll().wait_s, 5.0)
        follower.harness.advance(3.0)
        polls = follower.harness.pop_effects(LongPollFeed)
        asked = [item for item in polls if item.feed is Feed.CONFIGURATION]
        self.assertEqual([item.wait_s for item in asked], [0.0])
        self.assertLess(follower.measure_age_s(), 3.1)
        follower.harness.change(Feed.CONFIGURATION, {}, version=12)
        self.assertLess(follower.poll().wait_s, 2.0)

    def test_credentials_are_refused_once_neither_store_nor_readers_prove(
        self,
    ) -> None:
        follower = self.follower
        follower.prove(follower.send_notice())
        for _ in range(40):
            call = follower.harness.find_call(Feed.CONFIGURATION)
            follower.harness.post(FeedFailed(Feed.CONFIGURATION, call, "no answer"))
            follower.harness.advance(0.12)
        follower.harness.request(RouteKind.IDEMPOTENT)
        refusal = follower.harness.pop_effect(RefuseCaller)
        self.assertEqual(refusal.reason, "credentials can't be checked")


if __name__ == "__main__":
    unittest.main()
