"""Messages about the token streams of generations."""

from __future__ import annotations

from attrs import frozen


@frozen
class StartStream:
    """Asks a sidecar to generate a stream, or to continue one from its prefix.

    `max_tokens` includes the prefix. `window` is how many tokens the sidecar may
    send beyond the last acknowledged offset. `move` names the move between versions
    that the work is part of, if any.
    """

    lineage: str
    attempt: int
    owner_epoch: int
    workspace: str
    work: str
    version: str
    prompt: str
    prefix: tuple[str, ...]
    max_tokens: int
    priority: int
    fingerprint: str
    suspect: bool
    window: int
    route: str = ""
    move: str = ""
    resumable: bool = True


@frozen
class StreamTokens:
    """Output tokens of one attempt; the last message has the finish reason in `end`."""

    lineage: str
    attempt: int
    offset: int
    tokens: tuple[str, ...]
    end: str = ""


@frozen
class TokenBundle:
    """Tokens of several streams in one message, in the order of sending.

    Only links use it: they bundle on sending and split the bundle on receipt.
    """

    items: tuple[StreamTokens, ...]


@frozen
class StreamFailed:
    """Reports that an attempt ended before its last token.

    `reason` is one of "engine_died", "engine_silent", "refused", "version_missing",
    "leaving", "fenced", "unknown", "expired" or "broken".
    """

    lineage: str
    attempt: int
    reason: str


@frozen
class AckTokens:
    """Acknowledges the tokens before `offset`; `resend` asks for the rest again."""

    lineage: str
    attempt: int
    offset: int
    resend: bool = False


@frozen
class CancelStream:
    """Cancels an attempt whose output is no longer needed.

    With `keep_s` the stream is paused instead, and kept that long for a TakeStream.
    """

    lineage: str
    attempt: int
    owner_epoch: int = 0
    keep_s: float = 0.0


@frozen
class TakeStream:
    """Makes the sender the owner of a stream whose previous entry failed.

    It is refused if `fingerprint` is not that of the stream's request.
    """

    lineage: str
    request_id: str
    fingerprint: str


@frozen
class StreamTaken:
    """Replies to TakeStream with the whole output so far, or with found=False."""

    lineage: str
    request_id: str
    found: bool
    attempt: int = 0
    owner_epoch: int = 0
    version: str = ""
    tokens: tuple[str, ...] = ()
    end: str = ""
