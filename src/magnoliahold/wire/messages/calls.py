"""Calls of plain services."""

from __future__ import annotations

from attrs import frozen


@frozen
class StartCall:
    """Asks a sidecar to run one call of a plain service, once.

    After `expires_at`, on the receiver's clock, the call must not be started any more.
    """

    nonce: str
    workspace: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    fingerprint: str = ""
    route: str = ""
    expires_at: float = 0.0
    suspect: bool = False


@frozen
class CallAnswered:
    """The upstream's answer to a call."""

    nonce: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class CallFailed:
    """A call without an answer; `not_run` is true only when it never ran."""

    nonce: str
    not_run: bool
    reason: str


@frozen
class FenceCall:
    """Asks a sidecar to make sure that a call which has not started never runs.

    `expires_at` is that of the call's StartCall. The sender is told the outcome of a
    call that runs already.
    """

    nonce: str
    expires_at: float = 0.0


@frozen
class CallVerdict:
    """State of a call after FenceCall.

    `verdict` is "fenced", "running", "answered", "lost" or "forgotten"; the last means
    that the call may have run so long ago that no record of it is left.
    An "answered" verdict is followed by CallAnswered when the answer is still kept.
    """

    nonce: str
    verdict: str
