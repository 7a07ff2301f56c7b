"""Messages about calls to plain services."""

from __future__ import annotations

from attrs import frozen


@frozen
class StartCall:
    """Asks a sidecar to run one call to a plain service, once.

    The call must not be started after `expires_at`, a time on the receiver's clock.
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
    """The upstream's response to a call."""

    nonce: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class CallFailed:
    """A call that got no response; `not_run` is true only if it never ran."""

    nonce: str
    not_run: bool
    reason: str


@frozen
class FenceCall:
    """Asks a sidecar to prevent a call that has not started from ever running.

    `expires_at` is that of the call's StartCall. If the call is already running, the
    sender gets its outcome.
    """

    nonce: str
    expires_at: float = 0.0


@frozen
class CallVerdict:
    """Reports the state of a call in reply to FenceCall.

    `verdict` is "fenced", "running", "answered", "lost" or "forgotten"; the last means
    that the call may have run so long ago that no record of it is left.
    An "answered" verdict is followed by CallAnswered if the response is still stored.
    """

    nonce: str
    verdict: str
