"""Tests of entries over one store that is restored from copies at random times.

`MAGNOLIAHOLD_SEED` and `MAGNOLIAHOLD_EXAMPLES` set other seeds.
"""

from __future__ import annotations

import os
import unittest
from random import Random
from typing import Any

from attrs import define, evolve, field

from magnoliahold.core.moves import ENDED_STATES
from magnoliahold.core.serving.effects import (
    LongPollFeed,
    ReadFeed,
    RegisterEntry,
    SendNotice,
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
    NoticeReceived,
)
from magnoliahold.core.serving.feeds import Feed, FeedRow
from magnoliahold.core.serving.moves import MoveOrder
from magnoliahold.core.serving.peers import PeerRecord
from magnoliahold.core.serving.systems.quarantine import quarantine_suspects
from tests.core.serving.harness import (
    CALLS,
    ServingHarness,
    make_configuration,
    make_upstream,
)

FIRST_SEED = int(os.environ.get("MAGNOLIAHOLD_SEED", "1"))
EXAMPLES = int(os.environ.get("MAGNOLIAHOLD_EXAMPLES", "4"))
STEP_S = 0.02
LENGTH_S = 30.0
MOVE_S = 5.0
# Rows are complete again this long after operators and upstreams have written theirs.
COMPLETE_S = 2.0
RowKey = tuple[Feed, str]


@define
class FakeStore:
    """Rows by feed and key with their versions; a copy holds all of it."""

    epoch: int = 1
    version: int = 1
    rows: dict[RowKey, tuple[int, Any]] = field(factory=dict)
    away: bool = False

    def put(self, feed: Feed, key: str, value: Any) -> int:
        """Writes a row and returns its version."""
        self.version += 1
        if isinstance(value, MoveOrder):
            value = evolve(value, row_version=self.version)
        self.rows[feed, key] = (self.version, value)
        return self.version

    def list_rows(self, feed: Feed, after: int) -> tuple[FeedRow, ...]:
        """Lists the rows of a feed that changed after a version."""
        return tuple(
            FeedRow(key, version, value)
            for (of, key), (version, value) in self.rows.items()
            if of is feed and version > after
        )


