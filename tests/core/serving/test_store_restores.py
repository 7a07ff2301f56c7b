"""Tests of a store that was restored from an older copy."""

from __future__ import annotations

import unittest
from typing import Any

from attrs import evolve

from magnoliahold.core.moves import MoveState
from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import (
    LongPollFeed,
    ProbeServingUpstream,
    ReadFeed,
    RefuseCaller,
    RegisterEntry,
    RemoveEntry,
    SendAttempt,
    WriteMove,
    WriteQuarantine,
)
from magnoliahold.core.serving.events import (
    EntryRegistered,
    FeedChanged,
    FeedFailed,
    FeedHistoryGone,
    FeedRead,
    MoveWritten,
    UpstreamAnsweredProbe,
)
from magnoliahold.core.serving.feeds import Feed, FeedRow
from magnoliahold.core.serving.moves import MoveOrder, MoveRecord
from magnoliahold.core.serving.peers import PeerRecord
from magnoliahold.core.serving.suspicions import QuarantineRecord
from magnoliahold.core.serving.systems.quarantine import quarantine_suspects
from tests.core.serving.harness import (
    CALLS,
    ServingHarness,
    make_configuration,
    make_upstream,
)

CALL = RouteKind.IDEMPOTENT
PEER = PeerRecord("entry-2", "entry-2.a", "10.9.0.2", 7)
ORDER = MoveOrder(CALLS, "v2", 12.0, 20)
DONE = MoveRecord(CALLS, ORDER.id, "v2", MoveState.DONE, 1000.0, epoch=1)
TAKEN_BACK = evolve(DONE, state=MoveState.TAKEN_BACK)
RUNNING = evolve(DONE, state=MoveState.CANARY)


class RestoreTestCase(unittest.TestCase):
    """An entry that has read all tables in epoch 1 of the store."""

    def setUp(self) -> None:
        self.harness = ServingHarness()
        self.harness.post()
        upstreams = {
            record.id: record for record in (make_upstream(n, CALLS) for n in (1, 2, 3))
        }
        self.read(Feed.PEERS, {PEER.name: PEER}, 10, 1)
        self.read(Feed.CONFIGURATION, {"config": make_configuration(5)}, 10, 1)
        self.read(Feed.UPSTREAMS, upstreams, 10, 1)
        self.read(Feed.QUARANTINE, {}, 10, 1)
        self.harness.post(EntryRegistered(True, epoch=1))

    def read(
        self, feed: Feed, values: dict[str, Any], version: int, epoch: int
    ) -> None:
        """Answers a full read of a feed in an epoch of the store."""
        rows = tuple(FeedRow(key, version, value) for key, value in values.items())
        call = self.harness.find_call(feed)
        now = self.harness.now
        self.harness.post(FeedRead(feed, call, rows, version, now, now + 900, epoch))

    def restore(self, epoch: int = 2) -> None:
        """Lets a failed read tell that the store has been restored."""
        call = self.harness.find_call(Feed.PEERS)
        self.harness.post(FeedFailed(Feed.PEERS, call, "answered 503", epoch))
        self.harness.emitted.clear()

    def accepts_credential(self) -> bool:
        """Tells whether a call with a credential is sent to an upstream."""
        caller = self.harness.request(CALL)
        refused = self.harness.pop_effects(RefuseCaller)
        for attempt in self.harness.pop_effects(SendAttempt):
            self.harness.answer(attempt, caller, 200)
        return not refused


