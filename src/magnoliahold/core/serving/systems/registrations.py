"""Follows the registrations of upstreams in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.serving.systems.upstream_health import (
    await_sign_of_life,
    mark_down,
)
from magnoliahold.core.serving.upstreams import UpstreamStart

if TYPE_CHECKING:
    from magnoliahold.core.serving.upstreams import UpstreamRecord
    from magnoliahold.core.serving.world import ServingWorld


def apply_registration(
    world: ServingWorld, record: UpstreamRecord, from_copy: bool, now: float
) -> None:
    """Adds or updates an upstream.

    `from_copy` is set for rows that a restored store may hold from before its restore:
    an upstream whose removal was known before gets no work until it gives a sign of
    life.
    """
    known = world.upstreams.by_id.get(record.id)
    if known is not None and known.record == record:
        known.missing_since = None
        return
    start = UpstreamStart(record.id, record.born_ms)
    signals = world.upstreams.find_signals(start, now)
    if from_copy and _is_replaced(world, record):
        return
    if from_copy and known is None and signals.removed:
        upstream = world.upstreams.put_record(record, now)
        await_sign_of_life(world, upstream, "it had been removed", now)
        return
    signals.removed = False
    _remove_replaced(world, record, now)
    world.upstreams.put_record(record, now)
    world.log_decision(
        "upstreams",
        "Upstream registered." if known is None else "Upstream changed.",
        upstream=record.id,
        service=record.service,
        data_centre=record.data_centre,
        leaving=record.leaving,
    )


def _is_replaced(world: ServingWorld, record: UpstreamRecord) -> bool:
    """Tells whether a later start under its id or its address is known."""
    for upstream in world.upstreams.by_id.values():
        other = upstream.record
        is_same = other.id == record.id or _have_same_address(other, record)
        if is_same and other.born_ms > record.born_ms:
            return True
    return False


def _remove_replaced(world: ServingWorld, record: UpstreamRecord, now: float) -> None:
    """Removes other upstreams registered under the address of a new one.

    One that started later stays, and none goes for a row of a service that the
    configuration doesn't have: either may be an old row, or one of another writer. Any
    other upstream at the address answers what is meant for that row with 421.
    """
    if not _is_service_known(world, record.service):
        return
    for upstream in list(world.upstreams.by_id.values()):
        old = upstream.record
        is_other = (old.id, old.born_ms) != (record.id, record.born_ms)
        is_later = old.born_ms > record.born_ms and old.id != record.id
        if is_other and not is_later and _have_same_address(old, record):
            mark_down(world, upstream, "another upstream has its address", now)
            remove_upstream(world, upstream.id, False, now)


def _have_same_address(one: UpstreamRecord, other: UpstreamRecord) -> bool:
    return (one.address, one.port) == (other.address, other.port)


def _is_service_known(world: ServingWorld, service: str) -> bool:
    """Tells whether the configuration has a service; unknown without one."""
    configuration = world.configuration
    return configuration is None or configuration.names_service(service)


def remove_unlisted_upstreams(
    world: ServingWorld, listed: set[str], may_have_lapsed: bool, now: float
) -> None:
    """Removes the upstreams that are missing from a full list of registrations."""
    for upstream_id in list(world.upstreams.by_id):
        if upstream_id not in listed:
            remove_upstream(world, upstream_id, may_have_lapsed, now)


def remove_upstream(
    world: ServingWorld, upstream_id: str, may_have_lapsed: bool, now: float
) -> None:
    """Removes an upstream, or marks it as missing if its registration may have lapsed.

    A registration lapses if it can't be renewed during an outage of the store, and is
    lost if the store is restored from a copy that is older.
    """
    upstream = world.upstreams.by_id.get(upstream_id)
    if upstream is None:
        return
    if may_have_lapsed:
        upstream.missing_since = upstream.missing_since or now
        return
    world.upstreams.remove(upstream_id)
    upstream.signals.removed = True
    upstream.signals.changed_at = now
    world.log_decision("upstreams", "Upstream removed.", upstream=upstream_id)


def remove_lapsed_upstreams(world: ServingWorld, now: float) -> None:
    """Removes upstreams that did not register again within the grace period."""
    if not world.scan_due:
        return
    grace_s = world.serving_policy.feeds.lapse_grace_s
    read_until = world.find_read_until(now)
    for upstream in list(world.upstreams.by_id.values()):
        missing_since = upstream.missing_since
        if missing_since is not None and read_until - missing_since >= grace_s:
            remove_upstream(world, upstream.id, False, now)
