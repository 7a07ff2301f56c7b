"""The tables of a serving entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.core.serving.budget import RetryBudget
from magnoliahold.core.serving.feeds import Feed, FeedState
from magnoliahold.core.serving.moves import MoveTable
from magnoliahold.core.serving.peers import PeerTable
from magnoliahold.core.serving.policy import ServingPolicy
from magnoliahold.core.serving.requests import RequestTable
from magnoliahold.core.serving.suspicions import SuspicionTable
from magnoliahold.core.serving.upstreams import UpstreamTable
from magnoliahold.core.worlds import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.serving.configuration import Configuration
    from magnoliahold.core.serving.lookups import PromptLookup


def _make_feeds() -> dict[Feed, FeedState]:
    return {feed: FeedState(feed) for feed in Feed}


@define(kw_only=True)
class ServingWorld(World):
    """Tables of an entry that calls its upstreams itself.

    `boot_clock` reads seconds that go on while the instance is suspended, which those
    of ticks don't; the store's clock is `store_offset_s` ahead of it. `configuration`
    is the newest one ever read; it never goes back. `lookups` holds the last questions
    about prompts by service.
    `openings` and `durations` are moving means, by service, of the seconds to the first
    piece and to the end of streams. `started_at` is the time of the first tick.
    """

    boot_clock: Callable[[], float]
    serving_policy: ServingPolicy = field(factory=ServingPolicy)
    configuration: Configuration | None = None
    feeds: dict[Feed, FeedState] = field(factory=_make_feeds)
    upstreams: UpstreamTable = field(factory=UpstreamTable)
    requests: RequestTable = field(factory=RequestTable)
    other_entries: PeerTable = field(factory=PeerTable)
    moves: MoveTable = field(factory=MoveTable)
    suspicions: SuspicionTable = field(factory=SuspicionTable)
    budgets: dict[str, RetryBudget] = field(factory=dict)
    lookups: dict[str, PromptLookup] = field(factory=dict)
    mean_opening_by_service: dict[str, float] = field(factory=dict)
    mean_duration_by_service: dict[str, float] = field(factory=dict)
    store_offset_s: float | None = None
    started_at: float = 0.0
    next_call: int = 1
    last_tick_at: float | None = None
    next_scan_at: float = 0.0
    scan_due: bool = False
    listener_closed: bool = False
    farewell_at: float | None = None

    def find_budget(self, service: str) -> RetryBudget:
        """Finds the budget of a service, or starts it."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(
                self.serving_policy.budget, self.started_at
            )
        return budget

    def count_entries(self) -> int:
        """Counts the entries that share budgets, this one too."""
        if self.feeds[Feed.PEERS].version is None:
            return self.serving_policy.budget.unknown_entries
        return len(self.other_entries.by_name) + 1

    def read_store_time(self) -> float | None:
        """Reads the store's clock, in seconds; None before the first answer."""
        if self.store_offset_s is None:
            return None
        return self.boot_clock() + self.store_offset_s

    def measure_proof_age(self) -> float | None:
        """Measures how long ago the configuration was proved the newest, in seconds."""
        proved_at = self.feeds[Feed.CONFIGURATION].proved_at
        return None if proved_at is None else self.boot_clock() - proved_at