class FeedTests(RestoreTestCase):
    def test_every_table_is_read_in_full_and_older_results_are_ignored(self) -> None:
        before = {feed: self.harness.find_call(feed) for feed in (Feed.UPSTREAMS,)}
        self.restore()
        self.harness.advance(0.2)
        read = {item.feed for item in self.harness.pop_effects(ReadFeed)}
        self.assertLessEqual({Feed.CONFIGURATION, Feed.UPSTREAMS, Feed.PEERS}, read)
        for name, event in (
            (
                "sent before",
                FeedRead(Feed.UPSTREAMS, before[Feed.UPSTREAMS], (), 9, 1.0),
            ),
            (
                "of an earlier epoch",
                FeedRead(
                    Feed.UPSTREAMS,
                    self.harness.find_call(Feed.UPSTREAMS),
                    (),
                    99,
                    1.0,
                    epoch=1,
                ),
            ),
        ):
            with self.subTest(name):
                self.harness.post(event)
                self.assertEqual(len(self.harness.world.upstreams.by_id), 3)
                self.assertIsNone(self.harness.world.feeds[Feed.UPSTREAMS].version)

    def test_first_epoch_that_is_named_voids_versions_read_without_one(self) -> None:
        harness = ServingHarness()
        harness.start()
        call = harness.find_call(Feed.PEERS)
        harness.post(FeedFailed(Feed.PEERS, call, "answered 503", 4))
        self.assertIsNone(harness.world.feeds[Feed.UPSTREAMS].version)

    def test_version_that_the_store_lacks_is_read_in_full(self) -> None:
        call = self.harness.find_call(Feed.UPSTREAMS)
        self.harness.post(FeedHistoryGone(Feed.UPSTREAMS, call, 2))
        self.harness.advance(0.2)
        read = {item.feed for item in self.harness.pop_effects(ReadFeed)}
        self.assertIn(Feed.CONFIGURATION, read)


class ConfigurationTests(RestoreTestCase):
    def test_credentials_stay_bounded_until_the_newest_configuration_is_back(
        self,
    ) -> None:
        listed = {
            "an older one": (4, 9, False),
            "the same row, which may lack a newer one": (5, 10, False),
            "the same one, written again": (5, 11, True),
            "a newer one": (6, 12, True),
        }
        for name, (version, row_version, proved) in listed.items():
            with self.subTest(name):
                self.setUp()
                self.restore()
                configuration = {"config": make_configuration(version)}
                self.read(Feed.CONFIGURATION, configuration, row_version, 2)
                world = self.harness.world
                assert world.configuration is not None
                self.assertEqual(world.configuration.version, max(version, 5))
                self.assertTrue(self.accepts_credential(), "it was proved just before")
                self.harness.advance(4.5, step_s=0.5)
                self.assertFalse(self.accepts_credential())
                self.assertEqual(world.awaited_configuration is None, proved)

    def test_configuration_that_nothing_replaced_is_proved_after_a_while(self) -> None:
        self.restore()
        self.read(Feed.CONFIGURATION, {"config": make_configuration(5)}, 10, 2)
        self.harness.advance(4.5)
        self.harness.change(Feed.CONFIGURATION, {}, version=11)
        self.assertTrue(self.accepts_credential())

    def test_configuration_is_proved_as_soon_as_a_lost_one_would_be_back(self) -> None:
        self.restore()
        restored_at = self.harness.now
        self.read(Feed.CONFIGURATION, {"config": make_configuration(5)}, 10, 2)
        polls = self.answer_polls(3.0)
        proved_s = [at - restored_at for at in polls if at is not None]
        grace_s = self.harness.world.serving_policy.feeds.restore_grace_s
        self.assertIsNone(self.harness.world.awaited_configuration)
        self.assertLess(min(proved_s), grace_s + 0.1)

    def test_older_configuration_is_not_read_all_the_time(self) -> None:
        self.restore()
        self.read(Feed.CONFIGURATION, {"config": make_configuration(4)}, 9, 2)
        self.assertLess(len(self.answer_polls(10.0)), 12)

    def answer_polls(self, seconds: float) -> list[float | None]:
        """Answers polls of the configuration without a change at their ends.

        Returns, for each poll, when it was answered if the configuration is proved.
        """
        answered: list[float | None] = []
        ends: dict[int, tuple[float, float]] = {}
        until = self.harness.now + seconds
        while self.harness.now < until:
            for poll in self.harness.pop_effects(LongPollFeed):
                if poll.feed is Feed.CONFIGURATION:
                    now = self.harness.now
                    ends[poll.call] = (now, now + poll.wait_s + 0.01)
            for call, (sent_at, end) in list(ends.items()):
                if self.harness.now < end:
                    continue
                del ends[call]
                changed = FeedChanged(
                    Feed.CONFIGURATION, call, (), 10, sent_at, None, 2
                )
                self.harness.post(changed)
                proved = self.harness.world.awaited_configuration is None
                answered.append(self.harness.now if proved else None)
            self.harness.advance(0.02)
        return answered

    def test_older_configuration_never_proves_ours(self) -> None:
        self.restore()
        self.read(Feed.CONFIGURATION, {"config": make_configuration(4)}, 9, 2)
        self.harness.advance(4.5)
        self.harness.change(Feed.CONFIGURATION, {}, version=11)
        self.assertFalse(self.accepts_credential())

    def test_second_restore_before_the_newest_is_back(self) -> None:
        self.restore()
        self.read(Feed.CONFIGURATION, {"config": make_configuration(4)}, 9, 2)
        self.restore(epoch=3)
        self.read(Feed.CONFIGURATION, {"config": make_configuration(5)}, 12, 3)
        self.assertIsNotNone(self.harness.world.awaited_configuration)


