"""Chooses the sidecar of a call and sends the call to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.calls import CallState, Dispatch
from magnoliahold.core.effects import SendMessage
from magnoliahold.core.systems.suspects import select_suspect_upstream
from magnoliahold.wire.messages import StartCall

if TYPE_CHECKING:
    from magnoliahold.core.calls import Call
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.worlds import EntryWorld


def choose_call_target(world: EntryWorld, call: Call, now: float) -> bool:
    """Chooses the target of a call; returns false when no upstream is live."""
    peer = _choose_service_upstream(world, call)
    if peer is None:
        call.target = None
        return False
    call.target = Dispatch(
        nonce=world.make_id("call"),
        sidecar=peer.name,
        incarnation=peer.incarnation,
        expires_at=now + peer.clock_offset + world.policy.calls.start_expires_s,
    )
    return True


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
        and peer.name not in call.excluded_sidecars
    ]
    if not candidates:
        return None
    if call.suspect:
        candidates = select_suspect_upstream(world, request.fingerprint, candidates)
    return min(candidates, key=lambda peer: (peer.assigned, world.random.random()))


def is_target_usable(world: EntryWorld, target: Dispatch, now: float) -> bool:
    """Tells whether the chosen sidecar is still usable and the start not expired."""
    peer = world.peers.peers.get(target.sidecar)
    if peer is None or not peer.usable or peer.incarnation != target.incarnation:
        return False
    return now + peer.clock_offset < target.expires_at


def send_call(world: EntryWorld, call: Call, target: Dispatch, now: float) -> None:
    """Sends a call to its chosen sidecar."""
    call.state = CallState.SENT
    call.target = None
    call.attempts += 1
    target.sent_at = now
    target.last_inquiry_at = now
    target.last_received_at = now
    world.calls.open_dispatch(call, target)
    world.peers.peers[target.sidecar].assigned += 1
    request = call.request
    start = StartCall(
        nonce=target.nonce,
        workspace=request.workspace,
        service=request.service,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        fingerprint=request.fingerprint,
        route=world.identity.data_centre,
        expires_at=target.expires_at,
        suspect=call.suspect,
    )
    expires_s = world.policy.calls.start_expires_s
    world.emit(SendMessage(target.sidecar, start, expires_s))
    world.log_decision(
        "calls",
        "Upstream chosen.",
        request=request.request_id,
        service=request.service,
        sidecar=target.sidecar,
        nonce=target.nonce,
        attempt=call.attempts,
    )


def release_dispatch(world: EntryWorld, dispatch: Dispatch) -> None:
    """Subtracts an ended dispatch from the load of its upstream."""
    peer = world.peers.peers.get(dispatch.sidecar)
    if peer is not None and peer.assigned > 0:
        peer.assigned -= 1
