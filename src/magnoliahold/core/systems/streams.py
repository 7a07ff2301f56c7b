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
    from magnoliahold.core.identity import Sender
    from magnoliahold.core.worlds import SidecarWorld

TOKEN_GAP_WEIGHT = 0.2


def start_streams(world: SidecarWorld, now: float) -> None:
    """Starts the attempts that entries request."""
    for received in world.inbox.read_messages(StartStream):
        if _is_running(world, received):
            continue
        reason = find_refusal(world, received.message)
        if reason:
            refuse_start(world, received.sender.name, received.message, reason)
        else:
            _start_stream(world, received, now)
    for expired in world.inbox.read_events(MessageExpired):
        if isinstance(expired.message, StartStream):
            refuse_start(world, expired.sender.name, expired.message, "expired")


def _is_running(world: SidecarWorld, received: Received[StartStream]) -> bool:
    """Returns whether a message is a duplicate of one that was already handled."""
    start = received.message
    stream = world.streams.by_lineage.get(start.lineage)
    if stream is None or not is_owner(stream, received.sender):
        return False
    return stream.start.attempt == start.attempt


def is_owner(stream: Stream, sender: Sender) -> bool:
    """Returns whether a process, in its current incarnation, owns a stream."""
    return (stream.owner, stream.owner_incarnation) == (sender.name, sender.incarnation)


def find_refusal(world: SidecarWorld, start: StartStream) -> str:
    """Returns the reason why an attempt can't start here, or an empty string."""
    if world.leaving_since is not None:
        return "leaving"
    fence = world.streams.fences.get(start.lineage)
    if fence and (start.owner_epoch, start.attempt) <= (
        fence.owner_epoch,
        fence.attempt,
    ):
        return "fenced"
    if not world.upstream.ready:
        return "engine_died"
    if start.version not in world.upstream.versions:
        return "version_missing"
    return ""


def refuse_start(
    world: SidecarWorld, owner: str, start: StartStream, reason: str
) -> None:
    """Reports to an entry that an attempt did not start."""
    failed = StreamFailed(start.lineage, start.attempt, reason)
    world.emit(SendMessage(owner, failed))


def _start_stream(
    world: SidecarWorld, received: Received[StartStream], now: float
) -> None:
    start = received.message
    streams = world.streams
    previous = streams.by_lineage.get(start.lineage)
    if previous is not None:
        discard_stream(world, previous)
    streams.raise_fence(start.lineage, start.owner_epoch, start.attempt, now)
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
        silent_since=now,
    )
    streams.add_stream(stream)
    start_engine_stream(world, stream)


def start_engine_stream(world: SidecarWorld, stream: Stream) -> None:
    """Starts a stream at the engine after the tokens that are buffered here."""
    start = stream.start
    effect = StartEngineStream(
        handle=stream.handle,
        workspace=start.workspace,
        version=start.version,
        prompt=start.prompt,
        prefix=tuple(stream.tokens),
        max_tokens=start.max_tokens,
        priority=start.priority,
    )
    world.emit(effect)


def collect_tokens(world: SidecarWorld, now: float) -> None:
    """Buffers the tokens that the engine produced and sends them to the owners."""
    for event in world.inbox.read_events(StreamProduced):
        stream = world.streams.by_handle.get(event.handle)
        if stream is not None:
            _buffer_tokens(world, stream, event, now)
    for broken in world.inbox.read_events(StreamBroke):
        stream = world.streams.by_handle.get(broken.handle)
        if stream is not None:
            _record_reset(world, broken, now)
            fail_stream(world, stream, broken.reason)


def _record_reset(world: SidecarWorld, broken: StreamBroke, now: float) -> None:
    """Requests a probe at once: the other streams may be lost with this one."""
    if broken.reason == "engine_died":
        world.upstream.reset_at = now
        world.upstream.probe_requested = True


def _buffer_tokens(
    world: SidecarWorld, stream: Stream, event: StreamProduced, now: float
) -> None:
    count = event.offset + len(event.tokens)
    if event.offset != len(stream.tokens) or count > stream.start.max_tokens:
        world.emit(CancelEngineStream(stream.handle))
        fail_stream(world, stream, "broken")
        return
    if event.tokens:
        _record_token_gap(stream, len(event.tokens), now)
        stream.tokens.extend(event.tokens)
    if event.end:
        end_stream(stream, event.end, now)
    send_pending(world, stream, now)


def _record_token_gap(stream: Stream, count: int, now: float) -> None:
    """Updates the moving average of the gap between tokens."""
    if stream.first_token_at is None:
        stream.first_token_at = now
    elif not stream.restarts:
        gap_s = (now - stream.silent_since) / count
        previous_s = stream.token_gap_s
        stream.token_gap_s = previous_s + TOKEN_GAP_WEIGHT * (gap_s - previous_s)
    stream.last_token_at = now
    stream.silent_since = now
    stream.restarts = 0


