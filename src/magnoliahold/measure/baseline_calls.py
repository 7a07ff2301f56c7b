"""Baseline for calls: fixed timeout, one unconditional retry, then "not run"."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from magnoliahold.core.calls import Call, CallState
from magnoliahold.core.effects import AnswerCall, RefuseRequest
from magnoliahold.core.events import CallArrived
from magnoliahold.core.systems import calls, claims, followers
from magnoliahold.core.systems.dispatch import choose_call_target, send_call
from magnoliahold.wire.messages import CallAnswered, CallFailed

if TYPE_CHECKING:
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.node import Node

TIMEOUT_S = 2.0
MAX_ATTEMPTS = 2


def use_baseline_calls(node: Node) -> None:
    """Replaces an entry's systems for calls by those of the baseline."""
    replaced: dict[Any, Any] = {
        calls.accept_calls: accept_calls,
        calls.route_calls: route_calls,
        calls.handle_call_results: handle_call_results,
        calls.watch_calls: watch_calls,
    }
    unused = {
        claims.claim_keys,
        followers.watch_followed_claims,
        followers.handle_follower_results,
    }
    node.systems = tuple(
        replaced.get(system, system) for system in node.systems if system not in unused
    )


def accept_calls(world: EntryWorld, now: float) -> None:
    """Accepts every call as repeatable and ignores its idempotency key."""
    for request in world.inbox.read_events(CallArrived):
        world.calls.add_call(Call(request, now, repeatable=True))


def route_calls(world: EntryWorld, now: float) -> None:
    """Sends each ready call to the least loaded upstream; refuses it if none."""
    for call in world.calls.list_in_state(CallState.READY):
        choose_call_target(world, call, now)
        if call.target is None:
            _refuse(world, call)
        else:
            send_call(world, call, call.target, now)


def handle_call_results(world: EntryWorld, now: float) -> None:
    """Forwards the first answer of a call and retries a call that failed."""
    for answered in world.inbox.read_messages(CallAnswered):
        call = world.calls.by_nonce.get(answered.message.nonce)
        if call is not None:
            world.calls.remove_call(call)
            message = answered.message
            effect = AnswerCall(
                call.request.request_id, message.status, message.headers, message.body
            )
            world.emit(effect)
    for failed in world.inbox.read_messages(CallFailed):
        call = world.calls.by_nonce.get(failed.message.nonce)
        if call is not None and call.state is CallState.SENT:
            _retry(world, call)


def watch_calls(world: EntryWorld, now: float) -> None:
    """Retries a call, or refuses it, once its last dispatch has timed out."""
    for call in world.calls.list_in_state(CallState.SENT):
        latest = max(dispatch.sent_at for dispatch in call.in_flight.values())
        if now - latest >= TIMEOUT_S:
            _retry(world, call)


def _retry(world: EntryWorld, call: Call) -> None:
    if call.attempts >= MAX_ATTEMPTS:
        _refuse(world, call)
        return
    call.excluded_sidecars.update(
        dispatch.sidecar for dispatch in call.in_flight.values()
    )
    call.state = CallState.READY


def _refuse(world: EntryWorld, call: Call) -> None:
    world.calls.remove_call(call)
    refusal = RefuseRequest(
        call.request.request_id,
        status=503,
        code="not_run",
        message="the call did not run; send it again",
        retry_after_s=1.0,
    )
    world.emit(refusal)
