"""Follows the tables of the platform's store that an entry needs.

These are the configuration with its move orders, the registered upstreams and
entries, the records of moves, and quarantines.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.configuration import Configuration
from magnoliahold.core.serving.effects import LongPollFeed, ReadFeed, SetCallerLimits
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
from magnoliahold.core.serving.systems.moves import (
    apply_move_record,
    apply_order,
    remove_order,
    remove_unlisted_orders,
)
from magnoliahold.core.serving.systems.peer_notices import (
    add_peer,
    remove_peer,
    remove_unlisted_peers,
)
from magnoliahold.core.serving.systems.quarantine import apply_quarantine_record
from magnoliahold.core.serving.systems.upstream_health import mark_down
from magnoliahold.core.serving.upstreams import UpstreamRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliahold.core.serving.feeds import FeedRow, FeedState
    from magnoliahold.core.serving.world import ServingWorld


# Rows of these feeds change often, and each change wakes all entries; changes are
# therefore gathered for a while before the next read.
GATHERED_FEEDS = frozenset((Feed.UPSTREAMS, Feed.PEERS))


def apply_feed_results(world: ServingWorld, now: float) -> None:
    """Applies the results of store reads."""
    for read in world.inbox.read_events(FeedRead):
        state = _end_call(world, read.feed, read.call)
        if state is not None:
            _set_store_time(world, read.store_time)
            _apply_full_read(world, state, read, now)
    for changed in world.inbox.read_events(FeedChanged):
        state = _end_call(world, changed.feed, changed.call)
        if state is not None:
            _set_store_time(world, changed.store_time)
            _apply_changes(world, state, changed, now)
    for gone in world.inbox.read_events(FeedHistoryGone):
        state = _end_call(world, gone.feed, gone.call)
        if state is not None:
            state.version = None
            world.log_decision(
                "store", "Change history is no longer available.", feed=gone.feed.value
            )
    for failed in world.inbox.read_events(FeedFailed):
        state = _end_call(world, failed.feed, failed.call)
        if state is not None:
            _record_failure(world, state, failed.reason, now)


def _set_store_time(world: ServingWorld, store_time: float | None) -> None:
    if store_time is not None:
        world.store_offset_s = store_time - world.boot_clock()


def _end_call(world: ServingWorld, feed: Feed, call: int) -> FeedState | None:
    """Ends a feed's call and returns the feed, or None if the call is outdated."""
    state = world.feeds[feed]
    if not state.call or state.call != call:
        return None
    state.call = 0
    return state


def _apply_full_read(
    world: ServingWorld, state: FeedState, read: FeedRead, now: float
) -> None:
    if state.version is not None and read.version < state.version:
        _record_failure(
            world, state, "the store returned an older version than before", now
        )
        return
    outage_s = _record_success(world, state, read.version, read.sent_at, now)
    _apply_rows(world, read.feed, read.rows, now)
    listed = {row.key for row in read.rows}
    if state.feed is Feed.UPSTREAMS:
        world.upstreams.loaded = True
        _remove_unlisted_upstreams(world, listed, outage_s, now)
    if state.feed is Feed.PEERS:
        remove_unlisted_peers(world, listed)
    if state.feed is Feed.CONFIGURATION:
        remove_unlisted_orders(world, listed)


def _apply_changes(
    world: ServingWorld, state: FeedState, changed: FeedChanged, now: float
) -> None:
    if state.version is not None and changed.version < state.version:
        state.version = None
        _record_failure(
            world, state, "the store returned an older version than before", now
        )
        return
    outage_s = _record_success(world, state, changed.version, changed.sent_at, now)
    _apply_rows(world, changed.feed, changed.rows, now, outage_s)


