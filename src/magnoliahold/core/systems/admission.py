"""Admits generations, or refuses them early with a Retry-After time."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from magnoliahold.core.admission import TokenBucket, estimate_cost
from magnoliahold.core.effects import RefuseRequest
from magnoliahold.core.events import GenerationArrived
from magnoliahold.core.generations import Generation, GenerationState
from magnoliahold.core.systems.capacity import count_entries, count_slots
from magnoliahold.core.systems.limits import count_running, has_running_slot
from magnoliahold.core.systems.refusals import refuse_arrival, refuse_generation
from magnoliahold.core.systems.routing import route_generation
from magnoliahold.core.systems.suspects import refuse_quarantined
from magnoliahold.wire.messages import Heartbeat

if TYPE_CHECKING:
    from magnoliahold.core.admission import Flow, PoolKey, PoolQueue
    from magnoliahold.core.workspaces import WorkRule
    from magnoliahold.core.worlds import EntryWorld

MIN_WAIT_SHARE_OF_DEADLINE = 0.5


def queue_generations(world: EntryWorld, now: float) -> None:
    """Queues arrived generations, except those that resume an earlier stream."""
    for request in world.inbox.read_events(GenerationArrived):
        if request.resume_from is None:
            queue_generation(world, request, now)


def queue_generation(world: EntryWorld, request: GenerationArrived, now: float) -> None:
    """Queues one generation that starts from offset 0, or refuses it."""
    rule = world.workspaces.find_work(request.workspace, request.work)
    if rule is None:
        refusal = RefuseRequest(
            request.request_id,
            status=404,
            code="unknown_work",
            message=f"the workspace has no work {request.work!r}",
        )
        world.emit(refusal)
        return
    if refuse_quarantined(world, request.request_id, request.fingerprint, now):
        return
    generation = make_generation(world, request, rule, now)
    refusal_code, retry_s = find_refusal(world, generation, rule, now)
    if refusal_code:
        refuse_arrival(world, request, refusal_code, retry_s)
        return
    world.generations.add_generation(generation)
    pool = world.admission.find_pool(find_pool_key(rule))
    pool.find_class(generation).add_generation(generation)


def make_generation(
    world: EntryWorld, request: GenerationArrived, rule: WorkRule, now: float
) -> Generation:
    """Builds a generation and computes the latest time at which it may start."""
    policy = world.policy.admission
    if rule.interactive:
        max_wait_s = min(policy.interactive_patience_s, rule.deadline_s)
    else:
        slack_s = rule.deadline_s - request.max_tokens * policy.token_gap_s
        max_wait_s = max(slack_s, rule.deadline_s * MIN_WAIT_SHARE_OF_DEADLINE)
    return Generation(
        request=request,
        lineage=world.make_id("lineage"),
        arrived_at=now,
        deadline_at=now + rule.deadline_s,
        interactive=rule.interactive,
        priority=rule.priority,
        start_by=now + max_wait_s,
    )


def find_pool_key(rule: WorkRule) -> PoolKey:
    """Builds the key of a work's pool: the upstreams of all its versions."""
    names = {name for share in rule.versions for name in share.upstreams}
    return tuple(sorted(names))


def find_refusal(
    world: EntryWorld, generation: Generation, rule: WorkRule, now: float
) -> tuple[str, float]:
    """Returns the refusal code and retry delay for a new generation, or ("", 0)."""
    policy = world.policy.admission
    pool = world.admission.find_pool(find_pool_key(rule))
    unserved_s = now - (now if pool.unserved_since is None else pool.unserved_since)
    if unserved_s >= policy.unserved_grace_s:
        return ("no_upstream", policy.unserved_grace_s)
    wait_s = predict_wait_s(world, pool, generation, rule)
    if _is_queue_full(world, generation, rule):
        return ("queue_full", wait_s)
    if wait_s > (generation.start_by - now) * policy.queued_part:
        return ("overloaded", wait_s)
    return _find_rate_refusal(world, generation, rule, now)


