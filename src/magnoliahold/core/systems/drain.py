"""Graceful shutdown of entries and sidecars."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from magnoliahold.core.effects import (
    CountMetric,
    RefuseRequest,
    SendMessage,
    StopProcess,
)
from magnoliahold.core.events import CallArrived, GenerationArrived, LeaveRequested
from magnoliahold.core.streams import StreamState
from magnoliahold.core.systems.heartbeats import make_heartbeat
from magnoliahold.core.systems.streams import fail_stream
from magnoliahold.core.worlds import EntryWorld, SidecarWorld
from magnoliahold.wire.messages import Leave

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliahold.core.worlds import World


def start_leaving(world: World, now: float) -> None:
    """Starts to drain on request and notifies every connected process."""
    reasons = [event.reason for event in world.inbox.read_events(LeaveRequested)]
    for received in world.inbox.read_messages(Leave):
        if received.message.name == world.identity.name:
            reasons.append(f"ordered by {received.sender.name}")
    if not reasons or world.leaving_since is not None:
        return
    world.leaving_since = now
    world.log_decision(
        "drain", "Drain started; accepting no new work.", reason=reasons[0]
    )
    heartbeat = make_heartbeat(world, now, answer=True)
    for name in list_notified_peers(world):
        world.emit(SendMessage(name, heartbeat))


@singledispatch
def list_notified_peers(world: World) -> Iterable[str]:
    """Lists the processes to notify; an entry notifies all that it has links to."""
    return list(world.peers.peers)


@list_notified_peers.register(SidecarWorld)
def _list_owners(world: SidecarWorld) -> Iterable[str]:
    return list(world.owners.owners)


def refuse_arrivals(world: EntryWorld, now: float) -> None:
    """Refuses new requests once load balancers have had time to route elsewhere."""
    leaving_since = world.leaving_since
    if leaving_since is None or now - leaving_since < world.policy.drain.announce_s:
        return
    for generation in world.inbox.consume_events(GenerationArrived):
        _refuse_arrival(world, generation.request_id)
    for call in world.inbox.consume_events(CallArrived):
        _refuse_arrival(world, call.request_id)


def _refuse_arrival(world: EntryWorld, request_id: str) -> None:
    retry_after_s = world.policy.drain.retry_after_s * world.random.uniform(0.5, 1.5)
    refusal = RefuseRequest(
        request_id,
        status=503,
        code="leaving",
        message="this entry is stopping; the request did not run, send it again",
        retry_after_s=retry_after_s,
    )
    world.emit(refusal)


def hand_back_streams(world: SidecarWorld, now: float) -> None:
    """Hands streams that outlast the drain limit back to the entries that own them.

    The entries resume them at other upstreams without losing tokens.
    """
    leaving_since = world.leaving_since
    limit_s = world.policy.drain.drain_limit_s
    if leaving_since is None or now - leaving_since < limit_s:
        return
    for stream in list(world.streams.by_handle.values()):
        if stream.state is StreamState.RUNNING:
            fail_stream(world, stream, "leaving")
            world.emit(CountMetric("streams_handed_back"))


def stop_when_idle(world: World, now: float) -> None:
    """Stops a leaving process once nothing was in flight for the settle time.

    This time lets the last bytes of answers and the last messages be sent. Nothing in
    flight is interrupted: generations end by their deadline, and a sidecar first hands
    back the streams that outlast its drain limit.
    """
    if world.leaving_since is None or world.stopping:
        return
    policy = world.policy.drain
    drained_s = now - world.leaving_since
    if count_in_flight(world):
        world.idle_since = None
    elif world.idle_since is None:
        world.idle_since = now
    idle_s = 0.0 if world.idle_since is None else now - world.idle_since
    if drained_s >= policy.announce_s and idle_s >= policy.settle_s:
        world.stopping = True
        world.log_decision("drain", "Stopping.", drained_s=round(drained_s, 3))
        world.emit(StopProcess("drained"))


@singledispatch
def count_in_flight(world: World) -> int:
    """Counts the requests and writes that a stop would interrupt."""
    return 0


@count_in_flight.register(EntryWorld)
def _count_at_entry(world: EntryWorld) -> int:
    claims = world.claims
    waiting = len(claims.pending) + len(claims.results)
    writing = (claims.batch_in_flight is not None) + (
        claims.results_in_flight is not None
    )
    requests = len(world.generations.by_request) + len(world.calls.by_request)
    return requests + waiting + writing + len(world.configuration.commits)


@count_in_flight.register(SidecarWorld)
def _count_at_sidecar(world: SidecarWorld) -> int:
    return len(world.streams.by_lineage) + len(world.runs.in_flight)
