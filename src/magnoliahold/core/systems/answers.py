"""Gives callers of plain services their final answers, each of one of three kinds."""

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
    """Gives a caller the result and records it for repeats of the key."""
    _record_answer(world, call, answer, now)
    if call.suspect:
        clear_request(world, call.request.fingerprint)
    effect = AnswerCall(
        call.request.request_id, answer.status, answer.headers, answer.body
    )
    end_call(world, call, "answered")
    world.emit(effect)


def answer_from_row(world: EntryWorld, call: Call, row: ClaimRow) -> None:
    """Gives a repeat of a key the recorded result."""
    if row.body is None:
        reason = f"it ran with status {row.status}, and its answer was not kept"
        refuse_may_have_run(world, call, reason)
        return
    request_id = call.request.request_id
    effect = AnswerCall(request_id, row.status, row.headers, row.body)
    end_call(world, call, "recorded")
    world.emit(effect)


def fail_call(world: EntryWorld, call: Call, reason: str, now: float) -> None:
    """Ends a call without a result: as not run only if no dispatch may have run."""
    if call.open:
        record_outcome(world, call, ClaimState.LOST, now)
        refuse_may_have_run(world, call, reason)
    else:
        record_outcome(world, call, ClaimState.NOT_RUN, now)
        refuse_not_run(world, call, reason)


def refuse_not_run(world: EntryWorld, call: Call, reason: str) -> None:
    """Tells the caller that the call did not run, and when to send it again."""
    if call.open:
        nonces = ", ".join(call.open)
        world.reported_violations.append(
            f"{nonces}: may have run, but not run was to be said"
        )
    message = f"the call did not run: {reason}; send it again"
    retry_after_s = _spread_retry(world)
    _refuse(world, call, 503, "not_run", message, retry_after_s=retry_after_s)


def refuse_may_have_run(
    world: EntryWorld, call: Call, reason: str, retry_after_s: float | None = None
) -> None:
    """Tells the caller that the call may have run."""
    message = f"the call may have run: {reason}; check before sending it again"
    _refuse(world, call, 502, "may_have_run", message, "may_have_run", retry_after_s)


def refuse_in_progress(world: EntryWorld, call: Call) -> None:
    """Tells a repeat that the first call of its key still runs."""
    message = "a call with this idempotency key runs; send the key again for its result"
    after_s = _spread_retry(world)
    _refuse(world, call, 409, "in_progress", message, "may_have_run", after_s)


def refuse_unchecked_key(world: EntryWorld, call: Call) -> None:
    """Tells the caller that the store of keys gives no answer.

    The request did not run, but an earlier one with the same key may have.
    """
    message = (
        "this request did not run, as its idempotency key could not be checked; "
        "whether an earlier one with the key ran is told when it is sent again"
    )
    after_s = _spread_retry(world)
    _refuse(world, call, 503, "key_unchecked", message, "may_have_run", after_s)


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


def _spread_retry(world: EntryWorld) -> float:
    """Chooses when to come back, spread so that callers don't come all at once."""
    return round(world.random.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S), 2)


def end_call(world: EntryWorld, call: Call, outcome: str) -> None:
    """Removes a call that has its final answer."""
    for dispatch in call.open.values():
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
    """Queues the outcome of a claim for the table; drops it when the queue is full."""
    claim = call.claim
    if claim is None or claim.row is None:
        return
    if len(world.claims.results) >= world.policy.claims.max_unwritten_results:
        world.emit(CountMetric("results_dropped"))
        return
    row = make_result_row(claim.row, state, status, headers, body)
    world.claims.results[claim.key] = ResultWrite(claim.key, claim.version, row, now)
