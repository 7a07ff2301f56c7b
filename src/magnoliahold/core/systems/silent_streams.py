"""Reconnects streams whose connection is silent while the engine still answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CancelEngineStream, CountMetric
from magnoliahold.core.streams import StreamState
from magnoliahold.core.systems.streams import (
    end_stream,
    fail_stream,
    send_pending,
    start_engine_stream,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliahold.core.streams import Stream
    from magnoliahold.core.worlds import SidecarWorld


def continue_silent_streams(world: SidecarWorld, now: float) -> None:
    """Continues silent streams of an engine that answers probes.

    A stream is silent when its engine has sent no token for a multiple of the stream's
    own mean token gap. A probe over a new connection that is answered after the silence
    began shows that only the stream's connection is lost. A failed probe shows that the
    engine is lost, which is handled with the results of probes.
    """
    for stream in list(iterate_silent_streams(world, now)):
        if world.upstream.answered_at > stream.silent_since + _silence_limit_s(
            world, stream
        ):
            _continue_stream(world, stream, now)
        else:
            world.upstream.probe_requested = True


def iterate_silent_streams(world: SidecarWorld, now: float) -> Iterator[Stream]:
    """Yields the running streams whose engine has been silent for too long."""
    for stream in world.streams.by_handle.values():
        if stream.state is not StreamState.RUNNING or stream.paused:
            continue
        if now - stream.silent_since > _silence_limit_s(world, stream):
            yield stream


def are_all_streams_silent(world: SidecarWorld, since: float) -> bool:
    """Returns whether no running stream has received a token since a time.

    Streams that wait for their first token are left out: they show nothing about the
    engine.
    """
    quiet = [
        stream.silent_since <= since
        for stream in world.streams.by_handle.values()
        if stream.state is StreamState.RUNNING
        and not stream.paused
        and stream.first_token_at is not None
    ]
    return bool(quiet) and all(quiet)


def _silence_limit_s(world: SidecarWorld, stream: Stream) -> float:
    """Computes the silence allowed for a stream, which doubles with each restart."""
    policy = world.policy.streams
    if stream.first_token_at is None:
        limit_s = policy.first_token_silent_s
    else:
        gaps_s = policy.engine_silent_gaps * stream.token_gap_s
        limit_s = max(policy.engine_silent_min_s, gaps_s)
    return limit_s * (1 << stream.restarts)


def _continue_stream(world: SidecarWorld, stream: Stream, now: float) -> None:
    """Continues a stream over a new connection, or fails it after too many restarts.

    A stream that has all its tokens and lacks only the engine's end is ended instead.
    """
    if len(stream.tokens) >= stream.start.max_tokens:
        world.emit(CancelEngineStream(stream.handle))
        end_stream(stream, "length", now)
        send_pending(world, stream, now)
        return
    if stream.restarts >= world.policy.streams.local_restarts:
        fail_stream(world, stream, "engine_silent")
        return
    world.log_decision(
        "streams",
        "Connection is silent, continuing over a new one.",
        lineage=stream.start.lineage,
        offset=len(stream.tokens),
        silent_s=round(now - stream.silent_since, 3),
    )
    world.emit(CountMetric("streams_reconnected"))
    world.emit(CancelEngineStream(stream.handle))
    world.streams.change_handle(stream, world.make_id("stream"))
    stream.restarts += 1
    stream.silent_since = now
    start_engine_stream(world, stream)
