"""Runs calls of a sidecar's plain service, each at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import SendMessage, StartServiceCall
from magnoliahold.core.events import MessageExpired, ServiceAnswered, ServiceFailed
from magnoliahold.core.runs import Run, RunState
from magnoliahold.wire.messages import CallAnswered, CallFailed, StartCall

if TYPE_CHECKING:
    from magnoliahold.core.events import Received
    from magnoliahold.core.worlds import SidecarWorld


def start_runs(world: SidecarWorld, now: float) -> None:
    """Starts the calls that entries ask for."""
    for received in world.inbox.read_messages(StartCall):
        nonce = received.message.nonce
        if nonce in world.runs.by_nonce:
            continue
        if world.leaving_since is not None or not world.upstream.ready:
            failed = CallFailed(nonce, not_run=True, reason="upstream unavailable")
            world.emit(SendMessage(received.sender.name, failed))
            continue
        _start_run(world, received, now)
    for expired in world.inbox.read_events(MessageExpired):
        if isinstance(expired.message, StartCall):
            failed = CallFailed(expired.message.nonce, not_run=True, reason="expired")
            world.emit(SendMessage(expired.sender.name, failed))


def _start_run(world: SidecarWorld, received: Received[StartCall], now: float) -> None:
    start = received.message
    run = Run(start.nonce, received.sender.name, RunState.RUNNING, now, start)
    world.runs.by_nonce[start.nonce] = run
    effect = StartServiceCall(
        start.nonce, start.method, start.path, start.headers, start.body
    )
    world.emit(effect)


def finish_runs(world: SidecarWorld, now: float) -> None:
    """Passes answers and failures of calls on to the entries."""
    for answered in world.inbox.read_events(ServiceAnswered):
        run = world.runs.by_nonce.get(answered.nonce)
        if run is None:
            continue
        run.state = RunState.ANSWERED
        run.answer = CallAnswered(
            answered.nonce, answered.status, answered.headers, answered.body
        )
        world.emit(SendMessage(run.owner, run.answer))
    for failure in world.inbox.read_events(ServiceFailed):
        run = world.runs.by_nonce.get(failure.nonce)
        if run is None:
            continue
        run.state = RunState.FENCED if failure.not_sent else RunState.LOST
        failed = CallFailed(failure.nonce, failure.not_sent, failure.reason)
        world.emit(SendMessage(run.owner, failed))
