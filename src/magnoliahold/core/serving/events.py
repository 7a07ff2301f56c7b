"""Input of a serving entry's world."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from magnoliahold.core.serving.feeds import Feed, FeedRow
    from magnoliahold.core.serving.moves import MoveRecord
    from magnoliahold.core.serving.peers import LoadNotice
    from magnoliahold.core.serving.requests import CallerRequest, CopyName


@frozen
class RequestArrived:
    """A caller's request was read whole."""

    caller: CallerRequest


@frozen
class CallerDisconnected:
    """A caller closed its connection before its answer was complete."""

    handle: int


@frozen
class AttemptSent:
    """The request was handed to a connection: from now on it may run."""

    attempt: int


@frozen
class AttemptNotSent:
    """No byte of the request left this process."""

    attempt: int
    reason: str


@frozen
class AnswerHead:
    """What the head of an upstream's answer says.

    `request_id` is that of the request it answers, empty when it names none. `not_run`
    says that the upstream has not run the request, `misdirected` that another upstream
    has the address, and `signed` that an upstream made the answer.
    """

    status: int
    request_id: str = ""
    signed: bool = False
    not_run: bool = False
    misdirected: bool = False


@frozen
class AnswerReceived:
    """An answer came whole."""

    attempt: int
    head: AnswerHead


@frozen
class StreamOpened:
    """A successful answer began that consists of numbered pieces."""

    attempt: int
    head: AnswerHead


@frozen
class PiecesReceived:
    """Whole pieces of a stream came; `last` is the highest number."""

    attempt: int
    last: int
    count: int


@frozen
class StreamEnded:
    """A stream came to its proper end."""

    attempt: int


@frozen
class AttemptInterrupted:
    """A connection ended, or carried something else than an answer.

    `reset` tells that the upstream or its host cut it.
    """

    attempt: int
    reason: str
    reset: bool = False


@frozen
class UpstreamAnsweredProbe:
    """An upstream answered on a connection of its own."""

    upstream_id: str
    born_ms: int


@frozen
class UpstreamFailedProbe:
    """An upstream did not answer a probe in time, or refused the connection."""

    upstream_id: str
    born_ms: int
    reason: str


@frozen
class KvCacheCopied:
    """A copy that was ordered is made; `copy` is its name."""

    attempt: int
    holder_id: str
    copy: CopyName


@frozen
class CopyFailed:
    """A copy that was ordered could not be made."""

    attempt: int
    holder_id: str
    reason: str


@frozen
class PromptsListed:
    """An upstream told which parts of prompts it keeps, by their ids."""

    upstream_id: str
    parts: tuple[str, ...]


@frozen
class PromptListFailed:
    """An upstream did not tell which prompts it keeps."""

    upstream_id: str
    reason: str


@frozen
class FeedRead:
    """All rows of a followed table as of `version` of the store.

    `sent_at` is when the read was sent, on the boot clock, and `store_time` the store's
    own clock as it answered, in seconds.
    """

    feed: Feed
    call: int
    rows: tuple[FeedRow, ...]
    version: int
    sent_at: float
    store_time: float | None = None


@frozen
class FeedChanged:
    """The rows that changed since the version that was asked for; maybe none."""

    feed: Feed
    call: int
    rows: tuple[FeedRow, ...]
    version: int
    sent_at: float
    store_time: float | None = None


@frozen
class FeedHistoryGone:
    """The store has dropped the history that a feed was to go on from."""

    feed: Feed
    call: int


@frozen
class FeedFailed:
    """A read of the store failed or was refused."""

    feed: Feed
    call: int
    reason: str


@frozen
class MoveWritten:
    """The store has taken a step of a move, or `row_version` is 0."""

    record: MoveRecord
    row_version: int
    reason: str = ""


@frozen
class NoticeReceived:
    """Another entry told its load."""

    notice: LoadNotice


@frozen
class EntryRegistered:
    """The store has taken this entry's registration, or has not."""

    done: bool
    reason: str = ""
