"""Streams that a sidecar runs at its upstream."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

if TYPE_CHECKING:
    from magnoliahold.wire.messages import StartStream


class StreamState(Enum):
    """RUNNING at the engine, or ENDED with all tokens received from it."""

    RUNNING = "running"
    ENDED = "ended"


@define
class Stream:
    """One attempt of a lineage at this upstream.

    `tokens` holds the output from offset 0 with the prefix. `sent` and `acked` are the
    offsets sent to the owner and acknowledged by it. `unowned_since` is set while the
    owner is lost or its caller has disconnected, and `discard_at` is when the stream is
    then discarded. `silent_since` is when the engine last produced tokens, or when the
    stream was last started or resumed. `restarts` counts how often the stream was
    continued over a new connection since its last token. Times are on this process's
    clock.
    """

    start: StartStream
    owner: str
    owner_incarnation: str
    owner_epoch: int
    handle: str
    tokens: list[str]
    sent: int
    acked: int
    started_at: float
    state: StreamState = StreamState.RUNNING
    end: str = ""
    first_token_at: float | None = None
    last_token_at: float = 0.0
    token_gap_s: float = 0.0
    ended_at: float = 0.0
    resent_at: float = 0.0
    paused: bool = False
    unowned_since: float | None = None
    discard_at: float = 0.0
    silent_since: float = 0.0
    restarts: int = 0


@frozen(order=True)
class Fence:
    """The newest owner and attempt of a lineage; older ones are refused."""

    owner_epoch: int
    attempt: int
    raised_at: float = field(order=False)


@define
class StreamTable:
    """Streams by lineage and by engine handle; fences by lineage, oldest first."""

    by_lineage: dict[str, Stream] = field(factory=dict)
    by_handle: dict[str, Stream] = field(factory=dict)
    fences: dict[str, Fence] = field(factory=dict)
    next_watch_at: float = 0.0

    def add_stream(self, stream: Stream) -> None:
        """Adds a stream under both keys."""
        self.by_lineage[stream.start.lineage] = stream
        self.by_handle[stream.handle] = stream

    def change_handle(self, stream: Stream, handle: str) -> None:
        """Gives a stream a new handle; events of the old one are then ignored."""
        del self.by_handle[stream.handle]
        stream.handle = handle
        self.by_handle[handle] = stream

    def raise_fence(self, lineage: str, epoch: int, attempt: int, now: float) -> None:
        """From now on refuses attempts of a lineage that are no newer than this one."""
        fence = Fence(epoch, attempt, now)
        known = self.fences.pop(lineage, fence)
        self.fences[lineage] = evolve(max(known, fence), raised_at=now)

    def expire_fences(self, before: float) -> None:
        """Removes the fences that were last raised before a time."""
        while self.fences:
            lineage = next(iter(self.fences))
            if self.fences[lineage].raised_at >= before:
                return
            del self.fences[lineage]

    def remove_stream(self, stream: Stream) -> None:
        """Removes a stream that has ended or was cancelled."""
        if self.by_lineage.get(stream.start.lineage) is stream:
            del self.by_lineage[stream.start.lineage]
        self.by_handle.pop(stream.handle, None)


@define
class Upstream:
    """The one upstream of a sidecar.

    `answered_at` is when a probe was last answered, `reset_at` when the upstream last
    broke a connection. `failure_reported_for` is the incarnation whose failure was last
    reported to the entries.
    """

    name: str
    kind: str
    capacity: int
    ready: bool = False
    incarnation: str = ""
    versions: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""
    reported_running: int = 0
    probe_pending: bool = False
    probe_requested: bool = False
    probe_sent_at: float = -1_000.0
    probe_failures: int = 0
    reset_at: float = -1_000.0
    answered_at: float = 0.0
    checks_fencing: bool = True
    failure_reported_for: str = "-"


@define
class Owner:
    """An entry that has sent heartbeats to this sidecar.

    `heartbeat_sent_at` is when a heartbeat that expects an answer was last sent to it.
    `last_reported_running` is the number of streams in the last report to it, which was
    sent at `last_report_at`.
    """

    name: str
    incarnation: str
    last_received_at: float
    configuration_head: int = 0
    data_centre: str = ""
    heartbeat_sent_at: float = -math.inf
    last_report_at: float = -math.inf
    last_reported_running: int = 0


@define
class OwnerTable:
    """Entries by name."""

    owners: dict[str, Owner] = field(factory=dict)
