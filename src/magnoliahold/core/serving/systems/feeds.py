"""Follows the tables of the platform's store that an entry needs.

These are the configuration with its move orders, the registered upstreams and
entries, the records of moves, and quarantines.
"""

from __future__ import annotations

from functools import singledispatch
from types import NoneType
from typing import TYPE_CHECKING

from attrs import frozen

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.configuration import Configuration
from magnoliahold.core.serving.effects import LongPollFeed, ReadFeed
from magnoliahold.core.serving.events import (
    FeedChanged,
    FeedFailed,
    FeedHistoryGone,
    FeedRead,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.moves import MoveOrder, MoveRecord
from magnoliahold.core.serving.peers import PeerRecord
from magnoliahold.core.serving.suspicions import QuarantineRecord
from magnoliahold.core.serving.systems.configurations import (
    apply_configuration,
    record_proof,
)
from magnoliahold.core.serving.systems.moves import (
    apply_move_record,
    apply_order,
    remove_order,
    remove_unlisted_orders,
    submit_unlisted_records,
)
from magnoliahold.core.serving.systems.peer_notices import (
    add_peer,
    remove_peer,
    remove_unlisted_peers,
)
from magnoliahold.core.serving.systems.proof_relay import (
    choose_configuration_wait_s,
    record_seen_notices,
)
from magnoliahold.core.serving.systems.quarantine import (
    apply_quarantine_record,
    forget_suspicions,
    schedule_unlisted_quarantines,
)
from magnoliahold.core.serving.systems.registrations import (
    apply_registration,
    remove_unlisted_upstreams,
    remove_upstream,
)
from magnoliahold.core.serving.upstreams import UpstreamRecord
from magnoliahold.core.ticks import run_contained

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliahold.core.serving.feeds import FeedRow, FeedState
    from magnoliahold.core.serving.world import ServingWorld


# Rows of these feeds change often, and each change wakes all entries; changes are
# therefore gathered for a while before the next read.
GATHERED_FEEDS = frozenset((Feed.UPSTREAMS, Feed.PEERS))


@frozen
class _ReadContext:
    """How the rows of a read are to be understood.

    `from_copy` is set if the store may hold them from before a restore, and
    `may_have_lapsed` if rows may be missing that their writers will write again.
    """

    now: float
    from_copy: bool
    may_have_lapsed: bool


def apply_feed_results(world: ServingWorld, now: float) -> None:
    """Applies the results of store reads."""
    for read in world.inbox.read_events(FeedRead):
        state = _end_call(world, read, now)
        if state is not None:
            _set_store_time(world, read.store_time)
            _apply_full_read(world, state, read, now)
    for changed in world.inbox.read_events(FeedChanged):
        state = _end_call(world, changed, now)
        if state is not None:
            _set_store_time(world, changed.store_time)
            _apply_changes(world, state, changed, now)
    for gone in world.inbox.read_events(FeedHistoryGone):
        state = _end_call(world, gone, now)
        if state is not None:
            state.version = None
            world.log_decision(
                "store", "Change history is no longer available.", feed=gone.feed.value
            )
    for failed in world.inbox.read_events(FeedFailed):
        state = _end_call(world, failed, now)
        if state is not None:
            _record_failure(world, state, failed.reason, now)


def _set_store_time(world: ServingWorld, store_time: float | None) -> None:
    if store_time is not None:
        world.store_offset_s = store_time - world.boot_clock()


def _end_call(
    world: ServingWorld,
    result: FeedRead | FeedChanged | FeedHistoryGone | FeedFailed,
    now: float,
) -> FeedState | None:
    """Ends a feed's call and returns the feed, or None if its result is outdated."""
    state = world.feeds[result.feed]
    if not state.call or state.call != result.call:
        return None
    state.call = 0
    state.answer_at_once = False
    if world.store_epoch.is_outdated(result.epoch):
        _record_failure(world, state, "the answer is of an earlier epoch", now)
        return None
    return state


def _apply_full_read(
    world: ServingWorld, state: FeedState, read: FeedRead, now: float
) -> None:
    if state.version is not None and read.version < state.version:
        _record_failure(
            world, state, "the store returned an older version than before", now
        )
        return
    outage_s = _record_success(world, state, read.version, now)
    context = _make_context(world, outage_s, state.restored, now)
    state.restored = False
    _apply_rows(world, read.feed, read.rows, context)
    _apply_missing_rows(world, read, context)
    _record_proof(world, state, read.sent_at, now)


def _apply_missing_rows(
    world: ServingWorld, read: FeedRead, context: _ReadContext
) -> None:
    """Removes what a full read doesn't list, or has it written again.

    What it lists but can't be read is kept as it was; only what this entry writes is
    written again.
    """
    listed = {row.key for row in read.rows}
    kept = listed | (read.left_out - {world.identity.name})
    if read.feed is Feed.UPSTREAMS:
        world.upstreams.loaded = True
        remove_unlisted_upstreams(world, listed, context.may_have_lapsed, context.now)
    elif read.feed is Feed.PEERS:
        world.other_entries.loaded = True
        remove_unlisted_peers(world, kept, context.from_copy, context.now)
    elif read.feed is Feed.CONFIGURATION:
        remove_unlisted_orders(world, kept)
    elif read.feed is Feed.MOVES:
        submit_unlisted_records(world)
    elif read.feed is Feed.QUARANTINE and context.from_copy:
        schedule_unlisted_quarantines(world, listed, context.now)


def _make_context(
    world: ServingWorld, outage_s: float, from_copy: bool, now: float
) -> _ReadContext:
    policy = world.serving_policy.feeds
    lapsed = outage_s > policy.lapse_after_s
    settling = world.store_epoch.is_settling(now, policy.restore_grace_s)
    return _ReadContext(now, from_copy, lapsed or from_copy or settling)


def _apply_rows(
    world: ServingWorld, feed: Feed, rows: Iterable[FeedRow], context: _ReadContext
) -> None:
    for row in rows:
        _apply_value(row.value, world, feed, row, context)


def _record_proof(
    world: ServingWorld, state: FeedState, sent_at: float, now: float
) -> None:
    if state.feed is Feed.CONFIGURATION:
        record_proof(world, sent_at, now)


def _apply_changes(
    world: ServingWorld, state: FeedState, changed: FeedChanged, now: float
) -> None:
    if state.version is not None and changed.version < state.version:
        state.version = None
        _record_failure(
            world, state, "the store returned an older version than before", now
        )
        return
    outage_s = _record_success(world, state, changed.version, now)
    context = _make_context(world, outage_s, False, now)
    _apply_rows(world, changed.feed, changed.rows, context)
    _record_proof(world, state, changed.sent_at, now)


def _record_success(
    world: ServingWorld, state: FeedState, version: int, now: float
) -> float:
    """Records a successful read and returns the length of the outage before it."""
    outage_s = 0.0
    if state.failing_since is not None:
        outage_s = now - state.failing_since
        world.log_decision(
            "store",
            "Contact regained.",
            feed=state.feed.value,
            outage_s=round(outage_s, 3),
            version=version,
        )
    state.failing_since = None
    state.failures = 0
    state.outdated = False
    state.version = version
    state.next_call_at = now
    if state.feed in GATHERED_FEEDS:
        state.next_call_at += _find_gather_delay_s(world)
    return outage_s


def _find_gather_delay_s(world: ServingWorld) -> float:
    """Returns how long to gather changes, in proportion to the number of upstreams."""
    policy = world.serving_policy.feeds
    count = len(world.upstreams.by_id)
    return min(policy.gather_max_s, policy.gather_per_upstream_s * count)


def _record_failure(
    world: ServingWorld, state: FeedState, reason: str, now: float
) -> None:
    policy = world.serving_policy.feeds
    if state.failing_since is None:
        state.failing_since = state.called_at
        world.log_decision(
            "store",
            "Contact lost.",
            feed=state.feed.value,
            reason=reason,
            version=state.version,
        )
    delay = min(policy.retry_max_s, policy.retry_min_s * 2**state.failures)
    state.failures = min(state.failures + 1, 16)
    state.next_call_at = now + delay * world.random.uniform(0.75, 1.25)
    world.emit(CountMetric("store_calls_failed", 1, {"feed": state.feed.value}))


@singledispatch
def _apply_value(
    value: object, world: ServingWorld, feed: Feed, row: FeedRow, read: _ReadContext
) -> None:
    """Applies the value of a row; a row of no known kind changes nothing."""


@_apply_value.register(Configuration)
def _apply_configuration_row(
    value: Configuration, world: ServingWorld, _: Feed, row: FeedRow, __: _ReadContext
) -> None:
    apply_configuration(world, value, row.version)


@_apply_value.register(UpstreamRecord)
def _apply_upstream_row(
    value: UpstreamRecord,
    world: ServingWorld,
    _: Feed,
    __: FeedRow,
    read: _ReadContext,
) -> None:
    apply_registration(world, value, read.from_copy, read.now)


@_apply_value.register(PeerRecord)
def _apply_peer_row(
    value: PeerRecord, world: ServingWorld, _: Feed, row: FeedRow, read: _ReadContext
) -> None:
    add_peer(world, value, row.version, read.from_copy, read.now)


@_apply_value.register(MoveOrder)
def _apply_order_row(
    value: MoveOrder, world: ServingWorld, _: Feed, row: FeedRow, __: _ReadContext
) -> None:
    apply_order(world, row.key, value)


@_apply_value.register(MoveRecord)
def _apply_move_row(
    value: MoveRecord, world: ServingWorld, _: Feed, row: FeedRow, __: _ReadContext
) -> None:
    apply_move_record(world, value, row.version)


@_apply_value.register(QuarantineRecord)
def _apply_quarantine_row(
    value: QuarantineRecord,
    world: ServingWorld,
    _: Feed,
    __: FeedRow,
    ___: _ReadContext,
) -> None:
    run_contained(
        world,
        "apply_quarantine_record",
        lambda: apply_quarantine_record(world, value, listed=True),
        forget_suspicions,
    )


@_apply_value.register(NoneType)
def _apply_removal(
    _: None, world: ServingWorld, feed: Feed, row: FeedRow, read: _ReadContext
) -> None:
    if feed is Feed.PEERS:
        remove_peer(world, row.key)
    elif feed is Feed.CONFIGURATION:
        remove_order(world, row.key)
    elif feed is Feed.UPSTREAMS:
        remove_upstream(world, row.key, read.may_have_lapsed, read.now)


def start_feed_calls(world: ServingWorld, now: float) -> None:
    """Starts the next read of each feed that is due and has none in progress."""
    for state in world.feeds.values():
        if state.call or now < state.next_call_at or not _is_read_needed(world, state):
            continue
        wait_s = _choose_wait_s(world, state.feed, now)
        state.call = world.next_call
        state.called_at = now
        world.next_call += 1
        if state.feed is Feed.CONFIGURATION:
            record_seen_notices(world)
        world.emit(_make_call(state, wait_s, world))


def restart_feed_calls(world: ServingWorld) -> None:
    """Gives up the calls in progress; the next tick reads each feed anew.

    The store has another address, and nobody may answer at the former one.
    """
    for state in world.feeds.values():
        state.call = 0
        state.next_call_at = 0.0


def _choose_wait_s(world: ServingWorld, feed: Feed, now: float) -> float:
    """Chooses how long the next poll of a feed waits for a change."""
    if feed is Feed.CONFIGURATION:
        return choose_configuration_wait_s(world, now)
    policy = world.serving_policy.feeds
    waits = {
        Feed.UPSTREAMS: policy.upstreams_wait_s,
        Feed.PEERS: policy.peers_wait_s,
        Feed.MOVES: policy.moves_wait_s,
        Feed.QUARANTINE: 0.0,
    }
    return waits[feed]


def _is_read_needed(world: ServingWorld, state: FeedState) -> bool:
    """Checks whether a feed needs to be read at all.

    Moves are followed while one is in progress, or has to be written again. Quarantines
    are read once; later ones come with the notices of other entries.
    """
    if state.feed is Feed.MOVES:
        return world.moves.in_progress or state.restored
    if state.feed is Feed.QUARANTINE:
        return state.version is None and world.store_offset_s is not None
    return True


def _make_call(
    state: FeedState, wait_s: float, world: ServingWorld
) -> ReadFeed | LongPollFeed:
    policy = world.serving_policy.feeds
    if state.version is None or state.outdated:
        return ReadFeed(state.feed, state.call, policy.read_timeout_s)
    timeout_s = wait_s + policy.answer_slack_s
    return LongPollFeed(state.feed, state.call, state.version, wait_s, timeout_s)
