"""Events that the world of a serving entry receives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from magnoliahold.core.serving.feeds import Feed, FeedRow
    from magnoliahold.core.serving.moves import MoveRecord
    from magnoliahold.core.serving.peers import LoadNotice
    from magnoliahold.core.serving.proofs import ConfigurationProof
    from magnoliahold.core.serving.requests import CallerRequest, CopyReference


@frozen
class RequestArrived:
    """A caller's request was received completely."""

    caller: CallerRequest


@frozen
class CallerDisconnected:
    """A caller closed its connection before its answer was complete."""

    handle: int


@frozen
class CallerHalfClosed:
    """A caller closed its writing side behind its request; it may still read.

    That can't be told from a caller that has closed its connection altogether.
    """

    handle: int


@frozen
class AttemptSent:
    """The request was passed to a connection: from now on it may run."""

    attempt: int


@frozen
class AttemptNotSent:
    """An attempt failed before any byte of the request was sent.

    `silent` is set if the upstream's host didn't answer in time.
    """

    attempt: int
    reason: str
    silent: bool = False


@frozen
class AnswerHead:
    """Information from the status and headers of an upstream's answer.

    `request_id` is the id of the request that is answered, empty if the answer names
    none. `signed` is set if the answer has an upstream's signature, `not_run` if the
    upstream has not run the request, `misdirected` if another upstream has the address,
    and `names_limit` if it names a limit, whether that can be read or not.
    """

    status: int
    request_id: str = ""
    signed: bool = False
    not_run: bool = False
    misdirected: bool = False
    names_limit: bool = False


@frozen
class AnswerReceived:
    """An answer was received completely."""

    attempt: int
    head: AnswerHead


@frozen
class StreamOpened:
    """A successful answer that consists of numbered pieces has begun."""

    attempt: int
    head: AnswerHead


@frozen
class PiecesReceived:
    """Complete pieces of a stream were received; `last` is the highest number."""

    attempt: int
    last: int
    count: int


@frozen
class ReadingChanged:
    """Reading of a stream was paused because its caller is slow, or has resumed."""

    attempt: int
    paused: bool


@frozen
class StreamEnded:
    """A stream was received up to its regular end.

    It `has_rest` if something came behind its last piece.
    """

    attempt: int
    has_rest: bool = False


@frozen
class AttemptInterrupted:
    """An attempt's answer was cut short, or can't be used.

    `reset` is set if the connection ended before the answer was complete, and not set
    if the content of the answer was rejected.
    """

    attempt: int
    reason: str
    reset: bool = False


@frozen
class UpstreamAnsweredProbe:
    """An upstream answered a probe, which is sent on a new connection."""

    upstream_id: str
    born_ms: int


@frozen
class UpstreamFailedProbe:
    """An upstream did not answer a probe in time, or refused the connection.

    `silent` is set if it didn't answer in time.
    """

    upstream_id: str
    born_ms: int
    reason: str
    silent: bool = False


@frozen
class UpstreamSignalled:
    """An answer of an upstream said that it is leaving, or wants fewer requests.

    `backoff_s` is how long it wants none from this entry, and `limit_per_s` how many a
    second it takes from all entries together; each is None if it did not ask for that.
    """

    upstream_id: str
    born_ms: int
    leaving: bool = False
    backoff_s: float | None = None
    limit_per_s: float | None = None


@frozen
class KvCacheCopied:
    """A copy that was ordered is complete; `copy` refers to it."""

    attempt: int
    holder_id: str
    copy: CopyReference


@frozen
class CopyFailed:
    """A copy that was ordered could not be made."""

    attempt: int
    holder_id: str
    reason: str


@frozen
class PromptsListed:
    """An upstream listed the parts of prompts in its prefix cache, by their ids."""

    upstream_id: str
    parts: tuple[str, ...]


@frozen
class PromptListFailed:
    """An upstream did not list the prompts in its prefix cache."""

    upstream_id: str
    reason: str


@frozen
class FeedRead:
    """All rows of a followed table as of `version` of the store.

    `epoch` is the store's epoch that the answer named, here and in the other results of
    calls to the store; None if it named none, or if there was no answer. `sent_at` is
    when the read was sent, on the boot clock, and `store_time` the time of the store's
    clock when it answered, in seconds. `left_out` holds the keys of rows that are
    listed but can't be read.
    """

    feed: Feed
    call: int
    rows: tuple[FeedRow, ...]
    version: int
    sent_at: float
    store_time: float | None = None
    epoch: int | None = None
    left_out: frozenset[str] = frozenset()


@frozen
class FeedChanged:
    """The rows that changed after the requested version, possibly none."""

    feed: Feed
    call: int
    rows: tuple[FeedRow, ...]
    version: int
    sent_at: float
    store_time: float | None = None
    epoch: int | None = None


@frozen
class FeedHistoryGone:
    """The store has discarded the history from which a feed was to continue."""

    feed: Feed
    call: int
    epoch: int | None = None


@frozen
class FeedFailed:
    """A read of the store failed or was refused."""

    feed: Feed
    call: int
    reason: str
    epoch: int | None = None


@frozen
class MoveWritten:
    """The result of writing a step of a move; `row_version` is 0 if it failed."""

    record: MoveRecord
    row_version: int
    reason: str = ""
    epoch: int | None = None


@frozen
class NoticeEncoded:
    """A notice was sent; its encoding has `size_bytes`."""

    size_bytes: int


@frozen
class NoticeReceived:
    """A notice of another entry was received."""

    notice: LoadNotice


@frozen
class ProofReceived:
    """A proof of the newest configuration was received from another entry."""

    proof: ConfigurationProof


@frozen
class EntryRegistered:
    """The result of writing this entry's registration to the store."""

    done: bool
    reason: str = ""
    epoch: int | None = None
