"""Tables of the platform's store that an entry follows."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

from attrs import define, frozen

if TYPE_CHECKING:
    from magnoliahold.core.serving.configuration import Configuration
    from magnoliahold.core.serving.moves import MoveOrder, MoveRecord
    from magnoliahold.core.serving.peers import PeerRecord
    from magnoliahold.core.serving.suspicions import QuarantineRecord
    from magnoliahold.core.serving.upstreams import UpstreamRecord


FeedValue: TypeAlias = (
    "Configuration | UpstreamRecord | PeerRecord"
    " | MoveOrder | MoveRecord | QuarantineRecord"
)


class Feed(Enum):
    """The tables that are followed."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    PEERS = "peers"
    MOVES = "moves"
    QUARANTINE = "quarantine"


@frozen
class FeedRow:
    """A row as of one version of the store; `value` is None if it was removed.

    The adapter leaves out rows that it can't read, and logs them.
    """

    key: str
    version: int
    value: FeedValue | None


@define
class FeedState:
    """How far a feed was read, and the state of its calls.

    `version` is the store's version up to which all changes are known, None before the
    first full read. `proved_at` is when the last successful read was sent, on the boot
    clock, which also counts the time while the instance is suspended. `call` is the
    number of the call in progress, 0 if there is none. `failing_since` is when the
    first of the calls was sent that have failed without a success since. `restored` is
    set from a restore of the store until the first full read after it. `relayed_at` is
    when another entry last passed on a proof; it is None once such proofs stay away.
    With `answer_at_once` the call in progress, or else the next one, doesn't wait for a
    change. `outdated` is set from when another entry knows a newer version of a row
    until the next successful read. That read lists the rows as they are: the changes
    since `version` may hold a row many times, and take too long over a slow link.
    """

    feed: Feed
    version: int | None = None
    proved_at: float | None = None
    call: int = 0
    called_at: float = 0.0
    next_call_at: float = 0.0
    failures: int = 0
    failing_since: float | None = None
    restored: bool = False
    relayed_at: float | None = None
    answer_at_once: bool = False
    outdated: bool = False
