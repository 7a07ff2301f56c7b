"""Calls of plain services that an entry holds for its callers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from magnoliahold.core.events import CallArrived


class CallState(Enum):
    """Where a call stands.

    CLAIMING waits for the claim row, READY for an upstream, SENT for the answer and
    FENCING for the verdict of the sidecar it was sent to.
    """

    CLAIMING = "claiming"
    READY = "ready"
    SENT = "sent"
    FENCING = "fencing"


@define
class Call:
    """One caller's call; `nonce` names its only run at an upstream."""

    request: CallArrived
    nonce: str
    arrived_at: float
    repeatable: bool
    state: CallState = CallState.READY
    sidecar: str = ""
    sidecar_incarnation: str = ""
    sent_at: float = 0.0
    fence_at: float = 0.0
    attempts: int = 0
    excluded: set[str] = field(factory=set)


@define
class CallTable:
    """Calls by request id and by nonce."""

    by_request: dict[str, Call] = field(factory=dict)
    by_nonce: dict[str, Call] = field(factory=dict)

    def add_call(self, call: Call) -> None:
        """Adds a call under both keys."""
        self.by_request[call.request.request_id] = call
        self.by_nonce[call.nonce] = call

    def change_nonce(self, call: Call, nonce: str) -> None:
        """Gives a call that provably never ran a new nonce for another try."""
        self.by_nonce.pop(call.nonce, None)
        call.nonce = nonce
        self.by_nonce[nonce] = call

    def remove_call(self, call: Call) -> None:
        """Removes a call that has its final answer."""
        self.by_request.pop(call.request.request_id, None)
        self.by_nonce.pop(call.nonce, None)
