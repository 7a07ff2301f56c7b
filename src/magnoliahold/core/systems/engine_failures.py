"""Reports the requests that were in flight when a sidecar's upstream failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import SendMessage
from magnoliahold.core.events import StreamBroke
from magnoliahold.wire.messages import EngineDied

if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliahold.core.worlds import SidecarWorld

CALL_PROGRESS_UNIT_S = 0.05


def detect_engine_failure(world: SidecarWorld, now: float) -> None:
    """Reports an engine failure when at least half of the streams broke together.

    Runs before the streams are reported as failed, so that entries learn first which
    requests may have caused the failure.
    """
    broken_handles = {
        event.handle
        for event in world.inbox.read_events(StreamBroke)
        if event.reason == "engine_died" and event.handle in world.streams.by_handle
    }
    if broken_handles and 2 * len(broken_handles) >= len(world.streams.by_handle):
        report_engine_failure(world, now)


def report_engine_failure(world: SidecarWorld, now: float) -> None:
    """Reports to every entry, once for each incarnation, what was in flight."""
    upstream = world.upstream
    if upstream.failure_reported_for == upstream.incarnation:
        return
    upstream.failure_reported_for = upstream.incarnation
    in_flight = [*_list_streams(world), *_list_runs(world, now)]
    if not in_flight:
        return
    died = EngineDied(
        upstream=upstream.name,
        engine_incarnation=upstream.incarnation,
        fingerprints=tuple(item[0] for item in in_flight),
        produced=tuple(item[1] for item in in_flight),
        suspects=tuple(item[0] for item in in_flight if item[2]),
    )
    for owner in world.owners.owners:
        world.emit(SendMessage(owner, died))


def _list_streams(world: SidecarWorld) -> Iterator[tuple[str, int, bool]]:
    for stream in world.streams.by_handle.values():
        if not stream.end:
            produced = len(stream.tokens) - len(stream.start.prefix)
            yield stream.start.fingerprint, produced, stream.start.suspect


def _list_runs(world: SidecarWorld, now: float) -> Iterator[tuple[str, int, bool]]:
    for run in [*world.runs.in_flight.values(), *world.runs.unreported_lost]:
        ran_until = now if run.ended_at is None else run.ended_at
        produced = int((ran_until - run.started_at) / CALL_PROGRESS_UNIT_S)
        yield run.fingerprint, produced, run.suspect