@define
class Simulation:
    """Three entries, one store, and what operators and upstreams have written."""

    seed: int
    random: Random = field(init=False)
    store: FakeStore = field(factory=FakeStore)
    entries: list[ServingHarness] = field(factory=list)
    written: dict[RowKey, Any] = field(factory=dict)
    scheduled: list[tuple[float, ServingHarness, object]] = field(factory=list)
    polls: list[tuple[float, ServingHarness, LongPollFeed]] = field(factory=list)
    actions: list[tuple[float, Any]] = field(factory=list)
    configurations: dict[str, int] = field(factory=dict)
    ended_orders: set[tuple[str, float]] = field(factory=set)
    rerun: list[str] = field(factory=list)
    restores: int = 0
    now: float = 100.0

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        self.write(Feed.CONFIGURATION, "config", make_configuration(1))
        for number in range(1, 5):
            record = make_upstream(number, CALLS, version="v1")
            self.write(Feed.UPSTREAMS, record.id, record)
        for number in range(3):
            harness = ServingHarness(name=f"entry-{number}", seed=self.seed + number)
            self.entries.append(harness)

    def write(self, feed: Feed, key: str, value: Any) -> None:
        """Writes a row for an operator or an upstream, who will remember it."""
        self.written[feed, key] = value
        if not self.store.away:
            self.store.put(feed, key, value)

    def write_lost_rows(self) -> None:
        """Writes again what operators and upstreams miss in the store."""
        for (feed, key), value in self.written.items():
            _, listed = self.store.rows.get((feed, key), (0, None))
            if isinstance(listed, MoveOrder):
                listed = evolve(listed, row_version=0)
            if listed != value:
                self.store.put(feed, key, value)

    def restore(self) -> None:
        """Copies the store now; it goes away soon, and comes back as the copy."""
        copied = (self.store.version, dict(self.store.rows))
        away_at = self.now + self.random.uniform(0.0, 3.0)
        back_at = away_at + self.random.uniform(0.05, 1.5)
        rewritten_at = back_at + self.random.uniform(0.0, 1.2)

        def go_away() -> None:
            self.store.away = True

        def come_back() -> None:
            self.store.version, self.store.rows = copied[0], dict(copied[1])
            self.store.epoch += 1
            self.store.away = False
            self.restores += 1

        self.actions += [(away_at, go_away), (back_at, come_back)]
        self.actions.append((rewritten_at, self.write_lost_rows))

    def run(self, seconds: float) -> None:
        """Advances the clock and checks what must hold in each tick."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            due = [action for at, action in self.actions if at <= self.now]
            self.actions = [item for item in self.actions if item[0] > self.now]
            for action in due:
                action()
            self._answer_polls()
            events = [item for item in self.scheduled if item[0] <= self.now]
            self.scheduled = [item for item in self.scheduled if item[0] > self.now]
            for harness in self.entries:
                harness.now = self.now
                harness.post(*(event for _, to, event in events if to is harness))
                self._perform(harness)
                self._check_configuration(harness)

    def _check_configuration(self, harness: ServingHarness) -> None:
        configuration = harness.world.configuration
        version = configuration.version if configuration else 0
        before = self.configurations.get(harness.name, 0)
        if version < before:
            self.rerun.append(f"{harness.name}: configuration {before}, now {version}")
        self.configurations[harness.name] = version

    def _answer(self, harness: ServingHarness, event: object) -> None:
        delay_s = self.random.uniform(0.0, 0.1)
        self.scheduled.append((self.now + delay_s, harness, event))

    def _perform(self, harness: ServingHarness) -> None:
        emitted, harness.emitted = harness.emitted, []
        store = self.store
        for effect in emitted:
            if isinstance(effect, SendNotice):
                for other in self.entries:
                    if other is not harness:
                        self._answer(other, NoticeReceived(effect.notice))
            elif isinstance(effect, LongPollFeed):
                self.polls.append((self.now + effect.wait_s, harness, effect))
            elif isinstance(effect, ReadFeed):
                self._answer(harness, self._read(effect))
            elif isinstance(effect, WriteMove):
                self._answer(harness, self._write_move(effect))
            elif isinstance(effect, RegisterEntry):
                name = harness.name
                record = PeerRecord(name, f"{name}.a", "10.9.0.1", 7)
                if not store.away:
                    store.put(Feed.PEERS, name, record)
                event = EntryRegistered(not store.away, "", self._name_epoch())
                self._answer(harness, event)
            elif isinstance(effect, WriteQuarantine) and not store.away:
                record_key = effect.record.fingerprint
                store.put(Feed.QUARANTINE, record_key, effect.record)

    def _name_epoch(self) -> int | None:
        return None if self.store.away else self.store.epoch

    def _read(self, effect: ReadFeed) -> object:
        store = self.store
        if store.away:
            return FeedFailed(effect.feed, effect.call, "away")
        rows = store.list_rows(effect.feed, 0)
        return FeedRead(
            *(effect.feed, effect.call, rows, store.version),
            *(self.now, self.now, store.epoch),
        )

    def _answer_polls(self) -> None:
        polls, self.polls = self.polls, []
        store = self.store
        for until, harness, effect in polls:
            rows = store.list_rows(effect.feed, effect.after)
            event: object
            if store.away:
                event = FeedFailed(effect.feed, effect.call, "away")
            elif effect.after > store.version:
                event = FeedHistoryGone(effect.feed, effect.call, store.epoch)
            elif rows or self.now >= until:
                event = FeedChanged(
                    *(effect.feed, effect.call, rows, store.version),
                    *(self.now, self.now, store.epoch),
                )
            else:
                self.polls.append((until, harness, effect))
                continue
            self._answer(harness, event)

    def _write_move(self, effect: WriteMove) -> MoveWritten:
        store, record = self.store, effect.record
        if store.away:
            return MoveWritten(record, 0, "away")
        version, _ = store.rows.get((Feed.MOVES, record.service), (0, None))
        if effect.expected_version != version:
            return MoveWritten(record, 0, "answered 412", store.epoch)
        order = (record.to_version, record.began_at)
        if record.state in ENDED_STATES:
            self.ended_orders.add(order)
        elif any(to == record.to_version for to, _ in self.ended_orders):
            self.rerun.append(f"{record.order} runs again")
        written = store.put(Feed.MOVES, record.service, record)
        return MoveWritten(record, written, "", store.epoch)

    def find_missing_rows(self) -> list[str]:
        """Lists the rows that the entries know and the store lacks."""
        missing = [
            f"registration of {harness.name}"
            for harness in self.entries
            if (Feed.PEERS, harness.name) not in self.store.rows
        ]
        for harness in self.entries:
            missing += [
                f"quarantine {key} of {harness.name}"
                for key in harness.world.suspicions.quarantines
                if (Feed.QUARANTINE, key) not in self.store.rows
            ]
            for move in harness.world.moves.by_service.values():
                _, record = self.store.rows.get((Feed.MOVES, CALLS), (0, None))
                if move.ended and (record is None or record.state not in ENDED_STATES):
                    missing.append(f"end of {move.order.id} at {harness.name}")
        return missing


class RestoreTests(unittest.TestCase):
    def test_nothing_is_lost_or_run_again_after_restores_at_random_times(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + EXAMPLES):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                simulation.run(1.0)
                for number in range(6):
                    self.act(simulation, number)
                    simulation.run(LENGTH_S / 6)
                # Until the last outage and the last writes of others are over.
                simulation.run(3.0 + 1.5 + 1.2 + COMPLETE_S)
                self.assertEqual(simulation.rerun, [])
                self.assertEqual(simulation.find_missing_rows(), [])
                self.assertGreater(simulation.restores, 2)

    def act(self, simulation: Simulation, number: int) -> None:
        """Writes something new, and restores the store about then."""
        random = simulation.random
        actions = [simulation.restore]
        version = 10 * (number + 1)
        configuration = make_configuration(version)
        actions.append(
            lambda: simulation.write(Feed.CONFIGURATION, "config", configuration)
        )
        if number in (0, 3):
            order = MoveOrder(CALLS, f"v{number + 2}", MOVE_S, 0)
            actions.append(
                lambda: simulation.write(Feed.CONFIGURATION, "rollout/calls", order)
            )
        if number == 1:
            world = simulation.entries[0].world
            actions.append(
                lambda: quarantine_suspects(world, frozenset({"f"}), simulation.now)
            )
        for action in actions:
            at = simulation.now + random.uniform(0.0, 3.0)
            simulation.actions.append((at, action))


if __name__ == "__main__":
    unittest.main()
