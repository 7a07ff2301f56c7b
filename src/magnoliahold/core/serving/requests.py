"""Requests that an entry holds for its callers, and their attempts at upstreams."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from magnoliahold.core.load.pace import GapSampler
from magnoliahold.core.serving.suspicions import find_suspects

if TYPE_CHECKING:
    from magnoliahold.core.serving.configuration import Route
    from magnoliahold.core.serving.upstreams import Upstream


@frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@frozen
class CallerRequest:
    """The parts of a caller's request that decisions depend on.

    `handle` identifies the caller's open exchange in this process, and `request_id` the
    request across all processes. `timeout_s` is how long the caller waits, None if it
    sent no limit. `resume_after` is the number of the last piece that the caller
    already has. `fingerprint` is a hash of what the caller sent and of its credential;
    it is the same if the caller sends the request again.
    """

    handle: int
    request_id: str
    method: str
    host: str
    path: str
    credential: str | None
    timeout_s: float | None = None
    resume_after: int | None = None
    prompt: tuple[PromptPart, ...] = ()
    fingerprint: str = ""


class RequestState(Enum):
    """WAITING for an upstream, RUNNING at one, or ENDED with a final answer."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class AttemptState(Enum):
    """The progress of an attempt; before SENT it can't have run."""

    CONNECTING = "connecting"
    SENT = "sent"
    STREAMING = "streaming"
    ENDED = "ended"


@frozen
class CopyReference:
    """Identifies a copy to upstreams: an upstream's address, and a key valid there.

    For an ordered copy, that is the upstream which made it, otherwise the holder.
    """

    address: str
    port: int
    key: str


@frozen
class KvCacheCopy:
    """A copy of a stream's KV cache, and the upstream that holds it."""

    holder: Upstream
    reference: CopyReference


@define
class CopyOrder:
    """Copies that are ordered one at a time, after a stream lost its copy's holder.

    `reference` refers to the last complete copy, None before the first;
    `ordered_at` is on the process clock.
    """

    ordered_at: float
    in_progress: bool = True
    reference: CopyReference | None = None


@define(eq=False)
class Attempt:
    """One attempt to run a request at one upstream.

    `copy_holder` gets a copy of the KV cache while the attempt runs. The upstream makes
    the copy by itself; once the first holder is lost, copies are ordered, and
    `copy_order` is the state of the orders. `resumed_from` is the copy from which this
    attempt resumes. `begun` is set once it is recorded that its upstream has lived on
    after the first piece. `upstream_suspected` is set once its silence has made the
    upstream suspected. `paused_at` is when reading was paused because the caller is
    slow, None while it goes on, and `paused_s` how long earlier pauses took. Times are
    on the process clock.
    """

    number: int
    request: ServedRequest
    upstream: Upstream
    started_at: float
    copy_holder: Upstream | None = None
    copy_order: CopyOrder | None = None
    resumed_from: KvCacheCopy | None = None
    state: AttemptState = AttemptState.CONNECTING
    sent_at: float | None = None
    last_received_at: float = 0.0
    first_piece_at: float | None = None
    last_piece_at: float | None = None
    pieces: int = 0
    paused_at: float | None = None
    paused_s: float = 0.0
    begun: bool = False
    upstream_suspected: bool = False
    gap_sampler: GapSampler = field(factory=GapSampler)