class RegistrationTests(RestoreTestCase):
    def list_upstreams(self, *records: Any) -> None:
        """Answers the first full read of upstreams in epoch 2."""
        self.restore()
        self.read(Feed.UPSTREAMS, {item.id: item for item in records}, 8, 2)

    def choose_many(self) -> set[str]:
        """Returns the upstreams that get 30 calls."""
        chosen = set()
        for _ in range(30):
            caller = self.harness.request(CALL)
            attempt = self.harness.send()
            self.harness.answer(attempt, caller, 200)
            chosen.add(attempt.upstream.id)
        return chosen

    def test_upstream_missing_from_the_copy_has_time_to_register_again(self) -> None:
        kept = make_upstream(1, CALLS)
        self.list_upstreams(kept)
        self.assertIn("calls-2", self.harness.world.upstreams.by_id)
        self.harness.change(Feed.UPSTREAMS, {"calls-2": make_upstream(2, CALLS)})
        self.harness.advance(2.4)
        self.assertEqual(
            set(self.harness.world.upstreams.by_id), {"calls-1", "calls-2"}
        )

    def test_upstream_that_is_leaving_is_not_ready_in_the_copy(self) -> None:
        leaving = make_upstream(1, CALLS, leaving=True)
        self.harness.change(Feed.UPSTREAMS, {"calls-1": leaving})
        self.list_upstreams(*(make_upstream(n, CALLS) for n in (1, 2, 3)))
        self.assertEqual(self.choose_many(), {"calls-2", "calls-3"})

    def test_upstream_that_had_left_gets_no_work_before_a_sign_of_life(self) -> None:
        self.harness.change(Feed.UPSTREAMS, {"calls-1": None})
        self.list_upstreams(*(make_upstream(n, CALLS) for n in (1, 2, 3)))
        self.assertEqual(self.choose_many(), {"calls-2", "calls-3"})
        probed = {i.upstream.id for i in self.harness.pop_effects(ProbeServingUpstream)}
        self.assertEqual(probed, {"calls-1"})
        record = make_upstream(1, CALLS)
        self.harness.post(UpstreamAnsweredProbe(record.id, record.born_ms))
        self.assertIn("calls-1", self.choose_many())

    def test_copy_does_not_bring_back_an_earlier_start(self) -> None:
        again = make_upstream(1, CALLS, born_ms=5000)
        other = make_upstream(9, CALLS, address="10.0.2.2", born_ms=6000)
        self.harness.change(Feed.UPSTREAMS, {"calls-1": again, other.id: other})
        self.list_upstreams(*(make_upstream(n, CALLS) for n in (1, 2, 3)))
        table = self.harness.world.upstreams.by_id
        self.assertEqual(table["calls-1"].record, again)
        self.assertNotIn("calls-2", table)
        self.assertIn(other.id, table)

    def test_entry_registers_again_where_its_row_is_lost_or_old(self) -> None:
        own = PeerRecord("entry-1", "entry-1.old", "10.9.0.1", 7)
        for name, rows in (("lost", {}), ("old", {own.name: own})):
            with self.subTest(name):
                self.setUp()
                self.restore()
                self.read(Feed.PEERS, rows, 8, 2)
                self.harness.advance(1.1)
                self.assertTrue(self.harness.pop_effects(RegisterEntry))

    def test_registration_that_was_written_before_the_restore_does_not_count(
        self,
    ) -> None:
        self.restore()
        self.harness.world.other_entries.registering = True
        self.harness.post(EntryRegistered(True, epoch=1))
        self.assertFalse(self.harness.world.other_entries.registered)

    def test_other_entries_are_kept_while_they_register_again(self) -> None:
        for name, back, expected in (("back", True, 2), ("gone", False, 1)):
            with self.subTest(name):
                self.setUp()
                self.restore()
                self.read(Feed.PEERS, {}, 8, 2)
                self.assertEqual(self.harness.world.count_entries(), 2)
                if back:
                    self.harness.change(Feed.PEERS, {PEER.name: PEER}, version=9)
                self.harness.advance(2.4)
                self.assertEqual(self.harness.world.count_entries(), expected)

    def test_row_of_a_silent_entry_is_removed_only_at_a_version_of_this_epoch(
        self,
    ) -> None:
        self.restore()
        self.harness.advance(41, step_s=0.5)
        self.assertFalse(self.harness.pop_effects(RemoveEntry))
        self.read(Feed.PEERS, {PEER.name: PEER}, 8, 2)
        self.harness.advance(41, step_s=0.5)
        removed = self.harness.pop_effects(RemoveEntry)[0]
        self.assertEqual((removed.row_version, removed.epoch), (8, 2))


