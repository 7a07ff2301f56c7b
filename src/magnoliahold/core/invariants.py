"""Invariant checks.

Every tick checks the rows that it touched; all rows are checked at intervals.
"""

from __future__ import annotations

from functools import singledispatch
from itertools import chain, islice
from typing import TYPE_CHECKING

from magnoliahold.core.events import StreamProduced
from magnoliahold.core.generations import GenerationState
from magnoliahold.core.move_checks import find_rollout_violations, find_row_violations
from magnoliahold.core.runs import RunState
from magnoliahold.core.worlds import EntryWorld, SidecarWorld
from magnoliahold.wire.messages import StreamTokens

if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliahold.core.calls import CallTable
    from magnoliahold.core.generations import Generation, GenerationTable
    from magnoliahold.core.runs import RunTable
    from magnoliahold.core.streams import Stream, StreamTable
    from magnoliahold.core.worlds import World


RECENT_RUNS_CHECKED = 16
DISCARD_TOLERANCE_S = 1.0


class InvariantViolated(Exception):  # noqa: N818
    """A check of the tables failed; the process must not act on them."""


@singledispatch
def find_violations(world: World) -> Iterator[str]:
    """Yields a message for each invariant broken by rows touched in this tick."""
    yield from world.reported_violations


@singledispatch
def find_all_violations(world: World) -> Iterator[str]:
    """Yields a message for each invariant broken by any row."""
    yield from ()


@find_violations.register(EntryWorld)
def _find_touched_entry_violations(world: EntryWorld) -> Iterator[str]:
    yield from world.reported_violations
    yield from find_row_violations(world.workspaces)
    table = world.generations
    for received in world.inbox.read_messages(StreamTokens):
        generation = table.by_lineage.get(received.message.lineage)
        if generation is not None:
            yield from _find_generation_violations(table, generation)


@find_all_violations.register(EntryWorld)
def _find_all_entry_violations(world: EntryWorld) -> Iterator[str]:
    yield from _find_call_violations(world.calls)
    yield from _find_queue_violations(world)
    yield from find_rollout_violations(world)
    for generation in world.generations.by_request.values():
        yield from _find_generation_violations(world.generations, generation)


def _find_queue_violations(world: EntryWorld) -> Iterator[str]:
    queued = len(world.generations.index.members.get(GenerationState.QUEUED, {}))
    if queued > world.policy.admission.max_queued:
        yield f"{queued} generations are queued, more than the bound"
    for pool in world.admission.pools.values():
        for head in pool.list_heads():
            if head.start_by < pool.checked_at:
                yield f"{head.request.request_id}: queued past its latest start"


def _find_generation_violations(
    table: GenerationTable, generation: Generation
) -> Iterator[str]:
    name = generation.request.request_id
    tokens = generation.tokens
    if table.by_lineage.get(generation.lineage) is not generation:
        yield f"{name}: its lineage names another generation"
    if len(tokens) > generation.request.max_tokens:
        yield f"{name}: accepted more tokens than were asked for"
    if generation.state is GenerationState.TAKING_OVER:
        return
    if generation.delivered > len(tokens):
        yield f"{name}: delivered more tokens than were accepted"
    if generation.acked > len(tokens):
        yield f"{name}: acknowledged more tokens than were accepted"
    if generation.delivered and tokens[0] != generation.first_token:
        yield f"{name}: mixes tokens of two generations"
    running = generation.state is GenerationState.RUNNING
    if running and not (generation.sidecar and generation.attempt):
        yield f"{name}: runs without an attempt at a sidecar"


@find_violations.register(SidecarWorld)
def _find_touched_sidecar_violations(world: SidecarWorld) -> Iterator[str]:
    yield from world.reported_violations
    table = world.streams
    for event in world.inbox.read_events(StreamProduced):
        stream = table.by_handle.get(event.handle)
        if stream is not None:
            yield from _find_stream_violations(table, stream)
    yield from _find_run_violations(world.runs)


@find_all_violations.register(SidecarWorld)
def _find_all_sidecar_violations(world: SidecarWorld) -> Iterator[str]:
    for stream in world.streams.by_lineage.values():
        yield from _find_stream_violations(world.streams, stream)


def _find_stream_violations(table: StreamTable, stream: Stream) -> Iterator[str]:
    name = stream.start.lineage
    if stream.sent > len(stream.tokens):
        yield f"{name}: sent more tokens than were produced"
    if stream.acked > stream.sent:
        yield f"{name}: more tokens acknowledged than sent"
    if len(stream.tokens) > stream.start.max_tokens:
        yield f"{name}: produced more tokens than were asked for"
    if table.by_handle.get(stream.handle) is not stream:
        yield f"{name}: its handle names another stream"
    fence = table.fences.get(name)
    current = (stream.owner_epoch, stream.start.attempt)
    if fence is None or current < (fence.owner_epoch, fence.attempt):
        yield f"{name}: runs for an owner or attempt that is fenced"
    if stream.unowned_since is not None and table.next_watch_at > (
        stream.discard_at + DISCARD_TOLERANCE_S
    ):
        yield f"{name}: kept without an owner for too long"


def _find_run_violations(runs: RunTable) -> Iterator[str]:
    recent = islice(reversed(runs.ended), RECENT_RUNS_CHECKED)
    for run in chain(runs.in_flight.values(), recent):
        if run.delivery_count > 1:
            yield f"{run.nonce}: sent to the upstream more than once"
        if run.state is RunState.FENCED and run.delivery_count:
            yield f"{run.nonce}: fenced after it was sent to the upstream"


def _find_call_violations(calls: CallTable) -> Iterator[str]:
    for call in calls.by_request.values():
        if not call.repeatable and len(call.in_flight) > 1:
            yield f"{call.request.request_id}: sent again while it may still run"
