"""Runs the streams of a sidecar and sends their tokens to the owning entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import (
    CancelEngineStream,
    PauseEngineStream,
    ResumeEngineStream,
    SendMessage,
    StartEngineStream,
)
from magnoliahold.core.events import MessageExpired, StreamBroke, StreamProduced
from magnoliahold.core.streams import Stream, StreamState
from magnoliahold.wire.messages import (
    AckTokens,
    CancelStream,
    StartStream,
    StreamFailed,
    StreamTokens,
)

if TYPE_CHECKING:
    from magnoliahold.core.events import Received
    from magnoliahold.core.worlds import SidecarWorld


def start_streams(world: SidecarWorld, now: float) -> None:
    """Starts the attempts that entries ask for."""
    for received in world.inbox.read_messages(StartStream):
        reason = find_refusal(world, received.message)
        if reason:
            refuse_start(world, received.sender.name, received.message, reason)
        else:
            _start_stream(world, received, now)
    for expired in world.inbox.read_events(MessageExpired):
        if isinstance(expired.message, StartStream):
            refuse_start(world, expired.sender.name, expired.message, "expired")


def find_refusal(world: SidecarWorld, start: StartStream) -> str:
    """Finds the reason why an attempt can't start here, or an empty string."""
    if world.leaving_since is not None:
        return "leaving"
    if world.streams.attempts_seen.get(start.lineage, 0) >= start.attempt:
        return "fenced"
    if not world.upstream.ready:
        return "engine_died"
    if start.version not in world.upstream.versions:
        return "version_missing"
    return ""


def refuse_start(
    world: SidecarWorld, owner: str, start: StartStream, reason: str
) -> None:
    """Tells an entry that an attempt did not start."""
    failed = StreamFailed(start.lineage, start.attempt, reason)
    world.emit(SendMessage(owner, failed))


def _start_stream(
    world: SidecarWorld, received: Received[StartStream], now: float
) -> None:
    start = received.message
    older = world.streams.by_lineage.get(start.lineage)
    if older is not None:
        drop_stream(world, older)
    world.streams.attempts_seen[start.lineage] = start.attempt
    stream = Stream(
        start=start,
        owner=received.sender.name,
        owner_incarnation=received.sender.incarnation,
        owner_epoch=start.owner_epoch,
        handle=world.make_id("stream"),
        tokens=list(start.prefix),
        sent=len(start.prefix),
        acked=len(start.prefix),
        started_at=now,
        last_token_at=now,
        owner_heard_at=now,
    )
    world.streams.add_stream(stream)
    effect = StartEngineStream(
        handle=stream.handle,
        workspace=start.workspace,
        version=start.version,
        prompt=start.prompt,
        prefix=start.prefix,
        max_tokens=start.max_tokens,
        priority=start.priority,
    )
    world.emit(effect)


def collect_tokens(world: SidecarWorld, now: float) -> None:
    """Buffers what the engine produced and sends it on."""
    for event in world.inbox.read_events(StreamProduced):
        stream = world.streams.by_handle.get(event.handle)
        if stream is not None:
            _collect(world, stream, event, now)
    for broken in world.inbox.read_events(StreamBroke):
        stream = world.streams.by_handle.get(broken.handle)
        if stream is not None:
            fail_stream(world, stream, broken.reason)


def _collect(
    world: SidecarWorld, stream: Stream, event: StreamProduced, now: float
) -> None:
    if event.offset != len(stream.tokens):
        world.emit(CancelEngineStream(stream.handle))
        fail_stream(world, stream, "broken")
        return
    if event.tokens:
        if stream.first_token_at is None:
            stream.first_token_at = now
        stream.tokens.extend(event.tokens)
        stream.last_token_at = now
    if event.end:
        stream.state = StreamState.ENDED
        stream.end = event.end
        stream.ended_at = now
    send_pending(world, stream)


def send_pending(world: SidecarWorld, stream: Stream) -> None:
    """Sends buffered tokens as far as the owner's window allows."""
    limit = stream.acked + stream.start.window
    tokens = tuple(stream.tokens[stream.sent : limit])
    complete = stream.sent + len(tokens) == len(stream.tokens)
    end = stream.end if complete else ""
    if tokens or end:
        message = StreamTokens(
            stream.start.lineage, stream.start.attempt, stream.sent, tokens, end
        )
        stream.sent += len(tokens)
        world.emit(SendMessage(stream.owner, message))
    _balance_buffer(world, stream)


def _balance_buffer(world: SidecarWorld, stream: Stream) -> None:
    """Pauses the engine's stream while the owner's window is used up."""
    if stream.state is StreamState.ENDED:
        return
    unsent = len(stream.tokens) - stream.sent
    if unsent >= stream.start.window and not stream.paused:
        stream.paused = True
        world.emit(PauseEngineStream(stream.handle))
    elif unsent == 0 and stream.paused:
        stream.paused = False
        world.emit(ResumeEngineStream(stream.handle))


def apply_acks(world: SidecarWorld, now: float) -> None:
    """Moves windows on, sends again what got lost and frees ended streams."""
    for received in world.inbox.read_messages(AckTokens):
        message = received.message
        stream = world.streams.by_lineage.get(message.lineage)
        if stream is None or stream.start.attempt != message.attempt:
            if message.resend:
                failed = StreamFailed(message.lineage, message.attempt, "unknown")
                world.emit(SendMessage(received.sender.name, failed))
            continue
        if received.sender.name != stream.owner:
            continue
        stream.owner_heard_at = now
        stream.acked = max(stream.acked, min(message.offset, stream.sent))
        if message.resend:
            stream.sent = stream.acked
        all_received = stream.acked == len(stream.tokens)
        if stream.state is StreamState.ENDED and all_received and not message.resend:
            world.streams.remove_stream(stream)
        else:
            send_pending(world, stream)


def cancel_streams(world: SidecarWorld, now: float) -> None:
    """Cancels attempts and fences those that have not arrived yet."""
    for received in world.inbox.read_messages(CancelStream):
        message = received.message
        seen = world.streams.attempts_seen
        seen[message.lineage] = max(seen.get(message.lineage, 0), message.attempt)
        stream = world.streams.by_lineage.get(message.lineage)
        if stream is not None and stream.start.attempt <= message.attempt:
            drop_stream(world, stream)


def drop_stream(world: SidecarWorld, stream: Stream) -> None:
    """Removes a stream and cancels it at the engine."""
    world.streams.remove_stream(stream)
    if stream.state is StreamState.RUNNING:
        world.emit(CancelEngineStream(stream.handle))


def fail_stream(world: SidecarWorld, stream: Stream, reason: str) -> None:
    """Removes a stream that broke and tells its owner."""
    world.streams.remove_stream(stream)
    failed = StreamFailed(stream.start.lineage, stream.start.attempt, reason)
    world.emit(SendMessage(stream.owner, failed))