class MoveTests(RestoreTestCase):
    def begin(self, record: MoveRecord) -> None:
        """Lets the entry know an order and its record in epoch 1."""
        self.harness.change(Feed.CONFIGURATION, {"rollout/calls": ORDER}, version=20)
        self.read(Feed.MOVES, {CALLS: record}, 21, 1)

    def list_copy(self, order: MoveOrder | None, record: MoveRecord | None) -> None:
        """Answers the first reads of epoch 2 with what the copy has."""
        self.restore()
        orders = {"rollout/calls": order} if order else {}
        values = {"config": make_configuration(5), **orders}
        self.read(Feed.CONFIGURATION, values, 15, 2)
        self.read(Feed.MOVES, {CALLS: record} if record else {}, 15, 2)
        self.harness.advance(1.2)

    def pop_write(self) -> WriteMove | None:
        """Returns the last write of a move's record, if there was one."""
        writes = self.harness.pop_effects(WriteMove)
        return writes[-1] if writes else None

    def test_end_is_written_again_where_the_copy_is_behind(self) -> None:
        for end in (DONE, TAKEN_BACK):
            for copy, expected in ((None, 0), (RUNNING, 15)):
                with self.subTest(end=end.state, copy=copy):
                    self.setUp()
                    self.begin(end)
                    self.list_copy(ORDER, copy)
                    write = self.pop_write()
                    assert write is not None
                    self.assertEqual(write.record, end)
                    self.assertEqual(
                        (write.expected_version, write.epoch), (expected, 2)
                    )

    def test_end_that_the_copy_has_is_not_written_again(self) -> None:
        self.begin(DONE)
        self.list_copy(ORDER, DONE)
        self.assertIsNone(self.pop_write())

    def test_order_that_operators_write_again_is_the_same_one(self) -> None:
        self.begin(DONE)
        self.list_copy(None, None)
        self.assertIsNone(self.pop_write(), "its order isn't listed yet")
        again = evolve(ORDER, row_version=16)
        self.harness.change(Feed.CONFIGURATION, {"rollout/calls": again}, version=16)
        self.harness.advance(1.2)
        write = self.pop_write()
        assert write is not None
        self.assertEqual(write.record, evolve(DONE, order=again.id))
        self.harness.post(MoveWritten(write.record, 17, epoch=2))
        self.harness.advance(1.2)
        self.assertIsNone(self.pop_write())

    def test_order_that_a_newer_one_had_replaced_is_not_run_again(self) -> None:
        self.begin(TAKEN_BACK)
        newer = MoveOrder(CALLS, "v3", 12.0, 30)
        self.harness.change(Feed.CONFIGURATION, {"rollout/calls": newer}, version=30)
        self.list_copy(ORDER, RUNNING)
        self.harness.advance(3.0)
        self.assertIsNone(self.pop_write())
        move = self.harness.world.moves.by_service[CALLS]
        self.assertEqual(move.order, newer)

    def test_order_that_was_never_seen_runs(self) -> None:
        self.begin(TAKEN_BACK)
        self.list_copy(ORDER, TAKEN_BACK)
        new = evolve(ORDER, row_version=25)
        self.harness.change(Feed.CONFIGURATION, {"rollout/calls": new}, version=25)
        self.harness.advance(3.0)
        write = self.pop_write()
        assert write is not None
        self.assertIs(write.record.state, MoveState.CANARY)

    def test_of_two_ends_that_of_the_earlier_epoch_stands(self) -> None:
        later = evolve(TAKEN_BACK, epoch=2)
        self.assertTrue(DONE.is_ahead_of(later))
        self.assertFalse(later.is_ahead_of(DONE))
        self.begin(DONE)
        self.list_copy(ORDER, later)
        write = self.pop_write()
        assert write is not None
        self.assertEqual(write.record, DONE)

    def test_no_new_step_is_decided_while_others_write_theirs_again(self) -> None:
        self.begin(RUNNING)
        move = self.harness.world.moves.by_service[CALLS]
        move.suspension_reason = "worse"
        self.list_copy(ORDER, RUNNING)
        self.assertIsNone(self.pop_write())
        self.harness.advance(2.4)
        write = self.pop_write()
        assert write is not None
        self.assertIs(write.record.state, MoveState.TAKEN_BACK)

    def test_write_that_was_answered_in_an_earlier_epoch_is_undecided(self) -> None:
        self.begin(RUNNING)
        self.restore()
        self.harness.post(MoveWritten(DONE, 22, epoch=1))
        move = self.harness.world.moves.by_service[CALLS]
        self.assertFalse(move.ended)


class QuarantineTests(RestoreTestCase):
    def test_lost_quarantine_is_written_again_unless_another_entry_did(self) -> None:
        for name, rows, written in (
            ("lost", {}, True),
            ("kept", {"f": QuarantineRecord("f", 990.0)}, False),
        ):
            with self.subTest(name):
                self.setUp()
                world = self.harness.world
                quarantine_suspects(world, frozenset({"f"}), 995.0)
                self.restore()
                self.read(Feed.QUARANTINE, {}, 8, 2)
                self.harness.advance(0.3)
                if world.feeds[Feed.QUARANTINE].call:
                    self.read(Feed.QUARANTINE, rows, 9, 2)
                    self.harness.advance(0.1)
                writes = self.harness.pop_effects(WriteQuarantine)
                if written:
                    self.assertEqual(
                        [item.record for item in writes],
                        [QuarantineRecord("f", 995.0, 45.0)],
                    )
                self.harness.advance(2.0)
                self.assertFalse(self.harness.pop_effects(WriteQuarantine))


if __name__ == "__main__":
    unittest.main()
