"""Transfers the streams of a sidecar from lost entries to other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric, SendMessage
from magnoliahold.core.streams import StreamState
from magnoliahold.core.systems.heartbeats import make_heartbeat
from magnoliahold.core.systems.streams import (
    discard_stream,
    mark_stream_unowned,
    notify_owner,
    resend_end,
    send_pending,
)
from magnoliahold.wire.messages import StreamTaken, TakeStream

if TYPE_CHECKING:
    from magnoliahold.core.events import Received
    from magnoliahold.core.identity import Sender
    from magnoliahold.core.streams import Stream
    from magnoliahold.core.worlds import SidecarWorld


def hand_over_streams(world: SidecarWorld, now: float) -> None:
    """Hands streams over to entries that request them and fences the former owners."""
    for received in world.inbox.read_messages(TakeStream):
        message = received.message
        stream = world.streams.by_lineage.get(message.lineage)
        if stream is None or stream.start.fingerprint != message.fingerprint:
            missing = StreamTaken(message.lineage, message.request_id, found=False)
            world.emit(SendMessage(received.sender.name, missing))
        else:
            _hand_over(world, stream, received, now)


def _hand_over(
    world: SidecarWorld, stream: Stream, received: Received[TakeStream], now: float
) -> None:
    if stream.owner != received.sender.name:
        notify_owner(world, stream, "fenced")
    lineage = stream.start.lineage
    _set_owner(stream, received.sender)
    epoch = stream.owner_epoch
    world.streams.raise_fence(lineage, epoch, stream.start.attempt, now)
    stream.sent = len(stream.tokens)
    stream.acked = stream.sent
    taken = StreamTaken(
        lineage=lineage,
        request_id=received.message.request_id,
        found=True,
        attempt=stream.start.attempt,
        owner_epoch=epoch,
        version=stream.start.version,
        tokens=tuple(stream.tokens),
        end=stream.end,
    )
    world.emit(SendMessage(received.sender.name, taken))
    world.log_decision(
        "takeover",
        "Stream handed over.",
        lineage=lineage,
        entry=received.sender.name,
        owner_epoch=epoch,
        offset=len(stream.tokens),
    )
    send_pending(world, stream, now)


def _set_owner(stream: Stream, sender: Sender) -> None:
    stream.owner = sender.name
    stream.owner_incarnation = sender.incarnation
    stream.owner_epoch += 1
    stream.unowned_since = None


def watch_owners(world: SidecarWorld, now: float) -> None:
    """Pauses the streams of lost entries and discards those not taken over in time."""
    _record_sender_activity(world, now)
    table = world.streams
    if now < table.next_watch_at:
        return
    table.next_watch_at = now + world.policy.tick_s
    table.expire_fences(now - world.policy.streams.attempts_kept_s)
    for stream in list(table.by_lineage.values()):
        if stream.owner:
            _ping_silent_owner(world, stream, now)
            _check_owner(world, stream, now)
            resend_end(world, stream, now)
        if _is_expired(world, stream, now):
            _expire_stream(world, stream)


def _record_sender_activity(world: SidecarWorld, now: float) -> None:
    for sender in world.inbox.senders.values():
        owner = world.owners.owners.get(sender.name)
        if owner is not None and owner.incarnation == sender.incarnation:
            owner.last_received_at = now


def _ping_silent_owner(world: SidecarWorld, stream: Stream, now: float) -> None:
    """Sends a heartbeat to the owner of a stream when it has been silent."""
    owner = world.owners.owners.get(stream.owner)
    interval = world.policy.membership.heartbeat_s
    if owner is None or stream.unowned_since is not None:
        return
    if now - max(owner.last_received_at, owner.heartbeat_sent_at) >= interval:
        owner.heartbeat_sent_at = now
        world.emit(SendMessage(owner.name, make_heartbeat(world, now, answer=False)))


def _check_owner(world: SidecarWorld, stream: Stream, now: float) -> None:
    owner = world.owners.owners.get(stream.owner)
    lost_s = world.policy.membership.peer_lost_s
    is_lost = (
        owner is None
        or owner.incarnation != stream.owner_incarnation
        or now - owner.last_received_at > lost_s
    )
    if is_lost and stream.unowned_since is None:
        policy = world.policy.streams
        resumable = stream.start.resumable
        grace_s = policy.owner_grace_s if resumable else policy.buffered_grace_s
        mark_stream_unowned(world, stream, grace_s, now)
    elif not is_lost and stream.unowned_since is not None:
        stream.unowned_since = None
        send_pending(world, stream, now)


def _is_expired(world: SidecarWorld, stream: Stream, now: float) -> bool:
    if stream.unowned_since is not None and now >= stream.discard_at:
        return True
    kept_s = world.policy.streams.finished_kept_s
    return stream.state is StreamState.ENDED and now - stream.ended_at >= kept_s


def _expire_stream(world: SidecarWorld, stream: Stream) -> None:
    discard_stream(world, stream)
    world.log_decision(
        "takeover",
        "Stream discarded, no entry took it over.",
        lineage=stream.start.lineage,
        offset=len(stream.tokens),
    )
    world.emit(CountMetric("streams_dropped"))
