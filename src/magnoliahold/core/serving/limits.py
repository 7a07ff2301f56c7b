"""Limits that upstreams name on the requests of all entries, and this entry's share.

A limit is shared by few entries, so that not each of many has a request in reserve:
those that rank first by rendezvous hashing of the upstream and the entry.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from magnoliahold.core.moves import count_ranked_before

if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliahold.core.serving.upstreams import UpstreamStart

# How many more entries than requests a second share a limit.
SPARE_SHARERS = 2
# One that takes none is still asked at times, since only its answers end the limit.
MIN_LIMIT_PER_S = 0.5
# Seconds for which a share that was not used is kept.
RESERVE_S = 1.0


@frozen
class LimitReport:
    """What one start of an upstream said last about its limit.

    `per_s` is None if it names none any more. `at` is when an entry received the
    answer, on the store's clock, in seconds.
    """

    upstream_id: str
    born_ms: int
    per_s: float | None
    at: float


@define
class RateLimit:
    """The requests a second that this entry may send to an upstream.

    It may send one as soon as `next_at`, on the process clock, and up to the requests
    of `RESERVE_S` sooner.
    """

    share_per_s: float = 0.0
    next_at: float = 0.0

    def set_share(self, share_per_s: float, now: float) -> None:
        """Changes the share; what was sent ahead under the former one still counts."""
        self.share_per_s = share_per_s
        if share_per_s:
            longest_s = max(RESERVE_S, 1.0 / share_per_s)
            self.next_at = min(self.next_at, now + longest_s)

    def find_free_at(self) -> float:
        """Returns when a request may be sent; infinite without a share."""
        if not self.share_per_s:
            return math.inf
        reserve_s = max(0.0, RESERVE_S - 1.0 / self.share_per_s)
        return self.next_at - reserve_s

    def count_sendable(self, now: float) -> float:
        """Counts the requests that may be sent now, one after another."""
        reserve_s = now - self.find_free_at()
        if reserve_s < 0:
            return 0
        left_s = min(reserve_s, max(0.0, RESERVE_S - 1.0 / self.share_per_s))
        return 1 + math.floor(left_s * self.share_per_s)

    def record_send(self, now: float) -> None:
        """Records a request that is sent, also one that may not wait."""
        if self.share_per_s:
            self.next_at = max(self.next_at, now) + 1.0 / self.share_per_s


@define
class LimitTable:
    """The starts of upstreams that name a limit, or did so a short time ago.

    `sharing` are the other entries that the shares were found for, None if these have
    to be found anew.
    """

    starts: set[UpstreamStart] = field(factory=set)
    sharing: tuple[str, ...] | None = None


def find_share(
    per_s: float, upstream_id: str, own: str, others: Collection[str]
) -> float:
    """Returns the requests a second that this entry may send of an upstream's limit."""
    per_s = max(per_s, MIN_LIMIT_PER_S)
    sharers = min(len(others) + 1, math.floor(per_s) + SPARE_SHARERS)
    if count_ranked_before(upstream_id, own, others) >= sharers:
        return 0.0
    return per_s / sharers
