"""Effects that the world of a serving entry emits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from magnoliahold.core.serving.configuration import CallerLimits
    from magnoliahold.core.serving.feeds import Feed
    from magnoliahold.core.serving.moves import MoveRecord
    from magnoliahold.core.serving.peers import LoadNotice, PeerRecord
    from magnoliahold.core.serving.proofs import ConfigurationProof
    from magnoliahold.core.serving.requests import CopyReference
    from magnoliahold.core.serving.suspicions import QuarantineRecord
    from magnoliahold.core.serving.upstreams import UpstreamRecord


@frozen
class SendAttempt:
    """Sends a caller's request to an upstream.

    The upstream has `deadline_s` to answer. `fresh_connection` excludes connections
    that were idle for long, since the upstream may be about to close them, and
    `new_connection` all: the upstream has had the request before, and may send its
    earlier answer once more. `copy_to` is the address to which the upstream copies the
    KV cache of the request, `copy_source` the copy from which it resumes, and
    `resume_after` the number of the last piece that is not to be sent again. Only if it
    `takes_stream`, an answer of events is read as a stream of pieces.
    """

    attempt: int
    handle: int
    request_id: str
    upstream: UpstreamRecord
    workspace: str
    deadline_s: float
    connect_timeout_s: float
    priority: int
    takes_stream: bool
    fresh_connection: bool = False
    new_connection: bool = False
    resume_after: int | None = None
    copy_to: tuple[str, int] | None = None
    copy_source: CopyReference | None = None


@frozen
class CloseAttempt:
    """Closes an attempt that has failed, was cancelled or has ended regularly.

    Results that arrive later are ignored. The connection is reset unless the answer was
    received completely.
    """

    attempt: int


@frozen
class CopyKvCache:
    """Orders an upstream to copy the KV cache of a run to another upstream.

    KvCacheCopied or CopyFailed answers. A later order for the same run copies only what
    was added since the last one.
    """

    attempt: int
    run_id: str
    upstream: UpstreamRecord
    holder: UpstreamRecord
    timeout_s: float


@frozen
class FreeCopy:
    """Orders an upstream to free a copy that is no longer needed."""

    copy: CopyReference
    timeout_s: float


@frozen
class OpenAnswer:
    """Starts the caller's answer with the status and headers of an attempt's answer."""

    handle: int
    attempt: int


@frozen
class DeliverPieces:
    """Sends the caller the pieces of an attempt with numbers above `after`."""

    handle: int
    attempt: int
    after: int | None


@frozen
class DeliverRest:
    """Sends the caller what an attempt's stream had behind its last piece."""

    handle: int
    attempt: int


@frozen
class FinishAnswer:
    """Ends a caller's stream as complete.

    With `closing`, the caller's connection is closed afterwards.
    """

    handle: int
    closing: bool = False


@frozen
class DeliverAnswer:
    """Sends the caller the whole answer of an attempt, unchanged.

    With `closing`, the caller's connection is closed afterwards.
    """

    handle: int
    attempt: int
    closing: bool = False


@frozen
class RefuseCaller:
    """Answers the caller with a refusal made by this entry.

    `not_run` guarantees that no upstream has run the request or will run it. With
    `closing`, the caller's connection is closed afterwards.
    """

    handle: int
    status: int
    reason: str
    not_run: bool
    retry_after_s: float | None = None
    closing: bool = False


@frozen
class AbortAnswer:
    """Aborts a caller's answer, so that it doesn't look complete."""

    handle: int


@frozen
class ProbeServingUpstream:
    """Checks on a new connection whether an upstream responds."""

    upstream: UpstreamRecord
    timeout_s: float


@frozen
class ListPrompts:
    """Asks an upstream for the prompts in its prefix cache; PromptsListed answers."""

    upstream: UpstreamRecord
    timeout_s: float


@frozen
class ReadFeed:
    """Reads all rows of a followed table."""

    feed: Feed
    call: int
    timeout_s: float


@frozen
class LongPollFeed:
    """Reads the changes of a followed table since a version of the store.

    The store waits up to `wait_s` for a change.
    """

    feed: Feed
    call: int
    after: int
    wait_s: float
    timeout_s: float


@frozen
class SetCallerLimits:
    """Applies limits to new requests."""

    limits: CallerLimits


@frozen
class CloseListener:
    """Stops accepting connections."""


@frozen
class CloseIdleConnections:
    """Closes connections of callers that carry no request."""


@frozen
class RegisterEntry:
    """Writes this entry's registration to the store; EntryRegistered answers."""

    timeout_s: float


@frozen
class RemoveEntry:
    """Removes the registration of an entry if its row still has the given version.

    That version was read in `epoch` of the store; in another one nothing is sent.
    Without a version the row is removed in any case.
    """

    name: str
    row_version: int | None
    timeout_s: float
    epoch: int | None = None


@frozen
class WriteMove:
    """Writes a step of a move if its row still has `expected_version`, 0 for no row.

    That version was read in `epoch` of the store; in another one nothing is sent.
    MoveWritten answers.
    """

    record: MoveRecord
    expected_version: int
    timeout_s: float
    epoch: int | None = None


@frozen
class WriteQuarantine:
    """Writes a quarantine to the store, for entries that start later."""

    record: QuarantineRecord
    timeout_s: float


@frozen
class SendProofs:
    """Sends each entry its proof of the newest configuration, without a guarantee."""

    messages: tuple[tuple[PeerRecord, ConfigurationProof], ...]


@frozen
class SendNotice:
    """Sends a notice to other entries without a guarantee of delivery."""

    peers: tuple[PeerRecord, ...]
    notice: LoadNotice
