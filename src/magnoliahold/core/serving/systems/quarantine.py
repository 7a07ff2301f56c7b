"""Detects poison requests, which crash the upstreams that run them, and blocks them.

If a single upstream fails, the requests that it ran are suspected; upstreams that fail
together have another cause. Entries share the crashes that they observed, so that
three of them (`crashes_to_convict`) lead to a quarantine, whichever entries observed
them. A request that an upstream has answered is cleared, which is shared too.
Quarantines are also kept in the store, for entries that start later.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.effects import WriteQuarantine
from magnoliahold.core.serving.events import NoticeReceived
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.suspicions import (
    ConnectionReset,
    Crash,
    QuarantineRecord,
    UpstreamLoss,
)
from magnoliahold.core.serving.systems.turns import find_turn_s
from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import Attempt, ServedRequest
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld

T = TypeVar("T")


def record_reset(world: ServingWorld, attempt: Attempt, now: float) -> None:
    """Records that a connection was reset while a request may have been running."""
    caller = attempt.request.caller
    world.log_decision(
        "suspects",
        "Connection was reset under a request.",
        request=caller.request_id,
        upstream=attempt.upstream.id,
        pieces=attempt.pieces,
        resumed=attempt.resumed_from is not None,
        prompt=[f"{part.id}:{part.tokens}" for part in caller.prompt],
    )
    fingerprint = caller.fingerprint
    if fingerprint:
        world.suspicions.unsettled_resets.append(
            ConnectionReset(fingerprint, attempt.upstream, now)
        )


def record_upstream_loss(world: ServingWorld, upstream: Upstream, now: float) -> None:
    """Records that an upstream was marked down."""
    world.suspicions.recent_losses.append(
        UpstreamLoss(upstream.id, upstream.record.service, now)
    )


def is_below_crash_limit(world: ServingWorld, request: ServedRequest) -> bool:
    """Checks that fewer upstreams crashed under a request than lead to a quarantine."""
    crashes = world.suspicions.count_crashes(request.caller.fingerprint)
    return crashes < world.serving_policy.suspicion.crashes_to_convict


def clear_suspicion(world: ServingWorld, request: ServedRequest) -> None:
    """Clears a suspected request that an upstream has answered."""
    fingerprint = request.caller.fingerprint
    if fingerprint in world.suspicions.by_fingerprint:
        world.other_entries.send_now = True
        clear_fingerprint(world, fingerprint, request.arrived_at)


def clear_fingerprint(world: ServingWorld, fingerprint: str, now: float) -> None:
    """Clears a fingerprint and ignores crashes reported for it for `crash_kept_s`."""
    table = world.suspicions
    if fingerprint in table.cleared_fingerprints:
        return
    table.cleared_fingerprints[fingerprint] = now
    table.by_fingerprint.pop(fingerprint, None)
    for crash in [
        item for item in table.observed_crashes if item.fingerprint == fingerprint
    ]:
        del table.observed_crashes[crash]
    world.log_decision("suspects", "Request cleared.", fingerprint=fingerprint)


def resolve_resets(world: ServingWorld, now: float) -> None:
    """Applies notices, and counts connection resets as crashes where that is confirmed.

    A reset is confirmed once its upstream is down and no other upstream of the
    service failed at the same time.
    """
    for received in world.inbox.read_events(NoticeReceived):
        notice = received.notice
        for fingerprint in notice.acquitted:
            clear_fingerprint(world, fingerprint, now)
        for crash in notice.crashes:
            add_crash(world, crash, now)
        for fingerprint in notice.quarantined:
            quarantine_fingerprint(world, fingerprint, now)
    if not world.scan_due:
        return
    _expire_suspicions(world, now)
    policy = world.serving_policy.suspicion
    open_resets = []
    for item in world.suspicions.unsettled_resets:
        age_s = now - item.at
        if (
            item.upstream.health is UpstreamHealth.HEALTHY
            or age_s > policy.settle_max_s
        ):
            continue
        if item.upstream.health is not UpstreamHealth.DOWN or age_s < policy.settle_s:
            open_resets.append(item)
        elif not _has_common_cause(world, item):
            _record_crash(world, item, now)
    world.suspicions.unsettled_resets = open_resets


def _has_common_cause(world: ServingWorld, item: ConnectionReset) -> bool:
    """Checks whether other upstreams of the service failed at the same time."""
    window_s = world.serving_policy.suspicion.settle_s
    service = item.upstream.record.service
    return any(
        loss.upstream_id != item.upstream.id
        and loss.service == service
        and abs(loss.at - item.at) <= window_s
        for loss in world.suspicions.recent_losses
    )


def _record_crash(world: ServingWorld, item: ConnectionReset, now: float) -> None:
    record = item.upstream.record
    crash = Crash(item.fingerprint, record.id, record.born_ms)
    world.suspicions.observed_crashes[crash] = now
    world.other_entries.send_now = True
    add_crash(world, crash, now)


def add_crash(world: ServingWorld, crash: Crash, now: float) -> None:
    """Adds a crash to a fingerprint, and quarantines it after enough of them."""
    if crash.fingerprint in world.suspicions.cleared_fingerprints:
        return
    suspicion = world.suspicions.get_or_create(crash.fingerprint)
    if crash in suspicion.crashes:
        return
    suspicion.crashes[crash] = now
    world.log_decision(
        "suspects",
        "Upstream crashed while running a request.",
        fingerprint=crash.fingerprint,
        upstream=crash.upstream_id,
        crashes=len(suspicion.crashes),
    )
    if len(suspicion.crashes) >= world.serving_policy.suspicion.crashes_to_convict:
        quarantine_fingerprint(world, crash.fingerprint, now)


def quarantine_fingerprint(world: ServingWorld, fingerprint: str, now: float) -> None:
    """Quarantines a fingerprint and has the other entries do the same.

    An entry that has recorded crashes for it also writes the quarantine to the store.
    """
    if fingerprint in world.suspicions.cleared_fingerprints:
        return
    suspicion = world.suspicions.get_or_create(fingerprint)
    if suspicion.quarantined_until is not None:
        return
    suspicion.quarantined_until = now + world.serving_policy.suspicion.quarantine_s
    world.other_entries.send_now = True
    world.emit(CountMetric("requests_quarantined"))
    world.log_decision(
        "suspects",
        "Request quarantined.",
        fingerprint=fingerprint,
        crashes=len(suspicion.crashes),
    )
    store_time = world.read_store_time()
    suspicion.convicted_at = store_time
    if suspicion.crashes and store_time is not None:
        _write_quarantine(world, QuarantineRecord(fingerprint, store_time))


def _write_quarantine(world: ServingWorld, record: QuarantineRecord) -> None:
    timeout_s = world.serving_policy.suspicion.write_timeout_s
    world.emit(WriteQuarantine(record, timeout_s))


def schedule_unlisted_quarantines(
    world: ServingWorld, listed: set[str], now: float
) -> None:
    """Has quarantines written again that a restored store doesn't list."""
    for fingerprint, suspicion in world.suspicions.by_fingerprint.items():
        known = suspicion.quarantined_until is not None
        if not known or fingerprint in listed:
            suspicion.unlisted_since = None
        else:
            suspicion.unlisted_since = suspicion.unlisted_since or now


