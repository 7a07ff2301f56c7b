"""Notices when the store was restored from an older copy, and starts over with it.

Whatever was read before is kept, but no version of a row that was read before is used
again: every table is read in full, and calls in progress no longer count.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.epochs import FIRST_EPOCH
from magnoliahold.core.serving.events import (
    EntryRegistered,
    FeedChanged,
    FeedFailed,
    FeedHistoryGone,
    FeedRead,
    MoveWritten,
    NoticeReceived,
)
from magnoliahold.core.serving.systems.configurations import await_configuration
from magnoliahold.core.serving.systems.moves import forget_row_versions
from magnoliahold.core.serving.systems.peer_notices import forget_peer_versions
from magnoliahold.core.serving.systems.proof_relay import read_soon

if TYPE_CHECKING:
    from magnoliahold.core.serving.world import ServingWorld

StoreResult: TypeAlias = (
    "FeedRead | FeedChanged | FeedHistoryGone | FeedFailed"
    " | MoveWritten | EntryRegistered"
)
RESULTS: tuple[type[StoreResult], ...] = (
    FeedRead,
    FeedChanged,
    FeedHistoryGone,
    FeedFailed,
    MoveWritten,
    EntryRegistered,
)
# Over how many seconds the entries spread their full reads after a restore.
READ_SPREAD_S = 0.1


def detect_epoch_rise(world: ServingWorld, now: float) -> None:
    """Starts a new epoch as soon as the result of any call to the store names it."""
    numbers = [
        result.epoch
        for kind in RESULTS
        for result in world.inbox.read_events(kind)
        if result.epoch is not None
    ]
    if not numbers:
        return
    newest = max(numbers)
    epoch = world.store_epoch
    if epoch.number is not None and newest <= epoch.number:
        return
    before = epoch.number
    epoch.number = newest
    has_read = any(state.version is not None for state in world.feeds.values())
    if before is not None or has_read:
        _start_epoch(world, before, now)
    elif newest > FIRST_EPOCH:
        _record_rise(world, now)
        _distrust_reads(world)


def accept_settled_epoch(world: ServingWorld, now: float) -> None:
    """Trusts reads from now on if another entry has a proof in the same epoch.

    What the store had lost of the configuration is then there again.
    """
    epoch = world.store_epoch
    for received in world.inbox.read_events(NoticeReceived):
        settled = received.notice.settled_epoch
        if world.boot_clock() < epoch.proves_from_s and settled == epoch.number:
            epoch.proves_from_s = world.boot_clock()
            read_soon(world, "another entry has a proof in this epoch", now)


def _distrust_reads(world: ServingWorld) -> None:
    """Trusts reads only once what the store may have lost is there again.

    This process has just started, and doesn't know what configuration to await.
    """
    grace_s = world.serving_policy.feeds.restore_grace_s
    world.store_epoch.proves_from_s = world.boot_clock() + grace_s
    world.log_decision(
        "store",
        "The store may lack the newest configuration.",
        epoch=world.store_epoch.number,
        grace_s=grace_s,
    )


def _record_rise(world: ServingWorld, now: float) -> None:
    world.store_epoch.risen_at = now
    world.store_epoch.risen_at_boot_s = world.boot_clock()


def _start_epoch(world: ServingWorld, before: int | None, now: float) -> None:
    epoch = world.store_epoch
    _record_rise(world, now)
    for state in world.feeds.values():
        state.restored = state.restored or state.version is not None
        state.version = None
        state.call = 0
        state.next_call_at = now + READ_SPREAD_S * world.random.random()
    await_configuration(world)
    if world.awaited_configuration is None:
        _distrust_reads(world)
    forget_row_versions(world)
    forget_peer_versions(world)
    world.emit(CountMetric("store_restores"))
    world.log_decision(
        "store",
        "Store was restored from an older copy.",
        epoch=epoch.number,
        before=before,
        configuration=world.configuration.version if world.configuration else None,
    )