def _is_queue_full(world: EntryWorld, generation: Generation, rule: WorkRule) -> bool:
    table = world.generations
    queued = table.count_in_state(GenerationState.QUEUED, generation.key)
    if queued >= -(-rule.max_queued // count_entries(world)):
        return True
    total = len(table.index.members.get(GenerationState.QUEUED, {}))
    return total >= world.policy.admission.max_queued


def _find_rate_refusal(
    world: EntryWorld, generation: Generation, rule: WorkRule, now: float
) -> tuple[str, float]:
    if rule.requests_per_s <= 0:
        return ("", 0.0)
    rate = rule.requests_per_s / count_entries(world)
    burst = max(1.0, rate * world.policy.admission.burst_s)
    buckets = world.admission.buckets
    bucket = buckets.setdefault(generation.key, TokenBucket(burst, now))
    if bucket.consume_token(rate, burst, now):
        return ("", 0.0)
    return ("rate_limited", bucket.find_wait_s(rate))


def predict_wait_s(
    world: EntryWorld, pool: PoolQueue, generation: Generation, rule: WorkRule
) -> float:
    """Estimates from the drain rate how long a new generation waits to start."""
    queue = pool.find_class(generation)
    flow = queue.flows.get(generation.request.workspace)
    if flow is None or not flow.list_heads():
        return 0.0
    if generation.interactive:
        cost_ahead = flow.backlog
    else:
        waiting = flow.list_waiting()
        urgent = [item for item in waiting if item.start_by <= generation.start_by]
        cost_ahead = sum(estimate_cost(item) for item in urgent)
    pool_rate = find_pool_rate(world, find_pool_key(rule))
    expected = pool.find_expected_rate(queue, pool_rate)
    rate = queue.find_flow_rate(expected, generation.request.workspace)
    return cost_ahead / rate if rate > 0 else inf


def find_pool_rate(world: EntryWorld, key: PoolKey) -> float:
    """Estimates the cost per second at which this entry's part of a pool drains."""
    slots = count_slots(world, key) / count_entries(world)
    return slots / world.policy.admission.token_gap_s


def admit_generations(world: EntryWorld, now: float) -> None:
    """Starts queued generations while slots are free, and refuses late ones."""
    if world.workspaces.changed_in_tick:
        refuse_removed_works(world)
    changed = world.admission.slots_freed or bool(world.inbox.read_messages(Heartbeat))
    world.admission.slots_freed = False
    for key, pool in list(world.admission.pools.items()):
        if changed:
            pool.clear_out_of_slots()
        if now - pool.checked_at >= world.policy.tick_s:
            pool.checked_at = now
            pool.clear_out_of_slots()
            _check_pool(world, key, pool, now)
        start_queued_generations(world, pool, now)


def refuse_removed_works(world: EntryWorld) -> None:
    """Refuses what is queued for works that a new template has removed."""
    for generation in world.generations.list_in_state(GenerationState.QUEUED):
        if world.workspaces.find_work(*generation.key) is None:
            grace_s = world.policy.admission.unserved_grace_s
            refuse_generation(world, generation, "no_upstream", grace_s)


def _check_pool(world: EntryWorld, key: PoolKey, pool: PoolQueue, now: float) -> None:
    if not pool.is_empty():
        expire_late_generations(world, pool, now)
        shed_predicted_late(world, key, pool, now)
    if pool.unserved_since is not None or not pool.is_empty():
        _refuse_unserved(world, key, pool, now)
    pool.interactive.measure_rate(now)
    pool.batch.measure_rate(now)


def _refuse_unserved(
    world: EntryWorld, key: PoolKey, pool: PoolQueue, now: float
) -> None:
    """Refuses what is queued for a pool without upstreams, after a grace period."""
    if count_slots(world, key):
        pool.unserved_since = None
        return
    if pool.unserved_since is None:
        pool.unserved_since = now
    grace_s = world.policy.admission.unserved_grace_s
    if now - pool.unserved_since < grace_s:
        return
    for queue in (pool.interactive, pool.batch):
        for flow in queue.flows.values():
            for generation in flow.list_waiting():
                refuse_generation(world, generation, "no_upstream", grace_s)


def expire_late_generations(world: EntryWorld, pool: PoolQueue, now: float) -> None:
    """Refuses generations whose latest start time has passed."""
    for queue in (pool.interactive, pool.batch):
        for flow in queue.flows.values():
            late = [head for head in flow.list_heads() if head.start_by <= now]
            while late:
                for generation in late:
                    refuse_generation(world, generation, "overloaded", 0.0)
                late = [head for head in flow.list_heads() if head.start_by <= now]


def start_queued_generations(world: EntryWorld, pool: PoolQueue, now: float) -> None:
    """Starts queued generations in queue order while slots are free."""
    entries = count_entries(world)
    while _start_next(world, pool, entries, now):
        continue


def _start_next(world: EntryWorld, pool: PoolQueue, entries: int, now: float) -> bool:
    for queue in pool.order_classes():
        for flow in queue.order_flows():
            generation = _start_head(world, flow, entries, now)
            if generation is not None:
                pool.charge_start(generation, world.policy.admission.batch_share)
                _add_retry_tokens(world)
                return True
            queue.out_of_slots = True
    return False


def _start_head(
    world: EntryWorld, flow: Flow, entries: int, now: float
) -> Generation | None:
    for head in flow.list_heads():
        rule = world.workspaces.find_work(*head.key)
        if rule is None or not has_running_slot(world, head, rule, entries):
            continue
        if route_generation(world, head, now):
            if count_running(world, head.key) > rule.max_running:
                world.reported_violations.append(
                    f"{head.key}: runs more than max_running"
                )
            return head
    return None


def shed_predicted_late(
    world: EntryWorld, key: PoolKey, pool: PoolQueue, now: float
) -> None:
    """Refuses generations that would start too late at the current drain rate."""
    policy = world.policy.admission
    if now - pool.last_shed_check_at < policy.review_s:
        return
    pool.last_shed_check_at = now
    pool_rate = find_pool_rate(world, key)
    for queue in (pool.interactive, pool.batch):
        expected = pool.find_expected_rate(queue, pool_rate)
        for name, flow in queue.flows.items():
            rate = queue.find_flow_rate(expected, name)
            _shed_from_flow(world, flow, rate, now)


def _shed_from_flow(world: EntryWorld, flow: Flow, rate: float, now: float) -> None:
    cost_ahead = 0.0
    for generation in flow.list_waiting():
        wait_s = cost_ahead / rate if rate > 0 else 0.0
        slack_s = generation.start_by - now
        if wait_s > slack_s * world.policy.admission.doubt:
            refuse_generation(world, generation, "overloaded", wait_s)
        else:
            cost_ahead += estimate_cost(generation)
    flow.backlog = cost_ahead


def _add_retry_tokens(world: EntryWorld) -> None:
    policy = world.policy.admission
    stored = world.admission.retry_tokens
    tokens = policy.retry_burst if stored is None else stored
    world.admission.retry_tokens = min(policy.retry_burst, tokens + policy.retry_share)


def end_failed_generations(world: EntryWorld, now: float) -> None:
    """Ends generations that used up their retries or found no upstream in time."""
    policy = world.policy.admission
    for generation in world.generations.list_in_state(GenerationState.READY):
        lost_at = generation.lost_at if generation.lost_at is not None else now
        if generation.failures > generation.budgeted_failures:
            if not _charge_retry(world, generation):
                refuse_generation(world, generation, "attempts_used_up", 1.0)
        elif now - max(lost_at, generation.started_at) >= policy.resume_patience_s:
            refuse_generation(world, generation, "resume_failed", 1.0)


def _charge_retry(world: EntryWorld, generation: Generation) -> bool:
    """Charges a retry; returns false when the attempts or the budget are used up."""
    policy = world.policy.admission
    generation.budgeted_failures = generation.failures
    if generation.failures >= policy.max_attempts:
        return False
    if generation.failures <= policy.free_failures:
        return True
    stored = world.admission.retry_tokens
    tokens = policy.retry_burst if stored is None else stored
    if tokens < 1:
        return False
    world.admission.retry_tokens = tokens - 1
    return True
