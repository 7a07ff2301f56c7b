"""Runs calls of a sidecar's plain service, each at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CancelServiceCall, SendMessage, StartServiceCall
from magnoliahold.core.events import (
    MessageExpired,
    ServiceAnswered,
    ServiceFailed,
    UpstreamProbed,
)
from magnoliahold.core.runs import Run, RunState
from magnoliahold.wire.messages import (
    CallAnswered,
    CallFailed,
    CallVerdict,
    FenceCall,
    StartCall,
)

if TYPE_CHECKING:
    from magnoliahold.core.events import Received
    from magnoliahold.core.worlds import SidecarWorld


LOST_RUN_REPORT_DELAY_S = 0.5


def finish_runs(world: SidecarWorld, now: float) -> None:
    """Sends answers and failures of calls to the entries that wait for them."""
    for answered in world.inbox.read_events(ServiceAnswered):
        run = world.runs.in_flight.get(answered.nonce)
        if run is not None:
            run.answer = CallAnswered(
                answered.nonce, answered.status, answered.headers, answered.body
            )
            world.runs.end_run(run, RunState.ANSWERED, now)
            _send_to_owners(world, run, run.answer)
    for failure in world.inbox.read_events(ServiceFailed):
        run = world.runs.in_flight.get(failure.nonce)
        if run is None:
            continue
        run.delivery_count -= failure.not_sent
        state = RunState.FENCED if failure.not_sent else RunState.LOST
        world.runs.end_run(run, state, now)
        if state is RunState.LOST:
            world.runs.unreported_lost.append(run)
            world.upstream.probe_requested = True
            world.upstream.reset_at = now
        else:
            _send_to_owners(world, run, CallFailed(run.nonce, True, failure.reason))


def report_lost_runs(world: SidecarWorld, now: float) -> None:
    """Reports lost runs after a probe has shown whether the service died.

    This way, the report of its failure reaches the entries before they retry a call.
    Without a probe result, lost runs are reported after a delay.
    """
    probed = bool(world.inbox.read_events(UpstreamProbed))
    for run in list(world.runs.unreported_lost):
        ended_at = run.ended_at or 0.0
        settled = probed and world.upstream.probe_sent_at >= ended_at
        if settled or now - ended_at >= LOST_RUN_REPORT_DELAY_S:
            world.runs.unreported_lost.remove(run)
            failed = CallFailed(run.nonce, False, "the service broke its connection")
            _send_to_owners(world, run, failed)


def start_runs(world: SidecarWorld, now: float) -> None:
    """Starts the calls that entries request, unless they are fenced or expired."""
    for expired in world.inbox.read_events(MessageExpired):
        if isinstance(expired.message, StartCall):
            _refuse_run(world, expired.sender.name, expired.message, "expired", now)
    for received in world.inbox.read_messages(StartCall):
        start = received.message
        reason = _find_refusal(world, start, now)
        if reason:
            _refuse_run(world, received.sender.name, start, reason, now)
        elif start.nonce not in world.runs.by_nonce:
            _start_run(world, received, now)


def _find_refusal(world: SidecarWorld, start: StartCall, now: float) -> str:
    """Returns why a call can't start, or an empty string.

    The expiry of the call is checked here, at the moment of its start.
    """
    if now > start.expires_at:
        return "expired"
    if world.leaving_since is not None:
        return "the upstream is leaving"
    return "" if world.upstream.ready else "the upstream is down"


def _refuse_run(
    world: SidecarWorld, owner: str, start: StartCall, reason: str, now: float
) -> None:
    """Fences a call that has not started here and reports that it did not run."""
    run = world.runs.by_nonce.get(start.nonce)
    if run is None:
        run = _add_fence(world, start.nonce, now)
    if run.state is RunState.FENCED:
        failed = CallFailed(start.nonce, not_run=True, reason=reason)
        world.emit(SendMessage(owner, failed))


def _add_fence(world: SidecarWorld, nonce: str, now: float) -> Run:
    run = Run(nonce, RunState.FENCED, now)
    world.runs.add_run(run)
    world.runs.end_run(run, RunState.FENCED, now)
    return run


def _start_run(world: SidecarWorld, received: Received[StartCall], now: float) -> None:
    start = received.message
    run = world.runs.by_nonce.get(start.nonce)
    if run is None:
        run = Run(start.nonce, RunState.RUNNING, now)
        run.fingerprint = start.fingerprint
        run.suspect = start.suspect
        world.runs.add_run(run)
    run.owners.append(received.sender.name)
    run.delivery_count += 1
    effect = StartServiceCall(
        start.nonce, start.method, start.path, start.headers, start.body
    )
    world.emit(effect)


def fence_runs(world: SidecarWorld, now: float) -> None:
    """Fences calls that have not started and reports the state of the others."""
    for received in world.inbox.read_messages(FenceCall):
        fence = received.message
        owner = received.sender.name
        run = world.runs.by_nonce.get(fence.nonce)
        if run is None and _is_record_expired(world, fence, now):
            verdict = CallVerdict(fence.nonce, "forgotten")
            world.emit(SendMessage(owner, verdict))
            continue
        if run is None:
            run = _add_fence(world, fence.nonce, now)
        _send_state(world, run, owner)


def _is_record_expired(world: SidecarWorld, fence: FenceCall, now: float) -> bool:
    """Returns whether the record of a run with this expiry may have been removed."""
    return now - fence.expires_at >= world.policy.calls.run_kept_s


def _send_state(world: SidecarWorld, run: Run, owner: str) -> None:
    world.emit(SendMessage(owner, CallVerdict(run.nonce, run.state.value)))
    if run.state is RunState.RUNNING and owner not in run.owners:
        run.owners.append(owner)
    if run.answer is not None:
        world.emit(SendMessage(owner, run.answer))


def _send_to_owners(world: SidecarWorld, run: Run, outcome: object) -> None:
    for owner in run.owners:
        world.emit(SendMessage(owner, outcome))  # type: ignore[arg-type]


def expire_runs(world: SidecarWorld, now: float) -> None:
    """Discards old answers and records, and fails runs that exceed the time limit.

    Runs after the calls and fences of a tick, so that a fence outlives every call of
    the same tick.
    """
    policy = world.policy.calls
    for run in list(world.runs.in_flight.values()):
        if now - run.started_at < policy.run_limit_s:
            break
        world.runs.end_run(run, RunState.LOST, now)
        world.emit(CancelServiceCall(run.nonce))
        failed = CallFailed(run.nonce, not_run=False, reason="no answer in time")
        _send_to_owners(world, run, failed)
    _discard_answers(world, now)
    _discard_records(world, now)


def _discard_answers(world: SidecarWorld, now: float) -> None:
    kept_s = world.policy.calls.answer_kept_s
    answers = world.runs.answers
    while answers and now - (answers[0].ended_at or 0.0) >= kept_s:
        answers.popleft().answer = None


def _discard_records(world: SidecarWorld, now: float) -> None:
    """Removes runs long after their calls have expired."""
    policy = world.policy.calls
    kept_s = policy.run_kept_s + policy.start_expires_s
    ended = world.runs.ended
    while ended and now - (ended[0].ended_at or 0.0) >= kept_s:
        del world.runs.by_nonce[ended.popleft().nonce]
