"""A simulated store of the platform for a serving entry under test.

It keeps rows with versions, answers polls late, can lose answers, and can be restored
from an older copy.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field

from magnoliahold.core.serving.effects import (
    LongPollFeed,
    ReadFeed,
    RegisterEntry,
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
)
from magnoliahold.core.serving.feeds import Feed, FeedRow

if TYPE_CHECKING:
    from random import Random

    from tests.core.serving.harness import ServingHarness

LATE_CHANCE = 0.05
LOST_CHANCE = 0.03
STORE_CALLS = (LongPollFeed, ReadFeed, RegisterEntry, WriteMove, WriteQuarantine)


@define
class Poll:
    """A call that waits for its answer until `due_at`, on the process clock."""

    effect: Any
    sent_at: float
    due_at: float


@define
class ChangingStore:
    """Rows of the followed tables, and the calls of one entry."""

    random: Random
    harness: ServingHarness
    version: int = 10
    epoch: int = 1
    rows: dict[Feed, dict[str, FeedRow]] = field(init=False)
    copies: list[tuple[int, dict[Feed, dict[str, FeedRow]]]] = field(factory=list)
    polls: list[Poll] = field(factory=list)
    writes: list[object] = field(factory=list)

    @rows.default
    def _make_tables(self) -> dict[Feed, dict[str, FeedRow]]:
        return {feed: {} for feed in Feed}

    def write(self, feed: Feed, key: str, value: Any) -> int:
        """Writes a row, or removes it with the value None; returns its version."""
        self.version += 1
        self.rows[feed][key] = FeedRow(key, self.version, value)
        return self.version

    def keep_copy(self) -> None:
        """Keeps a copy from which the store may be restored."""
        rows = {feed: dict(table) for feed, table in self.rows.items()}
        self.copies = [*self.copies[-2:], (self.version, rows)]

    def restore(self) -> dict[Feed, dict[str, FeedRow]]:
        """Restores the store from its oldest copy; returns the rows before that."""
        before = self.rows
        if self.copies:
            self.version, self.rows = self.copies[0]
            self.copies = []
            self.epoch += 1
        return before

    def take_call(self, effect: Any) -> None:
        """Takes a call of the entry; its answer comes with `draw_answers`."""
        now = self.harness.now
        if isinstance(effect, WriteMove):
            self._write_move(effect)
        elif isinstance(effect, WriteQuarantine):
            self.write(Feed.QUARANTINE, effect.record.fingerprint, effect.record)
        elif isinstance(effect, RegisterEntry):
            self.writes.append(EntryRegistered(True, "", self.epoch))
        else:
            delay_s = self.random.uniform(0.0, 0.1)
            if self.random.random() < LATE_CHANCE:
                delay_s = self.random.uniform(0.5, 6.0)
            wait_s = getattr(effect, "wait_s", 0.0)
            if wait_s and not self._list_changes(effect):
                delay_s += self.random.uniform(0.0, wait_s)
            self.polls.append(Poll(effect, now, now + delay_s))

    def _write_move(self, effect: WriteMove) -> None:
        key = effect.record.service
        row = self.rows[Feed.MOVES].get(key)
        version = 0
        if (row.version if row else 0) == effect.expected_version:
            version = self.write(Feed.MOVES, key, effect.record)
        if self.random.random() < LOST_CHANCE:
            version = 0
        reason = "" if version else "conflict"
        self.writes.append(MoveWritten(effect.record, version, reason, self.epoch))

    def draw_answers(self) -> Any:
        """Yields the answers that are due; calls that time out fail."""
        writes, self.writes = self.writes, []
        yield from writes
        now = self.harness.now
        for poll in list(self.polls):
            changed = bool(self._list_changes(poll.effect))
            timed_out = now - poll.sent_at >= poll.effect.timeout_s
            if (
                not timed_out
                and now < poll.due_at
                and not (changed and self.random.random() < 0.1)
            ):
                continue
            self.polls.remove(poll)
            yield self._answer(poll, timed_out)

    def _answer(self, poll: Poll, timed_out: bool) -> object:
        effect = poll.effect
        if timed_out or self.random.random() < LOST_CHANCE:
            return FeedFailed(effect.feed, effect.call, "timeout")
        now = self.harness.now
        ending = (self.version, poll.sent_at, now, self.epoch)
        table = self.rows[effect.feed].values()
        if isinstance(effect, ReadFeed):
            rows = tuple(row for row in table if row.value is not None)
            return FeedRead(effect.feed, effect.call, rows, *ending)
        if effect.after > self.version or self.random.random() < 0.01:
            return FeedHistoryGone(effect.feed, effect.call, self.epoch)
        return FeedChanged(
            effect.feed, effect.call, self._list_changes(effect), *ending
        )

    def _list_changes(self, effect: Any) -> tuple[FeedRow, ...]:
        after = getattr(effect, "after", None)
        if after is None:
            return ()
        table = self.rows[effect.feed].values()
        return tuple(row for row in table if row.version > after)
