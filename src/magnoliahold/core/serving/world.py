"""The tables of a serving entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.core.serving.budget import RetryBudget
from magnoliahold.core.serving.durations import DurationTable
from magnoliahold.core.serving.epochs import StoreEpoch
from magnoliahold.core.serving.feeds import Feed, FeedState
from magnoliahold.core.serving.limits import LimitTable
from magnoliahold.core.serving.moves import MoveTable
from magnoliahold.core.serving.peers import PeerTable
from magnoliahold.core.serving.policy import ServingPolicy
from magnoliahold.core.serving.proofs import ProofTable
from magnoliahold.core.serving.requests import RequestTable
from magnoliahold.core.serving.suspicions import SuspicionTable
from magnoliahold.core.serving.upstreams import UpstreamTable
from magnoliahold.core.worlds import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.load.pace import PaceComparison
    from magnoliahold.core.serving.configuration import (
        Configuration,
        ListedConfiguration,
    )
    from magnoliahold.core.serving.lookups import PromptLookup
    from magnoliahold.core.serving.openings import OpeningModel
    from magnoliahold.core.serving.queues import ServiceQueue
    from magnoliahold.core.serving.requests import ServedRequest


def _make_feeds() -> dict[Feed, FeedState]:
    return {feed: FeedState(feed) for feed in Feed}


@define(kw_only=True)
class ServingWorld(World):
    """The tables of an entry that calls its upstreams directly.

    `boot_clock` reads seconds and continues while the instance is suspended, unlike the
    clock of ticks; the store's clock is `store_offset_s` ahead of it. `configuration`
    is the newest one ever read; an older one never replaces it. `listed_configuration`
    is the one that the store listed last, and `awaited_configuration` the one that it
    has to list again after a restore. `lookups` holds the
    last prompt lookup of each service. `openings` estimates the seconds to the first
    piece of streams by service, and `durations` has those to the end of requests;
    `mean_run_by_service` is a moving average of the seconds from the start of streams
    at an upstream to their end. `queues` are those of services whose routes differ in
    rank, and `pace_comparisons` the last comparison of each service. `started_at` is
    the time of the first tick, and `late_s` is by how much the current one is late.
    `scan_due` is set in the ticks in which systems check
    all rows. A leaving entry closes idle connections at `next_sweep_at`;
    `deregistered_at` is when it removed its registration to stop.
    """

    boot_clock: Callable[[], float]
    serving_policy: ServingPolicy = field(factory=ServingPolicy)
    configuration: Configuration | None = None
    listed_configuration: ListedConfiguration | None = None
    awaited_configuration: ListedConfiguration | None = None
    store_epoch: StoreEpoch = field(factory=StoreEpoch)
    proofs: ProofTable = field(factory=ProofTable)
    feeds: dict[Feed, FeedState] = field(factory=_make_feeds)
    upstreams: UpstreamTable = field(factory=UpstreamTable)
    limits: LimitTable = field(factory=LimitTable)
    requests: RequestTable = field(factory=RequestTable)
    other_entries: PeerTable = field(factory=PeerTable)
    moves: MoveTable = field(factory=MoveTable)
    suspicions: SuspicionTable = field(factory=SuspicionTable)
    budgets: dict[str, RetryBudget] = field(factory=dict)
    lookups: dict[str, PromptLookup] = field(factory=dict)
    openings: dict[str, OpeningModel] = field(factory=dict)
    durations: DurationTable = field(factory=DurationTable)
    mean_run_by_service: dict[str, float] = field(factory=dict)
    queues: dict[str, ServiceQueue] = field(factory=dict)
    pace_comparisons: dict[str, PaceComparison] = field(factory=dict)
    store_offset_s: float | None = None
    started_at: float = 0.0
    next_call: int = 1
    last_tick_at: float | None = None
    late_s: float = 0.0
    next_scan_at: float = 0.0
    scan_due: bool = False
    listener_closed: bool = False
    next_sweep_at: float = 0.0
    deregistered_at: float | None = None

    def find_budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service, with the limits that are in force.

        Creates it if there is none.
        """
        policy = self.serving_policy.budget
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(policy, self.started_at)
        elif budget.policy is not policy:
            budget.apply_policy(policy)
        return budget

    def count_entries(self) -> int:
        """Counts the entries that share retry budgets, including this one."""
        if not self.other_entries.loaded:
            return self.serving_policy.budget.unknown_entries
        return len(self.other_entries.by_name) + 1

    def estimate_opening_s(self, request: ServedRequest, unknown_s: float) -> float:
        """Estimates the seconds to a request's first piece; `unknown_s` at first."""
        model = self.openings.get(request.service)
        return model.estimate_s(request.prompt_tokens) if model else unknown_s

    def find_read_until(self, now: float) -> float:
        """Returns the time up to which all that arrived has surely been read.

        A late tick may run before what arrived meanwhile is read. Who would give up
        something for want of an answer compares with this time, so that it looks once
        more.
        """
        return now - self.late_s

    def read_store_time(self) -> float | None:
        """Returns the store's time, in seconds; None before its first answer."""
        if self.store_offset_s is None:
            return None
        return self.boot_clock() + self.store_offset_s

    def read_shared_time(self) -> float:
        """Returns a time, in seconds, that entries can compare with each other.

        That is the store's; before its first answer, it is this process's.
        """
        return self.boot_clock() + (self.store_offset_s or 0.0)

    def measure_proof_age(self) -> float | None:
        """Returns how long ago a read confirmed the configuration as the newest."""
        proved_at = self.feeds[Feed.CONFIGURATION].proved_at
        return None if proved_at is None else self.boot_clock() - proved_at