def _record_success(
    world: ServingWorld, state: FeedState, version: int, sent_at: float, now: float
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
    state.version = version
    state.proved_at = max(sent_at, state.proved_at or sent_at)
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


def _apply_rows(
    world: ServingWorld,
    feed: Feed,
    rows: Iterable[FeedRow],
    now: float,
    outage_s: float = 0.0,
) -> None:
    for row in rows:
        if isinstance(row.value, Configuration):
            _apply_configuration(world, row.value)
        elif isinstance(row.value, UpstreamRecord):
            _apply_upstream_record(world, row.value, now)
        elif isinstance(row.value, PeerRecord):
            add_peer(world, row.value, row.version, now)
        elif isinstance(row.value, MoveOrder):
            apply_order(world, row.key, row.value)
        elif isinstance(row.value, MoveRecord):
            apply_move_record(world, row.value, row.version)
        elif isinstance(row.value, QuarantineRecord):
            apply_quarantine_record(world, row.value, now)
        elif feed is Feed.PEERS:
            remove_peer(world, row.key)
        elif feed is Feed.CONFIGURATION:
            remove_order(world, row.key)
        elif feed is Feed.UPSTREAMS and row.key in world.upstreams.by_id:
            _remove_upstream(world, row.key, outage_s, now)


def _apply_configuration(world: ServingWorld, configuration: Configuration) -> None:
    current = world.configuration
    if current is not None and configuration.version <= current.version:
        return
    world.configuration = configuration
    world.emit(SetCallerLimits(configuration.limits))
    world.log_decision(
        "configuration",
        "Configuration in force.",
        version=configuration.version,
        before=current.version if current else None,
        routes=len(configuration.routes),
        workspaces=len(configuration.workspaces),
    )


def _apply_upstream_record(
    world: ServingWorld, record: UpstreamRecord, now: float
) -> None:
    known = world.upstreams.by_id.get(record.id)
    if known is not None and known.record == record:
        known.missing_since = None
        return
    _remove_replaced_upstreams(world, record, now)
    world.upstreams.put_record(record, now)
    world.log_decision(
        "upstreams",
        "Upstream registered." if known is None else "Upstream changed.",
        upstream=record.id,
        service=record.service,
        data_centre=record.data_centre,
        leaving=record.leaving,
    )


def _remove_replaced_upstreams(
    world: ServingWorld, record: UpstreamRecord, now: float
) -> None:
    """Removes other upstreams registered under the address of a new one."""
    for upstream in list(world.upstreams.by_id.values()):
        old = upstream.record
        same_address = (old.address, old.port) == (record.address, record.port)
        if same_address and (old.id, old.born_ms) != (record.id, record.born_ms):
            mark_down(world, upstream, "another upstream has its address", now)
            _remove_upstream(world, upstream.id, 0.0, now)


def _remove_unlisted_upstreams(
    world: ServingWorld, listed: set[str], outage_s: float, now: float
) -> None:
    for upstream_id in list(world.upstreams.by_id):
        if upstream_id not in listed:
            _remove_upstream(world, upstream_id, outage_s, now)


def _remove_upstream(
    world: ServingWorld, upstream_id: str, outage_s: float, now: float
) -> None:
    """Removes an upstream, or marks it missing after an outage of the store.

    Its registration may only have lapsed because it couldn't be renewed.
    """
    upstream = world.upstreams.by_id[upstream_id]
    if outage_s > world.serving_policy.feeds.lapse_after_s:
        upstream.missing_since = upstream.missing_since or now
        return
    world.upstreams.remove(upstream_id)
    world.log_decision("upstreams", "Upstream removed.", upstream=upstream_id)


def remove_lapsed_upstreams(world: ServingWorld, now: float) -> None:
    """Removes upstreams that did not register again within the grace period."""
    if not world.scan_due:
        return
    grace_s = world.serving_policy.feeds.lapse_grace_s
    for upstream in list(world.upstreams.by_id.values()):
        missing_since = upstream.missing_since
        if missing_since is not None and now - missing_since >= grace_s:
            _remove_upstream(world, upstream.id, 0.0, now)


def start_feed_calls(world: ServingWorld, now: float) -> None:
    """Starts the next read of each feed that is due and has none in progress."""
    policy = world.serving_policy.feeds
    waits = {
        Feed.CONFIGURATION: policy.configuration_wait_s,
        Feed.UPSTREAMS: policy.upstreams_wait_s,
        Feed.PEERS: policy.peers_wait_s,
        Feed.MOVES: policy.moves_wait_s,
        Feed.QUARANTINE: 0.0,
    }
    for state in world.feeds.values():
        if state.call or now < state.next_call_at or not _is_read_needed(world, state):
            continue
        state.call = world.next_call
        state.called_at = now
        world.next_call += 1
        world.emit(_make_call(state, waits[state.feed], world))


def _is_read_needed(world: ServingWorld, state: FeedState) -> bool:
    """Checks whether a feed needs to be read at all.

    Moves are followed while one is in progress. Quarantines are read once; later ones
    come with the notices of other entries.
    """
    if state.feed is Feed.MOVES:
        return world.moves.in_progress
    if state.feed is Feed.QUARANTINE:
        return state.version is None and world.store_offset_s is not None
    return True


def _make_call(
    state: FeedState, wait_s: float, world: ServingWorld
) -> ReadFeed | LongPollFeed:
    policy = world.serving_policy.feeds
    if state.version is None:
        return ReadFeed(state.feed, state.call, policy.read_timeout_s)
    timeout_s = wait_s + policy.answer_slack_s
    return LongPollFeed(state.feed, state.call, state.version, wait_s, timeout_s)
