"""Versions that each upstream should have loaded, and the orders that load them."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

import msgspec
from attrs import define, field
from xxhash import xxh64_intdigest

from magnoliahold.core.moves import (
    MoveState,
    find_latest_move,
    find_stages,
    list_candidate_sidecars,
)
from magnoliahold.wire.messages import PlacementPush

if TYPE_CHECKING:
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.workspaces import MoveRule, WorkRule, Workspace
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.storage.interfaces import Row
    from magnoliahold.wire.messages import MoveRow

PLACEMENTS_TABLE = "placements"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PlacementPush)


def encode_placement(placement: PlacementPush) -> bytes:
    """Encodes a placement for the table service."""
    return _encoder.encode(placement)


def decode_placement(row: Row) -> PlacementPush:
    """Decodes a stored placement."""
    return _decoder.decode(row.value)


@define
class VersionNeeds:
    """Versions that an upstream must load, and those that a move has retired."""

    required: set[str] = field(factory=set)
    retired: set[str] = field(factory=set)

    def choose_versions(self, present: tuple[str, ...]) -> tuple[str, ...]:
        """Chooses the versions to keep loaded, given those that are loaded now."""
        kept = set(present) - self.retired
        return tuple(sorted(self.required | kept))


@define
class PlacementTable:
    """Placement rows as one entry knows them, and its pending writes by token.

    `needs` is a cache that stays valid while `needs_inputs`, the values that it was
    computed from, are the same.
    """

    rows: dict[str, PlacementPush] = field(factory=dict)
    writes: dict[str, PlacementPush] = field(factory=dict)
    due_since: dict[str, float] = field(factory=dict)
    next_at: float = 0.0
    needs: dict[str, VersionNeeds] = field(factory=dict)
    needs_inputs: tuple[object, ...] = ()


@define
class OrderTable:
    """The placement that a sidecar applies, and its order in progress."""

    placement: PlacementPush | None = None
    token: str = ""
    next_at: float = 0.0
    idle_since: dict[str, float] = field(factory=dict)


def compute_needs(world: EntryWorld, max_loads: int) -> dict[str, VersionNeeds]:
    """Computes the needs of each usable engine, by the name of its sidecar.

    At most `max_loads` upstreams that lack a new version are made to load it.
    """
    needs = {
        peer.name: VersionNeeds()
        for peer in world.peers.list_by_role("sidecar")
        if peer.usable and peer.report is not None and peer.report.kind == "engine"
    }
    for workspace in world.workspaces.workspaces.values():
        for rule in workspace.works.values():
            _add_work(world, needs, workspace, rule, max_loads)
    return needs


def get_needs(world: EntryWorld, max_loads: int) -> dict[str, VersionNeeds]:
    """Returns the needs of engines, computing them again only after a change."""
    table = world.placement
    reports = tuple(
        (peer.name, peer.usable, peer.report.role, peer.report.versions)
        for peer in world.peers.list_by_role("sidecar")
        if peer.report is not None
    )
    suspended = len(world.moves.suspended)
    basis = (world.workspaces.head, suspended, reports)
    if basis != table.needs_inputs:
        table.needs_inputs = basis
        table.needs = compute_needs(world, max_loads)
    return table.needs


def _add_work(
    world: EntryWorld,
    needs: dict[str, VersionNeeds],
    workspace: Workspace,
    rule: WorkRule,
    max_loads: int,
) -> None:
    move = find_latest_move(workspace.moves, rule.name) if rule.move else None
    if move is None or rule.move is None:
        for item in rule.versions:
            if item.share > 0:
                _require(world, needs, rule, item.version)
        return
    if move.state == MoveState.DONE:
        _require(world, needs, rule, move.to_version)
        _retire(world, needs, rule, move.from_version)
        return
    _require(world, needs, rule, move.from_version)
    if move.state == MoveState.TAKEN_BACK:
        _retire(world, needs, rule, move.to_version)
        return
    if move.move in world.moves.suspended:
        return
    for peer in _choose_loaders(world, rule, rule.move, move, max_loads):
        if peer.name in needs:
            needs[peer.name].required.add(move.to_version)


def _require(
    world: EntryWorld, needs: dict[str, VersionNeeds], rule: WorkRule, version: str
) -> None:
    for peer in list_candidate_sidecars(world, rule, version):
        if peer.name in needs:
            needs[peer.name].required.add(version)


def _retire(
    world: EntryWorld, needs: dict[str, VersionNeeds], rule: WorkRule, version: str
) -> None:
    for peer in list_candidate_sidecars(world, rule, version):
        if peer.name in needs:
            needs[peer.name].retired.add(version)


def _choose_loaders(
    world: EntryWorld,
    rule: WorkRule,
    move_rule: MoveRule,
    move: MoveRow,
    max_loads: int,
) -> list[Peer]:
    """Chooses upstreams for the next stage; at most `max_loads` lack the version."""
    peers = list_candidate_sidecars(world, rule, move.to_version)
    peers.sort(key=lambda peer: xxh64_intdigest(f"{move.move} {peer.name}".encode()))
    stages = find_stages(move_rule)
    waiting = move.state == MoveState.WAITING
    next_stage = move.stage if waiting else min(move.stage + 1, len(stages) - 1)
    wanted = max(1, ceil(stages[next_stage] * len(peers)))
    loaded = [peer for peer in peers if _has_version(peer, move.to_version)]
    missing = [peer for peer in peers if peer not in loaded]
    room = min(max_loads, max(0, wanted - len(loaded)))
    return loaded + missing[:room]


def _has_version(peer: Peer, version: str) -> bool:
    return peer.report is not None and version in peer.report.versions
