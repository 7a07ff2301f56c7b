"""Calls of plain services that an entry makes for its callers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from magnoliahold.core.claims import Claim
    from magnoliahold.core.events import CallArrived


INITIAL_RETRY_TOKENS = 5.0


class CallState(Enum):
    """State of a call.

    CLAIMING waits for its claim to be stored, FOLLOWING for the outcome of another
    call with the same idempotency key, READY for an upstream and SENT for an answer.
    """

    CLAIMING = "claiming"
    FOLLOWING = "following"
    READY = "ready"
    SENT = "sent"


@define
class Dispatch:
    """One run of a call that was, or is to be, sent to a sidecar.

    `expires_at` is on the sidecar's clock; the call must not start after it. `lost`
    means that the call may have run and that no answer will come. `retried` is set
    once the call is retried because this dispatch has had no answer in time.
    """

    nonce: str
    sidecar: str
    incarnation: str
    expires_at: float
    sent_at: float = 0.0
    last_inquiry_at: float = 0.0
    last_received_at: float = 0.0
    lost: bool = False
    retried: bool = False


@define
class Call:
    """One call of a caller.

    `target` is the next dispatch to send. `in_flight` holds, by nonce, the dispatches
    that were sent and may have run, including lost ones. Times are on this process's
    clock.
    """

    request: CallArrived
    arrived_at: float
    repeatable: bool
    state: CallState = CallState.READY
    target: Dispatch | None = None
    in_flight: dict[str, Dispatch] = field(factory=dict)
    attempts: int = 0
    excluded_sidecars: set[str] = field(factory=set)
    claim: Claim | None = None
    suspect: bool = False


@define
class CallTable:
    """Calls by request id and by the nonces of their dispatches.

    `retry_tokens` is the current level of the retry budget.
    """

    by_request: dict[str, Call] = field(factory=dict)
    by_nonce: dict[str, Call] = field(factory=dict)
    retry_tokens: float = INITIAL_RETRY_TOKENS

    def add_call(self, call: Call) -> None:
        """Adds a call that has arrived."""
        self.by_request[call.request.request_id] = call

    def open_dispatch(self, call: Call, dispatch: Dispatch) -> None:
        """Records that a dispatch is sent to its sidecar."""
        call.in_flight[dispatch.nonce] = dispatch
        self.by_nonce[dispatch.nonce] = call

    def close_dispatch(self, call: Call, nonce: str) -> None:
        """Removes a dispatch that provably never ran and never will."""
        del call.in_flight[nonce]
        del self.by_nonce[nonce]

    def remove_call(self, call: Call) -> None:
        """Removes a call that has its final answer."""
        self.by_request.pop(call.request.request_id, None)
        for nonce in call.in_flight:
            del self.by_nonce[nonce]

    def list_in_state(self, state: CallState) -> list[Call]:
        """Lists the calls in one state in order of arrival."""
        return [call for call in self.by_request.values() if call.state is state]

    def add_retry_tokens(self, amount: float, limit: float) -> None:
        """Adds to the retry budget."""
        self.retry_tokens = min(limit, self.retry_tokens + amount)

    def consume_retry_token(self) -> bool:
        """Consumes one retry token; returns false when the budget is used up."""
        if self.retry_tokens < 1.0:
            return False
        self.retry_tokens -= 1.0
        return True