def end_stream(stream: Stream, reason: str, now: float) -> None:
    """Marks a stream as ended after its last token has arrived."""
    stream.state = StreamState.ENDED
    stream.end = reason
    stream.ended_at = now
    stream.resent_at = now


def send_pending(world: SidecarWorld, stream: Stream, now: float) -> None:
    """Sends buffered tokens as far as the owner's window allows."""
    if stream.unowned_since is not None:
        return
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
    _apply_backpressure(world, stream, now)


def resend_end(world: SidecarWorld, stream: Stream, now: float) -> None:
    """Resends the end of a stream whose last acknowledgement is missing."""
    is_due = now - stream.resent_at >= world.policy.streams.finished_resent_s
    if stream.state is StreamState.ENDED and is_due:
        stream.resent_at = now
        stream.sent = stream.acked
        send_pending(world, stream, now)


def _apply_backpressure(world: SidecarWorld, stream: Stream, now: float) -> None:
    """Pauses the engine's stream while the owner's window is used up."""
    unsent = len(stream.tokens) - stream.sent
    if unsent >= stream.start.window:
        pause_stream(world, stream)
    elif unsent == 0:
        resume_stream(world, stream, now)


def pause_stream(world: SidecarWorld, stream: Stream) -> None:
    """Pauses a running stream at the engine."""
    if stream.state is StreamState.RUNNING and not stream.paused:
        stream.paused = True
        world.emit(PauseEngineStream(stream.handle))


def resume_stream(world: SidecarWorld, stream: Stream, now: float) -> None:
    """Resumes a paused stream at the engine; its silence is measured from now on."""
    if stream.state is StreamState.RUNNING and stream.paused:
        stream.paused = False
        stream.silent_since = now
        world.emit(ResumeEngineStream(stream.handle))


def apply_acks(world: SidecarWorld, now: float) -> None:
    """Advances windows, resends lost tokens and removes streams that are complete."""
    for received in world.inbox.read_messages(AckTokens):
        message = received.message
        stream = world.streams.by_lineage.get(message.lineage)
        if stream is None or stream.start.attempt != message.attempt:
            if message.resend:
                failed = StreamFailed(message.lineage, message.attempt, "unknown")
                world.emit(SendMessage(received.sender.name, failed))
            continue
        if not is_owner(stream, received.sender):
            continue
        stream.acked = max(stream.acked, min(message.offset, stream.sent))
        if message.resend:
            stream.sent = stream.acked
        all_received = stream.acked == len(stream.tokens)
        if stream.state is StreamState.ENDED and all_received and not message.resend:
            world.streams.remove_stream(stream)
        else:
            send_pending(world, stream, now)


def cancel_streams(world: SidecarWorld, now: float) -> None:
    """Cancels attempts for their owners and fences those that have not arrived yet."""
    for received in world.inbox.read_messages(CancelStream):
        message = received.message
        stream = world.streams.by_lineage.get(message.lineage)
        if stream is None:
            epoch = message.owner_epoch
            world.streams.raise_fence(message.lineage, epoch, message.attempt, now)
        elif not is_owner(stream, received.sender):
            continue
        elif stream.start.attempt <= message.attempt:
            _cancel_stream(world, stream, message, now)


def _cancel_stream(
    world: SidecarWorld, stream: Stream, message: CancelStream, now: float
) -> None:
    if message.keep_s and stream.start.resumable:
        stream.owner = ""
        stream.owner_incarnation = ""
        mark_stream_unowned(world, stream, message.keep_s, now)
        return
    epoch = stream.owner_epoch
    world.streams.raise_fence(message.lineage, epoch, message.attempt, now)
    discard_stream(world, stream)


def mark_stream_unowned(
    world: SidecarWorld, stream: Stream, grace_s: float, now: float
) -> None:
    """Pauses a stream whose owner is gone and keeps it for a takeover for a while."""
    stream.unowned_since = now
    stream.discard_at = now + grace_s
    pause_stream(world, stream)


def discard_stream(world: SidecarWorld, stream: Stream) -> None:
    """Removes a stream and cancels it at the engine."""
    world.streams.remove_stream(stream)
    if stream.state is StreamState.RUNNING:
        world.emit(CancelEngineStream(stream.handle))


def fail_stream(world: SidecarWorld, stream: Stream, reason: str) -> None:
    """Removes a failed stream and notifies its owner.

    It is cancelled at the engine too, so that an engine that recovers does not continue
    it.
    """
    discard_stream(world, stream)
    notify_owner(world, stream, reason)


def notify_owner(world: SidecarWorld, stream: Stream, reason: str) -> None:
    """Reports to the owner of a stream, if it has one, that its attempt has failed."""
    if stream.owner:
        failed = StreamFailed(stream.start.lineage, stream.start.attempt, reason)
        world.emit(SendMessage(stream.owner, failed))
