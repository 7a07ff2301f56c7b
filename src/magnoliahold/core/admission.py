"""Queues of generations waiting for a slot, shared fairly between workspaces."""

from __future__ import annotations

from collections import deque
from heapq import heapify, heappop, heappush
from math import exp
from typing import TYPE_CHECKING, Protocol, TypeAlias

from attrs import define, field

from magnoliahold.core.generations import GenerationState

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.generations import Generation

WorkKey: TypeAlias = "tuple[str, str]"
PoolKey: TypeAlias = "tuple[str, ...]"

PROMPT_CHARACTERS_PER_OUTPUT_TOKEN = 80
RATE_DECAY_S = 10.0
RATE_PRIOR_S = 0.5
MIN_BATCH_SHARE = 0.1


class WorkQueue(Protocol):
    """Waiting generations of one work in one class, in the order of their start."""

    def add_generation(self, generation: Generation) -> None:
        """Adds a generation."""

    def list_in_order(self) -> list[Generation]:
        """Lists the generations that still wait, the next one to start first."""

    def peek_first(self) -> Generation | None:
        """Returns the first generation that still waits, or None."""


def is_waiting(generation: Generation) -> bool:
    """Tells whether a queued generation still waits; queues remove others lazily."""
    queued = generation.state is GenerationState.QUEUED
    return queued and generation.index is not None


def estimate_cost(generation: Generation) -> float:
    """Estimates the cost of a generation in output tokens.

    A prompt token costs a small fraction of an output token, because the tokens of a
    prompt are processed in parallel.
    """
    request = generation.request
    return request.max_tokens + len(request.prompt) / PROMPT_CHARACTERS_PER_OUTPUT_TOKEN


@define
class ArrivalQueue:
    """Waiting interactive generations in order of arrival."""

    items: deque[Generation] = field(factory=deque)

    def add_generation(self, generation: Generation) -> None:
        """Adds a generation at the end."""
        self.items.append(generation)

    def list_in_order(self) -> list[Generation]:
        """Lists the generations that still wait."""
        self.items = deque(item for item in self.items if is_waiting(item))
        return list(self.items)

    def peek_first(self) -> Generation | None:
        """Returns the oldest generation that still waits, or None."""
        while self.items and not is_waiting(self.items[0]):
            self.items.popleft()
        return self.items[0] if self.items else None


@define
class DeadlineQueue:
    """Waiting batch generations, ordered by the latest time at which they can start."""

    items: list[tuple[float, int, Generation]] = field(factory=list)
    serial: int = 0

    def add_generation(self, generation: Generation) -> None:
        """Inserts a generation by its latest start."""
        self.serial += 1
        heappush(self.items, (generation.start_by, self.serial, generation))

    def list_in_order(self) -> list[Generation]:
        """Lists the generations that still wait."""
        self.items = [item for item in self.items if is_waiting(item[2])]
        heapify(self.items)
        return [item[2] for item in sorted(self.items, key=lambda item: item[:2])]

    def peek_first(self) -> Generation | None:
        """Returns the waiting generation whose latest start comes first, or None."""
        while self.items and not is_waiting(self.items[0][2]):
            heappop(self.items)
        return self.items[0][2] if self.items else None


@define
class Flow:
    """The waiting generations of one workspace in one class, by work.

    `finish_tag` is the virtual finish time of the generation started last. `backlog` is
    the total cost that waits: recomputed at each check for predicted late starts, and
    adjusted by arrivals and starts since then.
    """

    works: dict[str, WorkQueue] = field(factory=dict)
    finish_tag: float = 0.0
    backlog: float = 0.0

    def list_heads(self) -> list[Generation]:
        """Lists the first waiting generation of each work, the most urgent first."""
        heads = [waiting.peek_first() for waiting in self.works.values()]
        found = [head for head in heads if head is not None]
        found.sort(key=lambda item: item.start_by)
        return found

    def list_waiting(self) -> list[Generation]:
        """Lists all waiting generations, the most urgent first."""
        found: list[Generation] = []
        for waiting in self.works.values():
            found.extend(waiting.list_in_order())
        found.sort(key=lambda item: item.start_by)
        return found


@define
class DrainRate:
    """Cost started per second, averaged with exponential decay."""

    cost: float = 0.0
    seconds: float = 0.0

    def add_period(self, cost: float, seconds: float) -> None:
        """Adds the cost started in a period, after decaying the earlier ones."""
        decay = exp(-seconds / RATE_DECAY_S)
        self.cost = self.cost * decay + cost
        self.seconds = self.seconds * decay + seconds

    def find_rate(self, expected: float) -> float:
        """Computes the rate; `expected` counts like RATE_PRIOR_S of measurements."""
        cost = self.cost + expected * RATE_PRIOR_S
        return cost / (self.seconds + RATE_PRIOR_S)


