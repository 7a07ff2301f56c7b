"""Chooses the upstream of each ready generation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import SendMessage
from magnoliahold.core.generations import GenerationState
from magnoliahold.core.moves import find_active_move, pick_version
from magnoliahold.core.systems.capacity import count_entries, has_room, measure_load
from magnoliahold.core.systems.links import responded_since_alarm
from magnoliahold.core.systems.prefixes import find_upstream_by_prefix
from magnoliahold.core.systems.slow_upstreams import find_slow_upstreams
from magnoliahold.core.systems.suspects import is_suspect, select_suspect_upstream
from magnoliahold.wire.messages import StartStream

if TYPE_CHECKING:
    from magnoliahold.core.generations import Generation
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.workspaces import VersionShare
    from magnoliahold.core.worlds import EntryWorld

RESUMED_PRIORITY_GAIN = 100


def route_generations(world: EntryWorld, now: float) -> None:
    """Routes all generations that lost their attempt; none waits behind new work."""
    for generation in world.generations.list_in_state(GenerationState.READY):
        route_generation(world, generation, now)


def route_generation(world: EntryWorld, generation: Generation, now: float) -> bool:
    """Starts an attempt of a generation; returns False when no upstream can take it.

    New work needs a free slot; resumed work is sent to a full engine too and runs
    first there.
    """
    share = choose_version(world, generation)
    if share is None:
        return False
    candidates = find_candidates(world, generation, share)
    generation.suspect = is_suspect(world, generation.request.fingerprint)
    if generation.suspect:
        candidates = select_suspect_upstream(
            world, generation.request.fingerprint, candidates
        )
    if generation.state is GenerationState.QUEUED:
        candidates = find_with_free_slot(world, candidates)
    if not candidates:
        return False
    peer, reason = choose_upstream(world, generation, share.version, candidates, now)
    start_attempt(world, generation, peer, share.version, reason, now)
    return True


def choose_version(world: EntryWorld, generation: Generation) -> VersionShare | None:
    """Chooses a version by share; a generation with output keeps its version."""
    rule = world.workspaces.find_work(*generation.key)
    if rule is None:
        return None
    if not generation.tokens:
        return pick_version(world, *generation.key)
    shares = [item for item in rule.versions if item.version == generation.version]
    if shares:
        return shares[0]
    return pick_version(world, *generation.key) if rule.cross_version_resume else None


def find_candidates(
    world: EntryWorld, generation: Generation, share: VersionShare
) -> list[Peer]:
    """Finds the usable sidecars whose upstream serves the version.

    If possible, leaves out those where an attempt of the generation has failed, and
    then those that have been silent since a link with work last fell silent.
    """
    candidates = []
    for peer in world.peers.list_by_role("sidecar"):
        report = peer.report
        if not peer.usable or report is None or report.kind != "engine":
            continue
        selected = report.name in share.upstreams or report.role in share.upstreams
        if selected and share.version in report.versions:
            candidates.append(peer)
    untried = [
        peer for peer in candidates if peer.name not in generation.excluded_sidecars
    ]
    responsive = [peer for peer in untried if responded_since_alarm(world, peer)]
    return responsive or untried or candidates


def find_with_free_slot(world: EntryWorld, candidates: list[Peer]) -> list[Peer]:
    """Finds the candidates that have a free slot for new work."""
    entries = count_entries(world)
    return [peer for peer in candidates if has_room(world, peer, entries)]


def choose_upstream(
    world: EntryWorld,
    generation: Generation,
    version: str,
    candidates: list[Peer],
    now: float,
) -> tuple[Peer, str]:
    """Chooses an upstream by prompt prefix within a load bound, or by lowest load."""
    slow = find_slow_upstreams(world, candidates, now)
    fast = [peer for peer in candidates if peer.name not in slow]
    preferred = find_upstream_by_prefix(world, generation.request.prompt, version, fast)
    if preferred is not None and not generation.suspect:
        return preferred, "prompt prefix"

    policy = world.policy.routing

    def rank(peer: Peer) -> tuple[float, float]:
        far = peer.data_centre != world.identity.data_centre
        load = measure_load(peer) + far * policy.near_gain
        load += (peer.name in slow) * policy.slow_load
        return (load, world.random.random())

    return min(candidates, key=rank), "lowest load"


def choose_priority(generation: Generation) -> int:
    """Computes the priority at the engine, where lower values run first.

    Resumed work runs before new work.
    """
    if generation.lost_at is None:
        return generation.priority
    return generation.priority - RESUMED_PRIORITY_GAIN


def start_attempt(
    world: EntryWorld,
    generation: Generation,
    peer: Peer,
    version: str,
    reason: str,
    now: float,
) -> None:
    """Sends a new attempt of a generation to a sidecar."""
    if peer.leaving_since is not None:
        world.reported_violations.append(f"{peer.name}: given new work while leaving")
    generation.attempt += 1
    generation.version = version
    generation.sidecar = peer.name
    generation.sidecar_incarnation = peer.incarnation
    generation.state = GenerationState.RUNNING
    generation.started_at = now
    generation.last_received_at = now
    generation.resyncs = 0
    generation.acked = len(generation.tokens)
    generation.runs_as_suspect = generation.suspect
    generation.attempt_offset = len(generation.tokens)
    peer.assigned += 1
    request = generation.request
    message = StartStream(
        lineage=generation.lineage,
        attempt=generation.attempt,
        owner_epoch=generation.owner_epoch,
        workspace=request.workspace,
        work=request.work,
        version=version,
        prompt=request.prompt,
        prefix=tuple(generation.tokens),
        max_tokens=request.max_tokens,
        priority=choose_priority(generation),
        fingerprint=request.fingerprint,
        suspect=generation.suspect,
        window=world.policy.streams.window_tokens,
        route=world.identity.data_centre,
        move=find_active_move(world, request.workspace, request.work),
        resumable=request.stream,
    )
    expires_s = world.policy.calls.start_expires_s
    world.emit(SendMessage(peer.name, message, expires_s))
    world.log_decision(
        "routing",
        "Upstream chosen.",
        request=request.request_id,
        workspace=request.workspace,
        work=request.work,
        version=version,
        sidecar=peer.name,
        attempt=generation.attempt,
        offset=len(generation.tokens),
        load=round(measure_load(peer), 3),
        reason=reason,
    )


def end_attempt(world: EntryWorld, generation: Generation) -> None:
    """Detaches a generation from its sidecar and frees the slot."""
    peer = world.peers.peers.get(generation.sidecar)
    if peer is not None and peer.assigned > 0:
        peer.assigned -= 1
    world.admission.slots_freed = True
    generation.sidecar = ""
