"""Claims idempotency keys in batched transactions before their calls are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.calls import CallState
from magnoliahold.core.claims import (
    CLAIMS_TABLE,
    ClaimBatch,
    ClaimRow,
    ClaimState,
    decode_claim,
    encode_claim,
    make_claim,
)
from magnoliahold.core.effects import CountMetric, ReadRow, Transact
from magnoliahold.core.events import RowsRead, TransactionFinished
from magnoliahold.core.systems.answers import (
    answer_from_row,
    record_outcome,
    refuse_may_have_run,
    refuse_not_run,
    refuse_reused_key,
    refuse_unchecked_key,
)
from magnoliahold.core.systems.dispatch import choose_call_target
from magnoliahold.storage.interfaces import Condition, Write

if TYPE_CHECKING:
    from magnoliahold.core.calls import Call, Dispatch
    from magnoliahold.core.claims import Claim
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.storage.interfaces import Row, TransactionOutcome


def queue_claim(world: EntryWorld, call: Call, now: float) -> None:
    """Queues the claim of a new call, or refuses the call while the store is down.

    While the store fails, the one batch in flight serves as a probe.
    """
    call.claim = make_claim(call.request, now)
    call.state = CallState.CLAIMING
    if world.claims.failing and world.claims.batch_in_flight is not None:
        refuse_unchecked_key(world, call)
    else:
        world.claims.pending.append(call)


def requeue_claim(world: EntryWorld, call: Call, claim: Claim, now: float) -> None:
    """Queues a claim that overwrites a row whose nonce provably never ran."""
    call.state = CallState.CLAIMING
    call.target = None
    claim.row = None
    claim.queued_at = now
    claim.read_token = ""
    world.claims.pending.append(call)


def claim_keys(world: EntryWorld, now: float) -> None:
    """Handles the result of the transaction in flight and starts the next one."""
    for event in world.inbox.read_events(TransactionFinished):
        batch = world.claims.batch_in_flight
        if batch is not None and event.token in batch.tokens and event.outcome:
            _handle_batch_outcome(world, batch, event.outcome, now)
    for read in world.inbox.read_events(RowsRead):
        _handle_read(world, read, now)
    _refuse_overdue(world, now)
    _resend_batch(world, now)
    if world.claims.batch_in_flight is None and world.claims.pending:
        _start_batch(world, now)


def _handle_batch_outcome(
    world: EntryWorld, batch: ClaimBatch, outcome: TransactionOutcome, now: float
) -> None:
    world.claims.batch_in_flight = None
    world.claims.failing = False
    found = {row.key: row for row in outcome.conflicts}
    for key, call in batch.calls.items():
        if not _is_claiming(world, call) or call.claim is None:
            continue
        if outcome.committed:
            _complete_claim(call, call.claim, batch.rows[key], call.claim.version + 1)
        elif key in found:
            _handle_conflict(world, call, call.claim, batch, found[key], now)
        else:
            if not found:
                call.claim.version = 0
            world.claims.pending.appendleft(call)


def _handle_conflict(
    world: EntryWorld,
    call: Call,
    claim: Claim,
    batch: ClaimBatch,
    row: Row,
    now: float,
) -> None:
    """Handles a row that conflicts with a claim.

    A row with our own nonce shows that our transaction was committed and that only its
    answer was lost.
    """
    value = decode_claim(row.value)
    own_row = batch.rows[row.key]
    if value is not None and value.nonce == own_row.nonce:
        _complete_claim(call, claim, own_row, row.version)
        world.emit(CountMetric("claims_settled_by_nonce"))
    else:
        handle_existing_row(world, call, claim, row, now)


def _complete_claim(call: Call, claim: Claim, row: ClaimRow, version: int) -> None:
    claim.row = row
    claim.version = version
    call.state = CallState.READY


def handle_existing_row(
    world: EntryWorld, call: Call, claim: Claim, row: Row, now: float
) -> None:
    """Handles the row that another request with the same key has written."""
    value = decode_claim(row.value)
    if value is None:
        refuse_may_have_run(world, call, "the record of its key is damaged")
    elif value.digest != claim.digest:
        refuse_reused_key(world, call)
    elif value.state is ClaimState.ANSWERED:
        answer_from_row(world, call, value)
    elif value.state is ClaimState.LOST:
        refuse_may_have_run(world, call, "an earlier request with its key was lost")
    elif value.state is ClaimState.NOT_RUN or value.nonce in claim.fenced:
        claim.version = row.version
        requeue_claim(world, call, claim, now)
    else:
        _follow_row(world, call, claim, row, value, now)


def _follow_row(
    world: EntryWorld, call: Call, claim: Claim, row: Row, value: ClaimRow, now: float
) -> None:
    known = claim.row
    claim.rechecked = known is not None and known.nonce == value.nonce
    claim.version = row.version
    claim.row = value
    call.state = CallState.FOLLOWING
    if not claim.rechecked:
        claim.followed_at = now
        claim.read_token = ""
        claim.last_inquiry_at = None
        claim.inquiry_answered = False
        world.log_decision(
            "claims",
            "Key is already claimed; waiting for the outcome.",
            request=call.request.request_id,
            nonce=value.nonce,
            sidecar=value.sidecar,
        )


def read_claim_row(world: EntryWorld, call: Call, claim: Claim) -> None:
    """Requests the row of a key; the answer arrives as a RowsRead event."""
    claim.read_token = world.make_id("claim-read")
    world.emit(ReadRow(claim.read_token, CLAIMS_TABLE, claim.key))


def _handle_read(world: EntryWorld, read: RowsRead, now: float) -> None:
    for call in list(world.calls.by_request.values()):
        claim = call.claim
        if claim is None or claim.read_token != read.token or read.rows is None:
            continue
        if call.state is CallState.FOLLOWING and read.rows:
            handle_existing_row(world, call, claim, read.rows[0], now)
        elif call.state is CallState.CLAIMING:
            _handle_read_without_target(world, call, claim, read.rows, now)


def _handle_read_without_target(
    world: EntryWorld, call: Call, claim: Claim, rows: tuple[Row, ...], now: float
) -> None:
    """Refuses a call that has no live upstream, unless its key was used before."""
    value = decode_claim(rows[0].value) if rows else None
    unused = value is not None and (
        value.state is ClaimState.NOT_RUN or value.nonce in claim.fenced
    )
    if rows and not unused:
        handle_existing_row(world, call, claim, rows[0], now)
    else:
        if rows and value is not None:
            claim.version = rows[0].version
            claim.row = value
            record_outcome(world, call, ClaimState.NOT_RUN, now)
        refuse_not_run(world, call, "no upstream of the service is live")


def _is_claiming(world: EntryWorld, call: Call) -> bool:
    current = world.calls.by_request.get(call.request.request_id)
    return current is call and call.state is CallState.CLAIMING


def _refuse_overdue(world: EntryWorld, now: float) -> None:
    wait_limit_s = world.policy.claims.patience_s
    for call in world.calls.list_in_state(CallState.CLAIMING):
        if call.claim is not None and now - call.claim.queued_at >= wait_limit_s:
            refuse_unchecked_key(world, call)


def _resend_batch(world: EntryWorld, now: float) -> None:
    """Resends an unanswered batch, or abandons it when no call waits for it."""
    batch = world.claims.batch_in_flight
    if batch is None:
        return
    if not any(_is_claiming(world, call) for call in batch.calls.values()):
        world.claims.batch_in_flight = None
        world.claims.failing = True
        world.log_decision("claims", "Store does not answer.", keys=len(batch.calls))
    elif now - batch.sent_at >= world.policy.claims.resend_s * len(batch.tokens):
        _send_batch(world, batch, now)


def _start_batch(world: EntryWorld, now: float) -> None:
    """Starts a transaction with at most one claim for each pending key."""
    batch = ClaimBatch({}, {}, now)
    later = []
    pending = world.claims.pending
    while pending and len(batch.calls) < world.policy.claims.max_per_transaction:
        call = pending.popleft()
        claim = call.claim
        if claim is None or not _is_claiming(world, call):
            continue
        if claim.key in batch.calls:
            later.append(call)
        elif call.target is not None or choose_call_target(world, call, now):
            _add_to_batch(batch, call, claim)
        else:
            read_claim_row(world, call, claim)
    pending.extendleft(reversed(later))
    if batch.calls:
        world.claims.batch_in_flight = batch
        _send_batch(world, batch, now)


def _add_to_batch(batch: ClaimBatch, call: Call, claim: Claim) -> None:
    target = call.target
    if target is not None:
        batch.calls[claim.key] = call
        batch.rows[claim.key] = _make_row(target, claim)


def _make_row(target: Dispatch, claim: Claim) -> ClaimRow:
    return ClaimRow(
        state=ClaimState.CLAIMED,
        nonce=target.nonce,
        sidecar=target.sidecar,
        incarnation=target.incarnation,
        expires_at=target.expires_at,
        digest=claim.digest,
    )


def _send_batch(world: EntryWorld, batch: ClaimBatch, now: float) -> None:
    token = world.make_id("claims")
    batch.tokens.add(token)
    batch.sent_at = now
    conditions = []
    writes = []
    for key, call in batch.calls.items():
        if call.claim is not None:
            conditions.append(Condition(CLAIMS_TABLE, key, call.claim.version))
            writes.append(Write(CLAIMS_TABLE, key, encode_claim(batch.rows[key])))
    world.emit(Transact(token, tuple(conditions), tuple(writes)))
    world.emit(CountMetric("claim_transactions"))
