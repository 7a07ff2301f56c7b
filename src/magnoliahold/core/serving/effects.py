"""Output of a serving entry's world."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from magnoliahold.core.serving.configuration import CallerLimits
    from magnoliahold.core.serving.feeds import Feed
    from magnoliahold.core.serving.moves import MoveRecord
    from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
    from magnoliahold.core.serving.requests import CopyName
    from magnoliahold.core.serving.suspicions import QuarantineRecord
    from magnoliahold.core.serving.upstreams import UpstreamRecord


@frozen
class SendAttempt:
    """Sends a caller's request to an upstream.

    The upstream has `deadline_s` for it. `fresh_connection` keeps it off connections
    that were used before. `copy_to` is where the upstream copies its memory of the
    request to, `resume_after` the number of the last piece that is not wanted again.
    """

    attempt: int
    handle: int
    upstream: UpstreamRecord
    workspace: str
    deadline_s: float
    connect_timeout_s: float
    priority: int
    fresh_connection: bool = False
    resume_after: int | None = None
    copy_to: tuple[str, int] | None = None
    copy_source: CopyName | None = None


@frozen
class AbortAttempt:
    """Closes the connection of an attempt; what comes of it is ignored."""

    attempt: int


@frozen
class CopyKvCache:
    """Has an upstream copy its memory of a run to another; MemoryCopied answers.

    A later order for the same run copies only what is new.
    """

    attempt: int
    run_id: str
    upstream: UpstreamRecord
    holder: UpstreamRecord
    timeout_s: float


@frozen
class FreeCopy:
    """Has an upstream free a copy that was ordered and isn't needed any more."""

    copy: CopyName
    timeout_s: float


@frozen
class OpenAnswer:
    """Starts the caller's answer with the head that an attempt's answer has."""

    handle: int
    attempt: int


@frozen
class DeliverPieces:
    """Gives the caller the pieces of an attempt numbered above `after`."""

    handle: int
    attempt: int
    after: int | None


@frozen
class FinishAnswer:
    """Ends a caller's stream as complete."""

    handle: int
    closing: bool = False


@frozen
class DeliverAnswer:
    """Gives the caller the whole answer of an attempt, unchanged."""

    handle: int
    attempt: int
    closing: bool = False


@frozen
class RefuseCaller:
    """Gives the caller an answer of our own.

    `not_run` promises that no upstream has run the request or will.
    """

    handle: int
    status: int
    reason: str
    not_run: bool
    retry_after_s: float | None = None
    closing: bool = False


@frozen
class AbortAnswer:
    """Breaks a caller's answer off, so that it doesn't look complete."""

    handle: int


@frozen
class ProbeServingUpstream:
    """Asks an upstream for a sign of life on a new connection."""

    upstream: UpstreamRecord
    timeout_s: float


@frozen
class ListPrompts:
    """Asks an upstream which prompts it keeps; PromptsListed answers."""

    upstream: UpstreamRecord
    timeout_s: float


@frozen
class ReadFeed:
    """Reads a followed table whole."""

    feed: Feed
    call: int
    timeout_s: float


@frozen
class LongPollFeed:
    """Waits up to `wait_s` for changes after a version of the store."""

    feed: Feed
    call: int
    after: int
    wait_s: float
    timeout_s: float


@frozen
class SetCallerLimits:
    """Has new requests kept within limits."""

    limits: CallerLimits


@frozen
class CloseListener:
    """Accepts no further connections and closes idle ones."""


@frozen
class CloseIdleConnections:
    """Closes connections of callers that carry no request."""


@frozen
class RegisterEntry:
    """Writes this entry's registration to the store; EntryRegistered answers."""

    timeout_s: float


@frozen
class RemoveEntry:
    """Removes a registration, if the row still has the version.

    Without a version it is removed in any case.
    """

    name: str
    row_version: int | None
    timeout_s: float


@frozen
class WriteMove:
    """Writes a step of a move if its row still has `expected_version`, 0 for none.

    MoveWritten answers.
    """

    record: MoveRecord
    expected_version: int
    timeout_s: float


@frozen
class WriteQuarantine:
    """Keeps a quarantine in the store, for entries that start later."""

    record: QuarantineRecord
    timeout_s: float


@frozen
class SendNotice:
    """Sends a notice to other entries; it may be lost."""

    peers: tuple[PeerRecord, ...]
    notice: LoadNotice
