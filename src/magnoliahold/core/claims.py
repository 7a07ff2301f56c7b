"""Claims of idempotency keys: rows in the table service and batched writes."""

from __future__ import annotations

from collections import deque
from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec
from attrs import define, evolve, field, frozen

from magnoliahold.decoding import decode_or_none

if TYPE_CHECKING:
    from magnoliahold.core.calls import Call
    from magnoliahold.core.events import CallArrived

CLAIMS_TABLE = "claims"
DIGEST_BYTES = 16


class ClaimState(Enum):
    """State of the call whose nonce a claim row holds.

    CLAIMED: it may run. ANSWERED: it ran, and its result is recorded. NOT_RUN: it never
    ran and never will. LOST: it may have run, and its answer is not known.
    """

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    LOST = "lost"


@frozen
class ClaimRow:
    """Value of the row of one idempotency key.

    `expires_at` is on the sidecar's clock: the call never starts after it. `digest`
    identifies the claimed request. `body` is None when the result is too large to keep.
    """

    state: ClaimState
    nonce: str
    sidecar: str
    incarnation: str
    expires_at: float
    digest: bytes
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@define
class Claim:
    """Progress of one call in claiming its idempotency key.

    `queued_at` is when it was last queued for a transaction. `version` is the row
    version that the next write expects. `row` is the call's own row once it is
    committed, or the row of another call whose outcome it awaits; `rechecked` is set
    when that row was read again and holds the same nonce. `fenced` holds nonces that
    will never run.
    """

    key: str
    digest: bytes
    queued_at: float
    version: int = 0
    row: ClaimRow | None = None
    owned: bool = False
    read_token: str = ""
    followed_at: float = 0.0
    last_inquiry_at: float | None = None
    inquiry_answered: bool = False
    rechecked: bool = False
    fenced: set[str] = field(factory=set)


@define
class ClaimBatch:
    """Claims of one transaction; `rows` holds the row values by key.

    A transaction without an answer is sent again; a conflict with a row that holds our
    own nonce shows that an earlier attempt was committed. `tokens` identifies all
    attempts.
    """

    calls: dict[str, Call]
    rows: dict[str, ClaimRow]
    sent_at: float
    tokens: set[str] = field(factory=set)


@define
class ResultWrite:
    """A result to be written over a claim row, if it still has `version`."""

    key: str
    version: int
    row: ClaimRow
    since: float


@define
class ResultBatch:
    """Results of one transaction."""

    token: str
    sent_at: float
    results: dict[str, ResultWrite]


@define
class ClaimTable:
    """Claims that wait for a transaction, and the transactions in flight.

    `failing` is set while the table service does not answer.
    """

    pending: deque[Call] = field(factory=deque)
    batch_in_flight: ClaimBatch | None = None
    failing: bool = False
    results: dict[str, ResultWrite] = field(factory=dict)
    results_in_flight: ResultBatch | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ClaimRow)


def encode_claim(row: ClaimRow) -> bytes:
    """Encodes the value of a claim row."""
    return _encoder.encode(row)


def decode_claim(value: bytes) -> ClaimRow | None:
    """Decodes the value of a claim row, or returns None when it is malformed."""
    return decode_or_none(_decoder.decode, value)


def make_claim(request: CallArrived, now: float) -> Claim:
    """Builds the claim of a request's idempotency key."""
    key = f"{request.workspace}/{request.idempotency_key}"
    return Claim(key, digest_request(request), queued_at=now)


def digest_request(request: CallArrived) -> bytes:
    """Computes a digest of what must be equal in all requests with the same key."""
    parts = (request.service, request.method, request.path, request.body)
    return blake2b(_encoder.encode(parts), digest_size=DIGEST_BYTES).digest()


def make_result_row(
    row: ClaimRow,
    state: ClaimState,
    status: int = 0,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes | None = None,
) -> ClaimRow:
    """Builds the row that records the outcome of a claim."""
    return evolve(row, state=state, status=status, headers=headers, body=body)
