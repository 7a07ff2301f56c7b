"""The order in which waiting streams of one service get room.

Answers a burst of less urgent work beside urgent work, and a workspace that sends many
times its usual: more urgent streams go first, workspaces of one rank share the room,
and work that is late already yields to what can still begin in time.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

# Share of the starts that less urgent work gets while more urgent work waits.
LEAST_SHARE = 0.1


@frozen
class Waiter:
    """A stream that waits for room.

    `rank` is 0 for the most urgent. `on_time_until` is the latest start with which it
    meets its goal, and `start_by` that with which it ends by its deadline.
    """

    key: int
    rank: int
    workspace: str
    tokens: int
    on_time_until: float
    start_by: float
    begun: bool = False


@define
class FairQueue:
    """Orders waiting streams, and keeps account of what was started.

    Workspaces share by start-time fair queueing on tokens: `finish_tags` are the
    virtual times at which their last starts finish, and `virtual_time` is the start tag
    of the last start. `credits` are the starts that are due to less urgent ranks.
    """

    finish_tags: dict[str, float] = field(factory=dict)
    virtual_time: float = 0.0
    credits: dict[int, float] = field(factory=dict)

    def order(self, waiters: Iterable[Waiter], now: float) -> list[Waiter]:
        """Returns the waiting streams, the next one to start first."""
        groups: dict[tuple[bool, int, bool], list[Waiter]] = {}
        for waiter in waiters:
            late = now > waiter.on_time_until
            key = (not waiter.begun, waiter.rank, late)
            groups.setdefault(key, []).append(waiter)
        ordered = [
            waiter for key in sorted(groups) for waiter in self._share(groups[key])
        ]
        return self._put_owed_first(ordered)

    def _share(self, waiters: list[Waiter]) -> list[Waiter]:
        """Orders streams of one rank by the tags of their workspaces."""
        by_workspace: dict[str, list[Waiter]] = {}
        for waiter in sorted(waiters, key=lambda item: item.start_by, reverse=True):
            by_workspace.setdefault(waiter.workspace, []).append(waiter)
        tags = [(self._find_tag(name), name) for name in by_workspace]
        heapify(tags)
        ordered = []
        while tags:
            tag, name = heappop(tags)
            waiter = by_workspace[name].pop()
            ordered.append(waiter)
            if by_workspace[name]:
                heappush(tags, (tag + waiter.tokens, name))
        return ordered

    def _put_owed_first(self, ordered: list[Waiter]) -> list[Waiter]:
        """Puts the first stream of a rank with credit behind those that have begun."""
        for owed in ordered:
            if not owed.begun and self.is_owed(owed.rank):
                begun = [item for item in ordered if item.begun]
                rest = [i for i in ordered if not i.begun and i is not owed]
                return [*begun, owed, *rest]
        return ordered

    def is_owed(self, rank: int) -> bool:
        """Tells whether a start is due to a rank before more urgent ones."""
        return self.credits.get(rank, 0.0) >= 1.0

    def _find_tag(self, workspace: str) -> float:
        return max(self.virtual_time, self.finish_tags.get(workspace, 0.0))

    def charge(self, started: Waiter, waiting_ranks: Iterable[int]) -> None:
        """Charges a start to its workspace; less urgent ranks that wait get credit.

        Once nothing waits, what workspaces had before counts no more.
        """
        self.virtual_time = self._find_tag(started.workspace)
        self.finish_tags[started.workspace] = self.virtual_time + started.tokens
        tags = self.finish_tags.items()
        self.finish_tags = {key: tag for key, tag in tags if tag > self.virtual_time}
        owed = self.credits.get(started.rank, 0.0)
        self.credits[started.rank] = max(0.0, owed - 1.0)
        waiting = set(waiting_ranks)
        if not waiting:
            self.finish_tags.clear()
        for rank in waiting:
            if rank > started.rank:
                credit = LEAST_SHARE / (1.0 - LEAST_SHARE)
                self.credits[rank] = self.credits.get(rank, 0.0) + credit
