"""Sends calls of plain services to sidecars and handles their outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.calls import Call, CallState
from magnoliahold.core.effects import CountMetric, RefuseRequest, SendMessage
from magnoliahold.core.events import CallArrived, MessageUnsent
from magnoliahold.core.systems.answers import answer_call, fail_call
from magnoliahold.core.systems.claims import queue_claim, requeue_claim
from magnoliahold.core.systems.dispatch import (
    choose_call_target,
    is_target_usable,
    release_dispatch,
    send_call,
)
from magnoliahold.core.systems.suspects import is_suspect, refuse_quarantined
from magnoliahold.templates.patterns import matches_pattern
from magnoliahold.wire.messages import (
    CallAnswered,
    CallFailed,
    CallVerdict,
    FenceCall,
    StartCall,
)

if TYPE_CHECKING:
    from magnoliahold.core.calls import Dispatch
    from magnoliahold.core.identity import Sender
    from magnoliahold.core.workspaces import ServiceRule
    from magnoliahold.core.worlds import EntryWorld


def accept_calls(world: EntryWorld, now: float) -> None:
    """Accepts arrived calls; refuses unknown services and quarantined requests."""
    policy = world.policy.calls
    for request in world.inbox.read_events(CallArrived):
        rule = world.workspaces.find_service(request.workspace, request.service)
        if rule is None:
            message = f"the workspace has no service {request.service!r}"
            refusal = RefuseRequest(
                request.request_id, status=404, code="unknown_service", message=message
            )
            world.emit(refusal)
            continue
        fingerprint = request.fingerprint
        if refuse_quarantined(world, request.request_id, fingerprint, now):
            continue
        repeatable = is_repeatable(rule, request.method, request.path)
        call = Call(request, now, repeatable, suspect=is_suspect(world, fingerprint))
        world.calls.add_call(call)
        world.calls.add_retry_tokens(policy.retry_share, policy.retry_burst)
        if request.idempotency_key and not repeatable:
            queue_claim(world, call, now)


def is_repeatable(rule: ServiceRule, method: str, path: str) -> bool:
    """Tells whether the template allows a call to run more than once."""
    full_path = f"/{path.lstrip('/')}"
    return any(
        matches_pattern(pattern, method, full_path) for pattern in rule.repeatable
    )


def route_calls(world: EntryWorld, now: float) -> None:
    """Sends every ready call to a sidecar, or ends it when no upstream is live.

    A claimed call goes only to the sidecar that its claim names.
    """
    for call in world.calls.list_in_state(CallState.READY):
        if call.claim is None:
            choose_call_target(world, call, now)
        target = call.target
        if target is None:
            call.state = CallState.SENT
            reason = "no upstream of the service is live"
            _fail_if_unanswerable(world, call, reason, now)
        elif is_target_usable(world, target, now):
            send_call(world, call, target, now)
        elif call.claim is not None:
            requeue_claim(world, call, call.claim, now)


def handle_call_results(world: EntryWorld, now: float) -> None:
    """Handles the answers, failures and verdicts that sidecars send on dispatches."""
    for answered in world.inbox.read_messages(CallAnswered):
        found = _find_dispatch(world, answered.message.nonce, answered.sender)
        if found is not None:
            answer_call(world, found[0], answered.message, now)
    for failed in world.inbox.read_messages(CallFailed):
        found = _find_dispatch(world, failed.message.nonce, failed.sender)
        if found is not None and failed.message.not_run:
            _handle_not_run(world, *found, failed.message.reason, now)
        elif found is not None:
            _handle_lost(world, *found, failed.message.reason, now)
    for received in world.inbox.read_messages(CallVerdict):
        found = _find_dispatch(world, received.message.nonce, received.sender)
        if found is not None:
            _handle_verdict(world, *found, received.message.verdict, now)
    _handle_undelivered(world, now)


def _find_dispatch(
    world: EntryWorld, nonce: str, sender: Sender
) -> tuple[Call, Dispatch] | None:
    """Finds the dispatch that a message is about, if it was sent to that sender."""
    call = world.calls.by_nonce.get(nonce)
    if call is None:
        return None
    dispatch = call.in_flight[nonce]
    if (dispatch.sidecar, dispatch.incarnation) != (sender.name, sender.incarnation):
        return None
    return call, dispatch


def _handle_undelivered(world: EntryWorld, now: float) -> None:
    for unsent in world.inbox.read_events(MessageUnsent):
        if not isinstance(unsent.message, StartCall):
            continue
        call = world.calls.by_nonce.get(unsent.message.nonce)
        if call is not None:
            dispatch = call.in_flight[unsent.message.nonce]
            _handle_not_run(world, call, dispatch, "the link is down", now)


def _handle_verdict(
    world: EntryWorld, call: Call, dispatch: Dispatch, verdict: str, now: float
) -> None:
    dispatch.last_received_at = now
    if verdict == "fenced":
        _handle_not_run(world, call, dispatch, "the upstream never got it", now)
    elif verdict in ("lost", "forgotten"):
        _handle_lost(world, call, dispatch, "the upstream lost its answer", now)


def _handle_not_run(
    world: EntryWorld, call: Call, dispatch: Dispatch, reason: str, now: float
) -> None:
    """Removes a dispatch that provably never ran; the call may be retried."""
    world.calls.close_dispatch(call, dispatch.nonce)
    if call.claim is not None:
        call.claim.fenced.add(dispatch.nonce)
    release_dispatch(world, dispatch)
    if not retry_call(world, call, dispatch, reason, now):
        _fail_if_unanswerable(world, call, reason, now)


def _handle_lost(
    world: EntryWorld, call: Call, dispatch: Dispatch, reason: str, now: float
) -> None:
    """Marks a dispatch as lost: it may have run, and no answer will come."""
    dispatch.lost = True
    if not call.repeatable or not retry_call(world, call, dispatch, reason, now):
        _fail_if_unanswerable(world, call, reason, now)


def _fail_if_unanswerable(
    world: EntryWorld, call: Call, reason: str, now: float
) -> None:
    """Ends a call when none of its dispatches can be answered any more."""
    waiting = any(not dispatch.lost for dispatch in call.in_flight.values())
    if call.state is CallState.SENT and not waiting:
        fail_call(world, call, reason, now)


def retry_call(
    world: EntryWorld, call: Call, failed: Dispatch, reason: str, now: float
) -> bool:
    """Makes a call ready for another upstream if its limits and the budget allow it."""
    policy = world.policy.calls
    if call.state is not CallState.SENT or call.attempts >= policy.max_attempts:
        return False
    if not call.repeatable and call.in_flight:
        return False
    if not world.calls.consume_retry_token():
        return False
    call.excluded_sidecars.add(failed.sidecar)
    call.suspect = is_suspect(world, call.request.fingerprint)
    if call.claim is not None:
        requeue_claim(world, call, call.claim, now)
    else:
        call.state = CallState.READY
    world.emit(CountMetric("call_retries"))
    world.log_decision(
        "calls",
        "Retrying the call.",
        request=call.request.request_id,
        failed=failed.sidecar,
        reason=reason,
    )
    return True


def watch_calls(world: EntryWorld, now: float) -> None:
    """Retries repeatable calls, queries sidecars about others and ends overdue ones."""
    wait_limit_s = world.policy.calls.answer_patience_s
    for call in world.calls.list_in_state(CallState.SENT):
        for dispatch in list(call.in_flight.values()):
            if not dispatch.lost and call.state is CallState.SENT:
                _watch_dispatch(world, call, dispatch, now)
        if call.state is CallState.SENT and now - call.arrived_at >= wait_limit_s:
            fail_call(world, call, "no answer in time", now)


def _watch_dispatch(
    world: EntryWorld, call: Call, dispatch: Dispatch, now: float
) -> None:
    policy = world.policy.calls
    peer = world.peers.peers.get(dispatch.sidecar)
    silent_s = now - dispatch.last_received_at
    if peer is None or peer.incarnation != dispatch.incarnation:
        _handle_lost(world, call, dispatch, "its sidecar is gone", now)
    elif peer.lost and silent_s >= policy.unreachable_patience_s:
        _handle_lost(world, call, dispatch, "its sidecar can't be reached", now)
    elif call.repeatable and not dispatch.retried:
        overdue = now - dispatch.sent_at >= policy.repeat_after_s
        if overdue and retry_call(world, call, dispatch, "no answer yet", now):
            dispatch.retried = True
    elif not call.repeatable and now - dispatch.last_inquiry_at >= policy.inquiry_s:
        dispatch.last_inquiry_at = now
        fence = FenceCall(dispatch.nonce, dispatch.expires_at)
        world.emit(SendMessage(dispatch.sidecar, fence))
