"""Sends each caller of a plain service one final answer.

The answer is a result, or says that the call did not run or that it may have run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.claims import ClaimState, ResultWrite, make_result_row
from magnoliahold.core.effects import AnswerCall, CountMetric, RefuseRequest
from magnoliahold.core.systems.dispatch import release_dispatch
from magnoliahold.core.systems.suspects import clear_request

if TYPE_CHECKING:
    from magnoliahold.core.calls import Call
    from magnoliahold.core.claims import ClaimRow
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.wire.messages import CallAnswered

RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 2.0


def answer_call(
    world: EntryWorld, call: Call, answer: CallAnswered, now: float
) -> None:
    """Answers a caller with the result and records it for repeats of the key."""
    _record_answer(world, call, answer, now)
    if call.suspect:
        clear_request(world, call.request.fingerprint)
    effect = AnswerCall(
        call.request.request_id, answer.status, answer.headers, answer.body
    )
    end_call(world, call, "answered")
    world.emit(effect)


def answer_from_row(world: EntryWorld, call: Call, row: ClaimRow) -> None:
    """Answers a repeat of an idempotency key with the recorded result."""
    if row.body is None:
        reason = f"it ran with status {row.status}, and its answer was not kept"
        refuse_may_have_run(world, call, reason)
        return
    request_id = call.request.request_id
    effect = AnswerCall(request_id, row.status, row.headers, row.body)
    end_call(world, call, "recorded")
    world.emit(effect)


def fail_call(world: EntryWorld, call: Call, reason: str, now: float) -> None:
    """Ends a call without a result, as not run only if no dispatch may have run."""
    if call.in_flight:
        record_outcome(world, call, ClaimState.LOST, now)
        refuse_may_have_run(world, call, reason)
    else:
        record_outcome(world, call, ClaimState.NOT_RUN, now)
        refuse_not_run(world, call, reason)


def refuse_not_run(world: EntryWorld, call: Call, reason: str) -> None:
    """Tells the caller that the call did not run and when to retry it."""
    if call.in_flight:
        nonces = ", ".join(call.in_flight)
        world.reported_violations.append(
            f"{nonces}: may have run, but is answered as not run"
        )
    message = f"the call did not run: {reason}; send it again"
    retry_after_s = _choose_retry_after(world)
    _refuse(world, call, 503, "not_run", message, retry_after_s=retry_after_s)


def refuse_may_have_run(
    world: EntryWorld, call: Call, reason: str, retry_after_s: float | None = None
) -> None:
    """Tells the caller that the call may have run."""
    message = f"the call may have run: {reason}; check before sending it again"
    _refuse(world, call, 502, "may_have_run", message, "may_have_run", retry_after_s)


def refuse_in_progress(world: EntryWorld, call: Call) -> None:
    """Tells a repeat that the first call with its key is still running."""
    message = "a call with this idempotency key runs; send the key again for its result"
    retry_after_s = _choose_retry_after(world)
    _refuse(world, call, 409, "in_progress", message, "may_have_run", retry_after_s)


def refuse_unchecked_key(world: EntryWorld, call: Call) -> None:
    """Tells the caller that the store did not answer about its idempotency key.

    The request did not run, but an earlier one with the same key may have run.
    """
    message = (
        "this request did not run, as its idempotency key could not be checked; "
        "whether an earlier one with the key ran is told when it is sent again"
    )
    retry_after_s = _choose_retry_after(world)
    _refuse(world, call, 503, "key_unchecked", message, "may_have_run", retry_after_s)


def refuse_reused_key(world: EntryWorld, call: Call) -> None:
    """Refuses a key that was used for another request."""
    message = "the idempotency key belongs to another request; use a new key"
    _refuse(world, call, 422, "key_reused", message)


def _refuse(
    world: EntryWorld,
    call: Call,
    status: int,
    code: str,
    message: str,
    ran: str = "not_run",
    retry_after_s: float | None = None,
) -> None:
    end_call(world, call, code)
    request_id = call.request.request_id
    refusal = RefuseRequest(request_id, status, code, message, ran, retry_after_s)
    world.emit(refusal)


def _choose_retry_after(world: EntryWorld) -> float:
    """Picks a random Retry-After time, so that callers don't all retry at once."""
    return round(world.random.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S), 2)


def end_call(world: EntryWorld, call: Call, outcome: str) -> None:
    """Removes a call that got its final answer and logs the outcome."""
    for dispatch in call.in_flight.values():
        release_dispatch(world, dispatch)
    world.calls.remove_call(call)
    labels = {"service": call.request.service, "outcome": outcome}
    world.emit(CountMetric("calls_finished", 1, labels))
    world.log_decision(
        "calls",
        "Call ended.",
        request=call.request.request_id,
        outcome=outcome,
        attempts=call.attempts,
    )


def _record_answer(
    world: EntryWorld, call: Call, answer: CallAnswered, now: float
) -> None:
    fits = len(answer.body) <= world.policy.claims.max_result_bytes
    body = answer.body if fits else None
    result = (answer.status, answer.headers, body)
    record_outcome(world, call, ClaimState.ANSWERED, now, *result)


def record_outcome(
    world: EntryWorld,
    call: Call,
    state: ClaimState,
    now: float,
    status: int = 0,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes | None = None,
) -> None:
    """Queues the outcome of a claim to be stored; discards it if the queue is full."""
    claim = call.claim
    if claim is None or claim.row is None:
        return
    if len(world.claims.results) >= world.policy.claims.max_unwritten_results:
        world.emit(CountMetric("results_dropped"))
        return
    row = make_result_row(claim.row, state, status, headers, body)
    world.claims.results[claim.key] = ResultWrite(claim.key, claim.version, row, now)
