"""Sends calls of plain services to sidecars and settles their answers."""

from __future__ import annotations

from fnmatch import fnmatchcase
from typing import TYPE_CHECKING

from magnoliahold.core.calls import Call, CallState
from magnoliahold.core.effects import (
    AnswerCall,
    RefuseRequest,
    SendMessage,
)
from magnoliahold.core.events import CallArrived
from magnoliahold.wire.messages import CallAnswered, CallFailed, StartCall

if TYPE_CHECKING:
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.workspaces import ServiceRule
    from magnoliahold.core.worlds import EntryWorld

RETRY_AFTER_S = 1.0


def accept_calls(world: EntryWorld, now: float) -> None:
    """Accepts arrived calls or refuses those of unknown services."""
    for request in world.inbox.read_events(CallArrived):
        rule = world.workspaces.find_service(request.workspace, request.service)
        if rule is None:
            message = f"the workspace has no service {request.service!r}"
            refusal = RefuseRequest(
                request.request_id, status=404, code="unknown_service", message=message
            )
            world.emit(refusal)
            continue
        repeatable = is_repeatable(rule, request.method, request.path)
        call = Call(request, world.make_id("call"), now, repeatable)
        world.calls.add_call(call)


def is_repeatable(rule: ServiceRule, method: str, path: str) -> bool:
    """Tells whether the template allows a call to run more than once."""
    line = f"{method} /{path.lstrip('/')}"
    return any(fnmatchcase(line, pattern) for pattern in rule.repeatable)


def route_calls(world: EntryWorld, now: float) -> None:
    """Sends every ready call to a sidecar, or refuses it as not run."""
    for call in list(world.calls.by_request.values()):
        if call.state is not CallState.READY:
            continue
        peer = _choose_service_upstream(world, call)
        if peer is None:
            _refuse_not_run(world, call, "no upstream of the service is live")
        else:
            _send_call(world, call, peer, now)


def _choose_service_upstream(world: EntryWorld, call: Call) -> Peer | None:
    request = call.request
    rule = world.workspaces.find_service(request.workspace, request.service)
    if rule is None:
        return None
    candidates = [
        peer
        for peer in world.peers.list_by_role("sidecar")
        if peer.usable
        and peer.report is not None
        and peer.report.kind == "service"
        and peer.report.name in rule.upstreams
        and peer.name not in call.excluded
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda peer: (peer.assigned, world.random.random()))


def _send_call(world: EntryWorld, call: Call, peer: Peer, now: float) -> None:
    call.state = CallState.SENT
    call.sidecar = peer.name
    call.sidecar_incarnation = peer.incarnation
    call.sent_at = now
    call.attempts += 1
    request = call.request
    start = StartCall(
        nonce=call.nonce,
        workspace=request.workspace,
        service=request.service,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        fingerprint=request.fingerprint,
        route=world.identity.data_centre,
    )
    expires_s = world.policy.calls.start_expires_s
    world.emit(SendMessage(peer.name, start, expires_s))
    world.log_decision(
        "calls",
        "Upstream chosen.",
        request=request.request_id,
        service=request.service,
        sidecar=peer.name,
        nonce=call.nonce,
    )


def settle_calls(world: EntryWorld, now: float) -> None:
    """Gives callers the answers and failures that sidecars report."""
    for answered in world.inbox.read_messages(CallAnswered):
        call = world.calls.by_nonce.get(answered.message.nonce)
        if call is None:
            continue
        world.calls.remove_call(call)
        message = answered.message
        answer = AnswerCall(
            call.request.request_id, message.status, message.headers, message.body
        )
        world.emit(answer)
    for failed in world.inbox.read_messages(CallFailed):
        call = world.calls.by_nonce.get(failed.message.nonce)
        if call is None:
            continue
        if failed.message.not_run:
            _refuse_not_run(world, call, failed.message.reason)
        else:
            refuse_may_have_run(world, call, failed.message.reason)


def _refuse_not_run(world: EntryWorld, call: Call, reason: str) -> None:
    world.calls.remove_call(call)
    refusal = RefuseRequest(
        call.request.request_id,
        status=503,
        code="not_run",
        message=f"the call did not run: {reason}; send it again",
        ran="not_run",
        retry_after_s=RETRY_AFTER_S,
    )
    world.emit(refusal)


def refuse_may_have_run(world: EntryWorld, call: Call, reason: str) -> None:
    """Tells the caller that the call may have run."""
    world.calls.remove_call(call)
    refusal = RefuseRequest(
        call.request.request_id,
        status=502,
        code="may_have_run",
        message=f"the call may have run: {reason}; check before sending it again",
        ran="may_have_run",
    )
    world.emit(refusal)
