"""Registers entries and exchanges notices of load and failures between them.

Notices are hints: a lost or late one makes a routing decision worse, never incorrect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.effects import RegisterEntry, RemoveEntry, SendNotice
from magnoliahold.core.serving.events import (
    EntryRegistered,
    NoticeEncoded,
    NoticeReceived,
)
from magnoliahold.core.serving.peers import (
    LoadNotice,
    Peer,
    PrefixCacheLocation,
)
from magnoliahold.core.serving.systems.canary_analysis import (
    list_evidence,
    list_suspensions,
)
from magnoliahold.core.serving.systems.crashes import (
    list_clearances,
    list_crash_reports,
)
from magnoliahold.core.serving.systems.limits import list_limits
from magnoliahold.core.serving.systems.loads import count_own_load
from magnoliahold.core.serving.systems.paces import (
    apply_paces,
    list_paces,
    record_sent_paces,
)
from magnoliahold.core.serving.systems.proof_relay import (
    find_settled_epoch,
    record_sent_notice,
)
from magnoliahold.core.serving.systems.quarantine import list_quarantines
from magnoliahold.core.serving.systems.queues import list_queues
from magnoliahold.core.serving.systems.trials import list_trials
from magnoliahold.core.serving.systems.upstream_health import mark_suspected
from magnoliahold.core.serving.systems.upstream_signals import list_leaving
from magnoliahold.core.serving.upstreams import UpstreamHealth

if TYPE_CHECKING:
    from magnoliahold.core.serving.peers import PeerRecord
    from magnoliahold.core.serving.upstreams import Upstream
    from magnoliahold.core.serving.world import ServingWorld


def add_peer(
    world: ServingWorld,
    record: PeerRecord,
    row_version: int,
    from_copy: bool,
    now: float,
) -> None:
    """Adds another entry, or replaces it after a restart.

    `from_copy` is set for rows that a restored store may hold from before its restore;
    an entry that still sends notices then stays as it is known.
    """
    identity = world.identity
    if record.name == identity.name:
        if record.incarnation != identity.incarnation:
            world.other_entries.registered = False
        return
    peer = world.other_entries.by_name.get(record.name)
    if peer is not None and peer.record == record:
        peer.row_version = row_version
        peer.unlisted_since = None
        return
    if from_copy and peer is not None and _is_heard(world, peer, now):
        peer.unlisted_since = now
        return
    if peer is not None:
        world.other_entries.set_notice(peer, None)
    world.other_entries.by_name[record.name] = Peer(record, row_version, now)
    world.other_entries.last_sent_notice = None
    world.log_decision("peers", "Entry registered.", peer=record.name)


def _is_heard(world: ServingWorld, peer: Peer, now: float) -> bool:
    last_received_at = peer.last_received_at
    retention_s = world.serving_policy.peers.notice_kept_s
    return last_received_at is not None and now - last_received_at <= retention_s


def forget_peer_versions(world: ServingWorld) -> None:
    """Forgets the versions of all registrations of entries after a restore."""
    for peer in world.other_entries.by_name.values():
        peer.row_version = None


def remove_peer(world: ServingWorld, name: str) -> None:
    """Removes an entry whose registration is gone.

    If it is this entry, it will register again unless it is leaving.
    """
    if name == world.identity.name:
        world.other_entries.registered = False
        return
    peer = world.other_entries.by_name.pop(name, None)
    if peer is not None:
        world.other_entries.set_notice(peer, None)
        world.log_decision("peers", "Entry removed.", peer=name)


def remove_unlisted_peers(
    world: ServingWorld, listed: set[str], from_copy: bool, now: float
) -> None:
    """Removes the entries that are missing from a full list of registrations.

    In the first list after a restore the others may only be missing for a while.
    """
    table = world.other_entries
    for name in {*table.by_name, world.identity.name} - listed:
        peer = table.by_name.get(name)
        if from_copy and peer is not None:
            peer.unlisted_since = peer.unlisted_since or now
        else:
            remove_peer(world, name)


def remove_lost_peers(world: ServingWorld, now: float) -> None:
    """Removes entries that did not register again after a restore of the store."""
    if not world.scan_due:
        return
    grace_s = world.serving_policy.feeds.restore_grace_s
    for name, peer in list(world.other_entries.by_name.items()):
        if peer.unlisted_since is not None and now - peer.unlisted_since >= grace_s:
            remove_peer(world, name)


def register_entry(world: ServingWorld, now: float) -> None:
    """Registers this entry at the start and whenever its registration is gone."""
    table = world.other_entries
    policy = world.serving_policy.peers
    for result in world.inbox.read_events(EntryRegistered):
        table.registering = False
        table.registered = result.done and not world.store_epoch.is_outdated(
            result.epoch
        )
        table.next_registration_at = now + policy.registration_retry_s
        if not table.registered:
            world.log_decision(
                "peers", "Registration failed, trying again.", reason=result.reason
            )
    skip = table.registered or table.registering or now < table.next_registration_at
    if not skip and world.leaving_since is None:
        table.registering = True
        world.emit(RegisterEntry(policy.registration_timeout_s))


def remove_own_entry(world: ServingWorld) -> None:
    """Removes the registration of this entry as it stops."""
    timeout_s = world.serving_policy.peers.registration_timeout_s
    world.emit(RemoveEntry(world.identity.name, None, timeout_s))


def remove_silent_peers(world: ServingWorld, now: float) -> None:
    """Removes registrations of entries that have sent no notice for a long time."""
    table = world.other_entries
    policy = world.serving_policy.peers
    if not world.scan_due or now < table.next_removal_at:
        return
    table.next_removal_at = now + policy.registration_retry_s
    read_until = world.find_read_until(now)
    for peer in table.by_name.values():
        if peer.row_version is None:
            continue
        last_received_at = (
            peer.known_since if peer.last_received_at is None else peer.last_received_at
        )
        if read_until - last_received_at >= policy.removed_after_s:
            peer.last_received_at = now
            name = peer.record.name
            timeout_s = policy.registration_timeout_s
            epoch = world.store_epoch.number
            world.emit(RemoveEntry(name, peer.row_version, timeout_s, epoch))
            world.log_decision("peers", "Silent entry removed.", peer=name)


def apply_notices(world: ServingWorld, now: float) -> None:
    """Applies the notices of other entries, and forgets old ones."""
    for received in world.inbox.read_events(NoticeReceived):
        _apply_notice(world, received.notice, now)
    if not world.scan_due:
        return
    table = world.other_entries
    retention_s = world.serving_policy.peers.notice_kept_s
    read_until = world.find_read_until(now)
    for peer in table.by_name.values():
        if peer.notice and read_until - (peer.last_received_at or 0.0) > retention_s:
            table.set_notice(peer, None)
    _expire_prefix_locations(world, now)


def _apply_notice(world: ServingWorld, notice: LoadNotice, now: float) -> None:
    peer = world.other_entries.by_name.get(notice.sender)
    if peer is None or peer.record.incarnation != notice.incarnation:
        return
    if peer.notice is not None and notice.serial <= peer.notice.serial:
        return
    before = set(peer.notice.down) if peer.notice else set()
    world.other_entries.set_notice(peer, notice)
    peer.last_received_at = now
    apply_paces(world, notice.paces, now)
    for location in notice.places:
        record_prefix_location(world, location.part, location.upstream_id, now)
    for upstream_id in set(notice.down) - before:
        upstream = world.upstreams.by_id.get(upstream_id)
        if upstream is not None and upstream.health is UpstreamHealth.HEALTHY:
            mark_suspected(world, upstream, f"{notice.sender} reports it as down", now)


def record_prefix_location(
    world: ServingWorld, part: str, upstream_id: str, now: float
) -> None:
    """Records which upstream has cached a prompt; the newest record comes last."""
    world.other_entries.prefix_locations.pop(part, None)
    world.other_entries.prefix_locations[part] = (upstream_id, now)


def _expire_prefix_locations(world: ServingWorld, now: float) -> None:
    """Removes cache locations that no entry has reported for `place_kept_s`."""
    locations = world.other_entries.prefix_locations
    retention_s = world.serving_policy.peers.place_kept_s
    while locations:
        part = next(iter(locations))
        if now - locations[part][1] <= retention_s:
            return
        del locations[part]


def notify_peers(world: ServingWorld, now: float) -> None:
    """Sends a notice to the other entries when it changed, and periodically."""
    table = world.other_entries
    for encoded in world.inbox.read_events(NoticeEncoded):
        table.budget.notice_bytes = encoded.size_bytes
    if not table.by_name:
        return
    policy = world.serving_policy.peers
    elapsed_s = now - table.last_sent_at
    if elapsed_s < policy.least_interval_s and not table.send_now:
        return
    notice = _make_notice(world, table.serial + 1, now)
    last_sent_notice = table.last_sent_notice
    unchanged = (
        last_sent_notice is not None
        and evolve(last_sent_notice, serial=notice.serial) == notice
    )
    if unchanged and elapsed_s < policy.interval_s:
        table.send_now = False
        return
    peers = tuple(peer.record for peer in table.by_name.values())
    if not table.budget.try_spend(
        len(peers), table.send_now, policy.max_bytes_per_s, now
    ):
        return
    table.send_now = False
    table.serial += 1
    table.last_sent_at = now
    table.last_sent_notice = notice
    record_sent_notice(world, notice.serial)
    if notice.paces:
        record_sent_paces(world, now)
    world.emit(SendNotice(peers, notice))


def _make_notice(world: ServingWorld, serial: int, now: float) -> LoadNotice:
    upstreams = world.upstreams.by_id.values()
    identity = world.identity
    return LoadNotice(
        identity.name,
        identity.incarnation,
        serial,
        loads=tuple(
            count_own_load(upstream) for upstream in upstreams if _is_reported(upstream)
        ),
        down=tuple(item.id for item in upstreams if item.health is UpstreamHealth.DOWN),
        places=tuple(
            PrefixCacheLocation(
                attempt.request.caller.prompt[-1].id, attempt.upstream.id
            )
            for attempt in world.requests.attempts.values()
            if attempt.request.caller.prompt and attempt.pieces
        ),
        evidence=list_evidence(world),
        exposures=tuple(
            move.own_exposure
            for move in world.moves.by_service.values()
            if not move.ended
        ),
        suspensions=list_suspensions(world),
        crash_reports=list_crash_reports(world),
        quarantines=list_quarantines(world),
        clearances=list_clearances(world),
        leaving=list_leaving(world),
        trials=list_trials(world),
        limits=list_limits(world),
        paces=list_paces(world, now),
        queues=list_queues(world, now),
        settled_epoch=find_settled_epoch(world),
    )


def _is_reported(upstream: Upstream) -> bool:
    """Checks whether to report a load; short calls end before the notice arrives."""
    if not upstream.attempts:
        return upstream.copies > 0
    attempts = upstream.attempts.values()
    streams = (item.request.route.kind is RouteKind.STREAM for item in attempts)
    return upstream.copies > 0 or any(streams)
