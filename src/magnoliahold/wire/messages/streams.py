"""Streams of generations."""

from __future__ import annotations

from attrs import frozen


@frozen
class StartStream:
    """Asks a sidecar to generate a stream, or to continue one from its prefix.

    `max_tokens` counts the prefix too. `window` is how many tokens the sidecar may
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
    """Output tokens of one attempt; `end` names the reason on the last message."""

    lineage: str
    attempt: int
    offset: int
    tokens: tuple[str, ...]
    end: str = ""


@frozen
class TokenBundle:
    """Tokens of several streams in one message of a link, in the order of sending.

    Links bundle and unbundle; no other part sees one.
    """

    items: tuple[StreamTokens, ...]


@frozen
class StreamFailed:
    """An attempt ended before its last token.

    `reason` is one of "engine_died", "engine_silent", "refused", "version_missing",
    "leaving", "fenced", "unknown", "expired" or "broken".
    """

    lineage: str
    attempt: int
    reason: str


@frozen
class AckTokens:
    """Acknowledges tokens up to `offset`; `resend` asks for those from it again."""

    lineage: str
    attempt: int
    offset: int
    resend: bool = False


@frozen
class CancelStream:
    """Ends an attempt whose output is no longer wanted.

    With `keep_s` the stream is paused instead and kept so long for a TakeStream.
    """

    lineage: str
    attempt: int
    owner_epoch: int = 0
    keep_s: float = 0.0


@frozen
class TakeStream:
    """Makes the sender the owner of a stream after its former entry was lost.

    It is refused when `fingerprint` is not that of the stream's request.
    """

    lineage: str
    request_id: str
    fingerprint: str


@frozen
class StreamTaken:
    """Answers TakeStream with the whole output so far, or with found=False."""

    lineage: str
    request_id: str
    found: bool
    attempt: int = 0
    owner_epoch: int = 0
    version: str = ""
    tokens: tuple[str, ...] = ()
    end: str = ""