@define(eq=False)
class ServedRequest:
    """A request from its arrival to its final answer.

    `may_have_run` is set once an attempt has ended that may have run. `send_count` is
    the number of attempts that were sent to upstreams, of which `misdirected`
    reached another one with its address, and `rejected` were not run by the chosen one.
    `answer_started` is set once the head of the answer was sent to the caller, and
    `last_piece` is the number of the last piece sent. `first_piece_late` is set once
    the request left an upstream because its first piece took too long.
    `last_failure_at` is when the last attempt failed, 0 if none has. `met_silence` is
    set once it has lost time at an address where nothing answered.
    `prefers_new_version` tells whether the request goes to the version that its
    service moves to; it is None until a version is chosen. While
    `awaiting_lookup` is set, the request waits to learn which upstream has its prompt
    in its prefix cache. `left_lost_upstream` is set once it left an upstream that was
    lost for one that was silent. `held_at` is when it last waited for room, 0 if it
    never did. `prompt_tokens` is the number of tokens of the prompt, and `suspects`
    what the request may have in common with others that crash upstreams.
    """

    caller: CallerRequest
    route: Route
    service: str
    workspace: str
    priority: int
    arrived_at: float
    deadline_at: float
    state: RequestState = RequestState.WAITING
    attempt: Attempt | None = None
    send_count: int = 0
    misdirected: int = 0
    rejected: int = 0
    tried_upstreams: set[str] = field(factory=set)
    may_have_run: bool = False
    answer_started: bool = False
    last_piece: int | None = None
    copy: KvCacheCopy | None = None
    last_failure_at: float = 0.0
    met_silence: bool = False
    failure_reason: str = ""
    first_piece_late: bool = False
    awaiting_lookup: bool = False
    prefers_new_version: bool | None = None
    left_lost_upstream: bool = False
    held_at: float = 0.0
    prompt_tokens: int = field(init=False)
    suspects: frozenset[str] = field(init=False)

    @prompt_tokens.default
    def _count_prompt_tokens(self) -> int:
        return sum(part.tokens for part in self.caller.prompt)

    @suspects.default
    def _find_suspects(self) -> frozenset[str]:
        return find_suspects(self.caller)

    @property
    def handle(self) -> int:
        """The handle of the caller's open exchange."""
        return self.caller.handle

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.caller.request_id

    def has_used_attempts(self) -> bool:
        """Tells whether it was sent to as many upstreams as its route allows."""
        return self.send_count - self.misdirected >= self.route.max_attempts

    def may_reach(self, upstream: Upstream) -> bool:
        """Tells whether its attempts allow that it is sent to an upstream.

        Once they are used, it only returns to those that it was meant for.
        """
        return not self.has_used_attempts() or upstream.id in self.tried_upstreams


@define
class RequestTable:
    """Open requests by handle and running attempts by number.

    `half_closed` are the requests whose callers have closed their writing side.
    """

    by_handle: dict[int, ServedRequest] = field(factory=dict)
    waiting: dict[int, ServedRequest] = field(factory=dict)
    half_closed: dict[int, ServedRequest] = field(factory=dict)
    attempts: dict[int, Attempt] = field(factory=dict)
    next_attempt: int = 1

    def add(self, request: ServedRequest) -> None:
        """Adds a request that waits for its first upstream."""
        self.by_handle[request.handle] = request
        self.waiting[request.handle] = request

    def start_attempt(self, attempt: Attempt) -> None:
        """Adds a new attempt of a waiting request."""
        request = attempt.request
        request.attempt = attempt
        request.state = RequestState.RUNNING
        self.waiting.pop(request.handle, None)
        self.attempts[attempt.number] = attempt
        attempt.upstream.attempts[attempt.number] = attempt
        if attempt.copy_holder is not None:
            attempt.copy_holder.adjust_copies(1, request.prompt_tokens)

    def set_copy_holder(self, attempt: Attempt, holder: Upstream | None) -> None:
        """Sets the upstream that holds the copy of an attempt's KV cache, or None."""
        tokens = attempt.request.prompt_tokens
        if attempt.copy_holder is not None:
            attempt.copy_holder.adjust_copies(-1, -tokens)
        if holder is not None:
            holder.adjust_copies(1, tokens)
        attempt.copy_holder = holder

    def end_attempt(self, attempt: Attempt) -> None:
        """Ends an attempt and removes it from its upstream."""
        attempt.state = AttemptState.ENDED
        attempt.request.attempt = None
        self.attempts.pop(attempt.number, None)
        attempt.upstream.attempts.pop(attempt.number, None)
        self.set_copy_holder(attempt, None)

    def requeue(self, request: ServedRequest) -> None:
        """Adds a request to those that wait for an upstream again."""
        request.state = RequestState.WAITING
        self.waiting[request.handle] = request

    def end(self, request: ServedRequest) -> None:
        """Removes a request that has its final answer."""
        request.state = RequestState.ENDED
        self.by_handle.pop(request.handle, None)
        self.waiting.pop(request.handle, None)
        self.half_closed.pop(request.handle, None)
