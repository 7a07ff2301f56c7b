"""Streams that a sidecar runs at its upstream."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from magnoliahold.wire.messages import StartStream


class StreamState(Enum):
    """RUNNING at the engine, ENDED with all tokens here."""

    RUNNING = "running"
    ENDED = "ended"


@define
class Stream:
    """One attempt of a lineage at this upstream.

    `tokens` holds the output from offset 0 with the prefix; `sent` and `acked` are
    offsets towards the owner. Times are on this process's clock.
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
    owner_heard_at: float = 0.0
    ended_at: float = 0.0
    paused: bool = False
    probed_at: float = 0.0


@define
class StreamTable:
    """Streams by lineage and by engine handle; highest attempt seen by lineage."""

    by_lineage: dict[str, Stream] = field(factory=dict)
    by_handle: dict[str, Stream] = field(factory=dict)
    attempts_seen: dict[str, int] = field(factory=dict)

    def add_stream(self, stream: Stream) -> None:
        """Adds a stream under both keys."""
        self.by_lineage[stream.start.lineage] = stream
        self.by_handle[stream.handle] = stream

    def remove_stream(self, stream: Stream) -> None:
        """Removes a stream that has ended or was cancelled."""
        if self.by_lineage.get(stream.start.lineage) is stream:
            del self.by_lineage[stream.start.lineage]
        self.by_handle.pop(stream.handle, None)


@define
class Upstream:
    """The one upstream of a sidecar."""

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
    probe_sent_at: float = -1_000.0
    probe_failures: int = 0
    answered_at: float = 0.0
    checks_fencing: bool = True
    reported_death: str = "-"


@define
class Owner:
    """An entry that this sidecar has heard from."""

    name: str
    incarnation: str
    heard_at: float
    configuration_head: int = 0
    data_centre: str = ""


@define
class OwnerTable:
    """Entries by name."""

    owners: dict[str, Owner] = field(factory=dict)