def rewrite_quarantines(world: ServingWorld, now: float) -> None:
    """Writes unlisted quarantines again.

    Each entry leaves that to those ranked before it for a while, and reads the table
    again before its own turn.
    """
    if not world.scan_due:
        return
    table_state = world.feeds[Feed.QUARANTINE]
    for fingerprint, suspicion in world.suspicions.by_fingerprint.items():
        since = suspicion.unlisted_since
        if since is None or table_state.version is None:
            continue
        turn_s = find_turn_s(world, fingerprint)
        if now - since < turn_s:
            continue
        if turn_s and table_state.called_at < since + turn_s:
            table_state.version = None
            table_state.restored = True
            continue
        suspicion.unlisted_since = None
        convicted_at = suspicion.convicted_at or world.read_store_time()
        if convicted_at is not None:
            _write_quarantine(world, QuarantineRecord(fingerprint, convicted_at))
            world.log_decision(
                "suspects", "Quarantine written again.", fingerprint=fingerprint
            )


def apply_quarantine_record(
    world: ServingWorld, record: QuarantineRecord, now: float
) -> None:
    """Applies a quarantine from the store unless it has expired."""
    store_time = world.read_store_time()
    if store_time is None:
        return
    left_s = (
        record.convicted_at + world.serving_policy.suspicion.quarantine_s - store_time
    )
    if left_s > 0:
        suspicion = world.suspicions.get_or_create(record.fingerprint)
        suspicion.quarantined_until = now + left_s
        suspicion.convicted_at = record.convicted_at


def _expire_suspicions(world: ServingWorld, now: float) -> None:
    table = world.suspicions
    policy = world.serving_policy.suspicion
    while table.recent_losses and now - table.recent_losses[0].at > policy.settle_max_s:
        table.recent_losses.popleft()
    for fingerprint, suspicion in list(table.by_fingerprint.items()):
        _remove_expired(suspicion.crashes, now, policy.crash_kept_s)
        until = suspicion.quarantined_until
        if until is not None and now >= until:
            suspicion.quarantined_until = until = None
        if until is None and not suspicion.crashes:
            del table.by_fingerprint[fingerprint]
    _remove_expired(table.observed_crashes, now, policy.crash_kept_s)
    _remove_expired(table.cleared_fingerprints, now, policy.crash_kept_s)


def _remove_expired(items: dict[T, float], now: float, retention_s: float) -> None:
    for item in [item for item, at in items.items() if now - at > retention_s]:
        del items[item]


def list_quarantined(world: ServingWorld) -> tuple[str, ...]:
    """Lists the quarantined fingerprints, for notices."""
    return tuple(
        fingerprint
        for fingerprint, suspicion in world.suspicions.by_fingerprint.items()
        if suspicion.quarantined_until is not None
    )
