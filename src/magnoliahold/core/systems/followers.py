"""Resolves repeats of an idempotency key whose first call is claimed elsewhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.calls import CallState
from magnoliahold.core.effects import SendMessage
from magnoliahold.core.systems.answers import (
    answer_call,
    refuse_in_progress,
    refuse_may_have_run,
)
from magnoliahold.core.systems.claims import read_claim_row, requeue_claim
from magnoliahold.wire.messages import (
    CallAnswered,
    CallFailed,
    CallVerdict,
    FenceCall,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliahold.core.calls import Call
    from magnoliahold.core.claims import Claim, ClaimRow
    from magnoliahold.core.identity import Sender
    from magnoliahold.core.worlds import EntryWorld


def handle_follower_results(world: EntryWorld, now: float) -> None:
    """Handles what the sidecar named in a claim reports about the claim's nonce."""
    for answered in world.inbox.read_messages(CallAnswered):
        answer = answered.message
        for call, _ in _find_followers(world, answer.nonce, answered.sender):
            answer_call(world, call, answer, now)
    for failed in world.inbox.read_messages(CallFailed):
        nonce = failed.message.nonce
        verdict = "fenced" if failed.message.not_run else "lost"
        for call, claim in _find_followers(world, nonce, failed.sender):
            _handle_verdict(world, call, claim, verdict, now)
    for received in world.inbox.read_messages(CallVerdict):
        nonce = received.message.nonce
        for call, claim in _find_followers(world, nonce, received.sender):
            _handle_verdict(world, call, claim, received.message.verdict, now)


def _find_followers(
    world: EntryWorld, nonce: str, sender: Sender
) -> Iterator[tuple[Call, Claim]]:
    for call in world.calls.list_in_state(CallState.FOLLOWING):
        claim = call.claim
        if claim is None or claim.row is None or claim.row.nonce != nonce:
            continue
        named = (claim.row.sidecar, claim.row.incarnation)
        if named == (sender.name, sender.incarnation):
            yield call, claim


def _handle_verdict(
    world: EntryWorld, call: Call, claim: Claim, verdict: str, now: float
) -> None:
    if verdict == "fenced" and claim.row is not None:
        claim.fenced.add(claim.row.nonce)
        requeue_claim(world, call, claim, now)
    elif verdict in ("lost", "forgotten"):
        refuse_may_have_run(world, call, "its answer was lost at the upstream")
    else:
        claim.inquiry_answered = True


def watch_followed_claims(world: EntryWorld, now: float) -> None:
    """Queries the sidecars named in followed claims, and ends waits that are too long.

    A query fences the claimed call if it has not started, so the first request of the
    key gets a grace period to start it.
    """
    for call in world.calls.list_in_state(CallState.FOLLOWING):
        claim = call.claim
        if claim is None or claim.row is None:
            continue
        waited_s = now - claim.followed_at
        if now - call.arrived_at >= world.policy.calls.answer_patience_s:
            refuse_in_progress(world, call)
        elif waited_s >= world.policy.claims.grace_s:
            _query_sidecar(world, call, claim, claim.row, now)


def _query_sidecar(
    world: EntryWorld, call: Call, claim: Claim, row: ClaimRow, now: float
) -> None:
    if not claim.read_token:
        read_claim_row(world, call, claim)
        return
    waited_s = now - claim.followed_at
    peer = world.peers.peers.get(row.sidecar)
    if not claim.rechecked and waited_s < 2 * world.policy.claims.grace_s:
        return
    if peer is not None and peer.incarnation not in ("", row.incarnation):
        refuse_may_have_run(world, call, "the sidecar that had it is gone")
    elif _is_unreachable(world, claim, waited_s):
        reason = "the sidecar that has it can't be reached"
        retry_after_s = world.policy.claims.retry_after_s
        refuse_may_have_run(world, call, reason, retry_after_s)
    elif _is_inquiry_due(world, claim, now):
        claim.last_inquiry_at = now
        fence = FenceCall(row.nonce, row.expires_at)
        world.emit(SendMessage(row.sidecar, fence))


def _is_unreachable(world: EntryWorld, claim: Claim, waited_s: float) -> bool:
    wait_limit_s = world.policy.calls.unreachable_patience_s
    return not claim.inquiry_answered and waited_s >= wait_limit_s


def _is_inquiry_due(world: EntryWorld, claim: Claim, now: float) -> bool:
    if claim.last_inquiry_at is None:
        return True
    return now - claim.last_inquiry_at >= world.policy.calls.inquiry_s
