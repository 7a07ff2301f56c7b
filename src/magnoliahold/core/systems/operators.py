"""Handles requests of operators: status, moves, upstreams and drains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.administration import (
    AnswerOperator,
    DrainDocument,
    DrainRequested,
    InForce,
    InstanceStatus,
    MovesDocument,
    MovesRequested,
    MoveStatus,
    StatusDocument,
    StatusQuery,
    StatusRequested,
    UpstreamsDocument,
    UpstreamsRequested,
    UpstreamStatus,
    make_error,
)
from magnoliahold.core.effects import SendMessage
from magnoliahold.core.events import LeaveRequested
from magnoliahold.wire.messages import Leave, StatusItem, StatusPull, StatusReport

if TYPE_CHECKING:
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.wire.messages import MoveRow


def answer_operators(world: EntryWorld, now: float) -> None:
    """Answers the operators' requests received in this tick."""
    _answer_status_pulls(world, now)
    for status in world.inbox.read_events(StatusRequested):
        _start_status_query(world, status, now)
    _finish_status_queries(world, now)
    for moves in world.inbox.read_events(MovesRequested):
        document = MovesDocument(_list_moves(world))
        world.emit(AnswerOperator(moves.request_id, 200, document))
    for upstreams in world.inbox.read_events(UpstreamsRequested):
        listed = UpstreamsDocument(_list_upstreams(world))
        world.emit(AnswerOperator(upstreams.request_id, 200, listed))
    for drain in world.inbox.read_events(DrainRequested):
        _order_drain(world, drain)


def list_in_force(world: EntryWorld, workspace: str, now: float) -> list[StatusItem]:
    """Lists the configuration versions in force here, of one workspace or of all."""
    table = world.workspaces
    names = sorted(table.workspaces) if not workspace else [workspace]
    items = []
    for name in names:
        found = table.workspaces.get(name)
        if found is not None:
            since_s = round(now - table.in_force_since.get(name, now), 3)
            items.append(StatusItem(name, found.version, since_s))
    return items


def _answer_status_pulls(world: EntryWorld, now: float) -> None:
    for pulled in world.inbox.read_messages(StatusPull):
        items = tuple(list_in_force(world, pulled.message.workspace, now))
        report = StatusReport(pulled.message.query, items)
        world.emit(SendMessage(pulled.sender.name, report))


def _start_status_query(
    world: EntryWorld, request: StatusRequested, now: float
) -> None:
    query = StatusQuery(request, now)
    name = world.make_id("status")
    world.configuration.queries[name] = query
    for peer in world.peers.list_by_role("entry"):
        if not peer.lost:
            query.waiting.add(peer.name)
            pull = StatusPull(name, request.workspace)
            world.emit(SendMessage(peer.name, pull))


def _finish_status_queries(world: EntryWorld, now: float) -> None:
    queries = world.configuration.queries
    for received in world.inbox.read_messages(StatusReport):
        query = queries.get(received.message.query)
        if query is not None:
            query.waiting.discard(received.sender.name)
            query.answers[received.sender.name] = tuple(
                InForce(item.workspace, item.version, item.since_s)
                for item in received.message.items
            )
    timeout_s = world.policy.configuration.status_patience_s
    for name, query in list(queries.items()):
        if not query.waiting or now - query.requested_at > timeout_s:
            del queries[name]
            document = _make_status(world, query, now)
            world.emit(AnswerOperator(query.request.request_id, 200, document))


def _make_status(world: EntryWorld, query: StatusQuery, now: float) -> StatusDocument:
    items = list_in_force(world, query.request.workspace, now)
    own = InstanceStatus(
        name=world.identity.name,
        role=world.identity.role,
        data_centre=world.identity.data_centre,
        workspaces=tuple(
            InForce(item.workspace, item.version, item.since_s) for item in items
        ),
        configuration_head=world.workspaces.head,
    )
    others = [
        _make_peer_status(peer, query)
        for peer in world.peers.peers.values()
        if peer.listed or not peer.lost
    ]
    others.sort(key=lambda status: (status.role, status.name))
    return StatusDocument((own, *others))


def _make_peer_status(peer: Peer, query: StatusQuery) -> InstanceStatus:
    return InstanceStatus(
        name=peer.name,
        role=peer.role,
        data_centre=peer.data_centre,
        workspaces=query.answers.get(peer.name, ()),
        configuration_head=peer.configuration_head,
        answered=not peer.lost and peer.name not in query.waiting,
    )


def _list_moves(world: EntryWorld) -> tuple[MoveStatus, ...]:
    return tuple(
        _make_move_status(row.workspace, move)
        for row in sorted(world.workspaces.rows.values(), key=lambda row: row.workspace)
        for move in row.moves
    )


def _make_move_status(workspace: str, move: MoveRow) -> MoveStatus:
    return MoveStatus(
        workspace=workspace,
        work=move.work,
        from_version=move.from_version,
        to_version=move.to_version,
        state=move.state,
        share=move.share,
        stage=move.stage,
        deadline=move.deadline,
        reason=move.reason,
    )


def _list_upstreams(world: EntryWorld) -> tuple[UpstreamStatus, ...]:
    sidecars = world.peers.list_by_role("sidecar")
    listed = [_make_upstream_status(peer) for peer in sidecars if peer.report]
    return tuple(sorted(listed, key=lambda status: status.name))


def _make_upstream_status(peer: Peer) -> UpstreamStatus:
    report = peer.report
    assert report is not None
    return UpstreamStatus(
        name=report.name,
        kind=report.kind,
        sidecar=peer.name,
        data_centre=peer.data_centre,
        role=report.role,
        ready=report.ready,
        leaving=peer.leaving,
        lost=peer.lost,
        versions=report.versions,
        running=report.running,
        capacity=report.capacity,
    )


def _order_drain(world: EntryWorld, drain: DrainRequested) -> None:
    if drain.name == world.identity.name:
        world.inbox.add_event(LeaveRequested("operator"))
        _answer_drain(world, drain, drain.name)
        return
    for peer in world.peers.peers.values():
        upstream = peer.report.name if peer.report else ""
        if drain.name in (peer.name, upstream):
            world.emit(SendMessage(peer.name, Leave(peer.name)))
            _answer_drain(world, drain, peer.name)
            return
    message = f"no process or upstream is called {drain.name!r}"
    remedy = "name one of those that status and upstreams list"
    world.emit(make_error(drain.request_id, 404, "unknown_name", message, remedy))


def _answer_drain(world: EntryWorld, drain: DrainRequested, name: str) -> None:
    world.log_decision("operators", "Drain ordered.", name=name)
    world.emit(AnswerOperator(drain.request_id, 200, DrainDocument((name,))))