@define
class ClassQueue:
    """Flows of one class, served by start-time fair queueing on the expected cost.

    An idle workspace earns no credit, and no slot stays free while a generation waits.
    `rate` is the drain rate, measured only while generations wait; `usage` is measured
    all the time. `out_of_slots` is set when no slot was found, until slots may have
    been freed.
    """

    make_work_queue: Callable[[], WorkQueue]
    flows: dict[str, Flow] = field(factory=dict)
    virtual_time: float = 0.0
    rate: DrainRate = field(factory=DrainRate)
    usage: DrainRate = field(factory=DrainRate)
    started_cost: float = 0.0
    backlogged_since: float | None = None
    measured_at: float | None = None
    out_of_slots: bool = False

    def add_generation(self, generation: Generation) -> None:
        """Queues a generation in the flow of its workspace."""
        flow = self.flows.setdefault(generation.request.workspace, Flow())
        work = generation.request.work
        if work not in flow.works:
            flow.works[work] = self.make_work_queue()
        flow.works[work].add_generation(generation)
        flow.backlog += estimate_cost(generation)

    def order_flows(self) -> list[Flow]:
        """Lists the flows with waiting generations by the start tag of the next one."""
        ordered = []
        for name, flow in list(self.flows.items()):
            if flow.list_heads():
                start_tag = max(self.virtual_time, flow.finish_tag)
                ordered.append((start_tag, name, flow))
            elif flow.finish_tag <= self.virtual_time:
                del self.flows[name]
            else:
                flow.backlog = 0.0
        ordered.sort(key=lambda item: item[:2])
        return [flow for _, _, flow in ordered]

    def charge_start(self, generation: Generation) -> None:
        """Charges the cost of a started generation to the flow of its workspace."""
        flow = self.flows[generation.request.workspace]
        start_tag = max(self.virtual_time, flow.finish_tag)
        cost = estimate_cost(generation)
        flow.finish_tag = start_tag + cost
        flow.backlog = max(0.0, flow.backlog - cost)
        self.virtual_time = start_tag
        self.started_cost += cost

    def is_empty(self) -> bool:
        """Tells whether nothing waits."""
        return not any(flow.list_heads() for flow in self.flows.values())

    def measure_rate(self, now: float) -> None:
        """Updates `usage`, and the drain rate if generations waited all the time."""
        if self.measured_at is not None:
            self.usage.add_period(self.started_cost, now - self.measured_at)
        if self.backlogged_since is not None:
            self.rate.add_period(self.started_cost, now - self.backlogged_since)
        self.started_cost = 0.0
        self.measured_at = now
        self.backlogged_since = None if self.is_empty() else now

    def find_flow_rate(self, expected: float, workspace: str) -> float:
        """Computes one workspace's equal part of the drain rate, as cost per second."""
        waiting = {name for name, flow in self.flows.items() if flow.list_heads()}
        waiting.add(workspace)
        return self.rate.find_rate(expected) / len(waiting)


@define
class PoolQueue:
    """Waiting generations for one set of upstreams.

    Interactive generations go first, but batch work is guaranteed `batch_share` of the
    cost started while both wait. `batch_credit` is the cost that is still due to it.
    `checked_at` is when generations were last checked for a missed latest start, and
    `last_shed_check_at` when they were last checked for a predicted late start.
    `unserved_since` is set while no usable upstream serves the pool.
    """

    interactive: ClassQueue = field(factory=lambda: ClassQueue(ArrivalQueue))
    batch: ClassQueue = field(factory=lambda: ClassQueue(DeadlineQueue))
    batch_credit: float = 0.0
    last_shed_check_at: float = 0.0
    checked_at: float = 0.0
    unserved_since: float | None = None

    def find_class(self, generation: Generation) -> ClassQueue:
        """Finds the queue of a generation's class."""
        return self.interactive if generation.interactive else self.batch

    def order_classes(self) -> list[ClassQueue]:
        """Lists the classes that may find a slot, batch first while it has credit."""
        ordered = [self.interactive, self.batch]
        if self.batch_credit > 0:
            ordered.reverse()
        return [queue for queue in ordered if not queue.out_of_slots]

    def clear_out_of_slots(self) -> None:
        """Allows both classes to search for slots again."""
        self.interactive.out_of_slots = False
        self.batch.out_of_slots = False

    def find_expected_rate(self, queue: ClassQueue, pool_rate: float) -> float:
        """Computes the expected drain rate of a class, used until it is measured.

        Batch work gets what interactive work leaves, and at least MIN_BATCH_SHARE of
        the pool's rate.
        """
        if queue is self.interactive:
            return pool_rate
        left = pool_rate - self.interactive.usage.find_rate(0.0)
        return max(left, pool_rate * MIN_BATCH_SHARE)

    def charge_start(self, generation: Generation, batch_share: float) -> None:
        """Charges a start to its workspace and updates the credit of batch work."""
        cost = estimate_cost(generation)
        self.find_class(generation).charge_start(generation)
        if not generation.interactive:
            self.batch_credit = max(0.0, self.batch_credit - cost)
        elif not self.batch.is_empty():
            self.batch_credit += cost * batch_share / (1 - batch_share)

    def list_heads(self) -> list[Generation]:
        """Lists the first waiting generation of each work of each workspace."""
        flows = [*self.interactive.flows.values(), *self.batch.flows.values()]
        return [head for flow in flows for head in flow.list_heads()]

    def is_empty(self) -> bool:
        """Tells whether nothing waits."""
        return self.interactive.is_empty() and self.batch.is_empty()


@define
class TokenBucket:
    """Token bucket: allows `rate` requests per second and short bursts."""

    tokens: float
    filled_at: float

    def consume_token(self, rate: float, burst: float, now: float) -> bool:
        """Consumes one token, or returns false when there is none."""
        grown = self.tokens + (now - self.filled_at) * rate
        self.tokens = min(burst, grown)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def find_wait_s(self, rate: float) -> float:
        """Computes the seconds until the next token is available."""
        return max(0.0, 1 - self.tokens) / rate


@define
class AdmissionTable:
    """Queues by pool, rate limits by work, and the retry budget.

    `retry_tokens` is None until the first use of the budget, which then starts full.
    `slots_freed` is set when work of this entry has ended since the last admission.
    """

    pools: dict[PoolKey, PoolQueue] = field(factory=dict)
    buckets: dict[WorkKey, TokenBucket] = field(factory=dict)
    retry_tokens: float | None = None
    slots_freed: bool = False

    def find_pool(self, key: PoolKey) -> PoolQueue:
        """Returns the queue of a pool, creating it if needed."""
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = PoolQueue()
        return pool
