"""The other entries of a deployment, and what they last told."""

from __future__ import annotations

from attrs import define, field, frozen

# The codec resolves the types of notices while the process runs.
from magnoliahold.core.serving.moves import Exposure, Suspension  # noqa: TC001
from magnoliahold.core.serving.suspicions import Crash  # noqa: TC001
from magnoliahold.wire.messages import EvidenceCount  # noqa: TC001


@frozen
class PeerRecord:
    """An entry as it has registered itself in the store; it listens over UDP."""

    name: str
    incarnation: str
    address: str
    port: int


@frozen
class UpstreamLoad:
    """One entry's work at an upstream.

    `reading` counts streams whose prompt is being read, `writing` those with pieces and
    `copies` the copies that the upstream keeps for this entry. `tokens` are those of
    the prompts of all of them.
    """

    upstream_id: str
    reading: int = 0
    writing: int = 0
    copies: int = 0
    tokens: int = 0


@frozen
class PrefixCacheLocation:
    """The upstream that has read a prompt, by the id of the prompt's last part."""

    part: str
    upstream_id: str


@frozen
class LoadNotice:
    """What an entry tells the others; each notice replaces the one before.

    `serial` rises within an incarnation. `down` names the upstreams that the sender
    takes for lost, `places` where the prompts of its open streams were read.
    `evidence`, `exposures` and `suspensions` are about moves between versions,
    `crashes`, `quarantined` and `acquitted` about requests that crash upstreams.
    """

    sender: str
    incarnation: str
    serial: int
    loads: tuple[UpstreamLoad, ...] = ()
    down: tuple[str, ...] = ()
    places: tuple[PrefixCacheLocation, ...] = ()
    evidence: tuple[EvidenceCount, ...] = ()
    exposures: tuple[Exposure, ...] = ()
    suspensions: tuple[Suspension, ...] = ()
    crashes: tuple[Crash, ...] = ()
    quarantined: tuple[str, ...] = ()
    acquitted: tuple[str, ...] = ()


@define(eq=False)
class Peer:
    """Another entry; `heard_at` is when its last notice came, on the process clock."""

    record: PeerRecord
    row_version: int
    known_since: float
    last_received_at: float | None = None
    notice: LoadNotice | None = None


@define
class PeerTable:
    """The other entries by name, and what this one last told them.

    `loads` sums up what the others' notices say, by upstream. `places` holds where
    prompts were read, by the id of their last part, with the time of the last notice.
    `urgent` is set when the others should learn at once what this entry has chosen.
    """

    by_name: dict[str, Peer] = field(factory=dict)
    loads: dict[str, UpstreamLoad] = field(factory=dict)
    places: dict[str, tuple[str, float]] = field(factory=dict)
    last_sent_notice: LoadNotice | None = None
    last_sent_at: float = 0.0
    send_now: bool = False
    serial: int = 0
    registering: bool = False
    registered: bool = False
    next_registration_at: float = 0.0
    next_removal_at: float = 0.0
