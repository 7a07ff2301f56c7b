"""Propagates accepted workspace rows to every process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.configuration import (
    CHANGES_TABLE,
    HEAD_KEY,
    HEAD_TABLE,
    WORKSPACES_TABLE,
    compile_workspace,
    decode_workspace_row,
    make_change_key,
)
from magnoliahold.core.effects import CountMetric, ReadRow, ScanRows, SendMessage
from magnoliahold.core.events import RowsRead
from magnoliahold.core.moves import update_active_moves
from magnoliahold.core.systems.stored_rows import decode_stored
from magnoliahold.decoding import decode_or_report
from magnoliahold.wire.messages import (
    ConfigurationPull,
    ConfigurationPush,
    Heartbeat,
)

if TYPE_CHECKING:
    from magnoliahold.core.peers import Peer
    from magnoliahold.core.workspaces import Workspace
    from magnoliahold.core.worlds import EntryWorld, SidecarWorld
    from magnoliahold.wire.messages import WorkspaceRow


def install_row(world: EntryWorld, row: WorkspaceRow, now: float) -> bool:
    """Puts a row in force unless a newer one is; returns whether it was installed.

    If its template is damaged, the row before it stays in force.
    """
    table = world.workspaces
    configuration = world.configuration
    configuration.store_head = max(configuration.store_head, row.change)
    configuration.latest_known_head = max(configuration.latest_known_head, row.change)
    known = table.rows.get(row.workspace)
    if row.change > table.head:
        table.changes_above_head.add(row.change)
    if known is not None and known.change >= row.change:
        table.advance_head(table.head)
        return False
    workspace = _compile(world, row)
    if workspace is None:
        table.advance_head(table.head)
        return False
    if known is None or known.version != row.version:
        table.in_force_since[row.workspace] = now
    change, version = table.highest_seen.get(row.workspace, (0, 0))
    table.highest_seen[row.workspace] = (
        max(change, row.change),
        max(version, row.version),
    )
    table.changed_in_tick.add(row.workspace)
    table.rows[row.workspace] = row
    table.workspaces[row.workspace] = workspace
    update_active_moves(world, row, now)
    table.advance_head(table.head)
    return True


def _compile(world: EntryWorld, row: WorkspaceRow) -> Workspace | None:
    def log_damage(reason: str) -> None:
        world.log_decision(
            "configuration",
            "Template can't be read and is left out.",
            key=row.workspace,
            version=row.version,
            reason=reason,
        )

    return decode_or_report(compile_workspace, row, log_damage)


def push_row(world: EntryWorld, row: WorkspaceRow) -> None:
    """Sends a row that was just committed to every entry."""
    push = ConfigurationPush((row,), row.change, row.change - 1)
    for peer in world.peers.list_by_role("entry"):
        world.emit(SendMessage(peer.name, push))


def receive_configurations(world: EntryWorld, now: float) -> None:
    """Installs pushed rows and answers peers that pull rows."""
    world.workspaces.changed_in_tick.clear()
    for pushed in world.inbox.read_messages(ConfigurationPush):
        message = pushed.message
        for row in message.rows:
            install_row(world, row, now)
        if message.after_change <= world.workspaces.head:
            world.workspaces.advance_head(message.head)
            world.configuration.last_pull_at = -1_000.0
        _record_head(world, message.head)
    for pulled in world.inbox.read_messages(ConfigurationPull):
        _answer_pull(world, pulled.sender.name, pulled.message.after_change)
    for heartbeat in world.inbox.read_messages(Heartbeat):
        _record_head(world, heartbeat.message.configuration_head)


def _record_head(world: EntryWorld, head: int) -> None:
    table = world.configuration
    table.latest_known_head = max(table.latest_known_head, head)


def _answer_pull(world: EntryWorld, receiver: str, after_change: int) -> None:
    """Sends the next rows in order of change; the peer pulls again for more."""
    head = world.workspaces.head
    rows = [
        row
        for row in world.workspaces.rows.values()
        if after_change < row.change <= head
    ]
    rows.sort(key=lambda row: row.change)
    limit = world.policy.configuration.push_rows
    chunk = tuple(rows[:limit])
    complete_to = head if len(rows) <= limit else chunk[-1].change
    if complete_to > after_change:
        push = ConfigurationPush(chunk, complete_to, after_change)
        world.emit(SendMessage(receiver, push))


def record_heads(world: SidecarWorld, now: float) -> None:
    """Records the highest head reported by any entry, to include it in heartbeats."""
    for received in world.inbox.read_messages(Heartbeat):
        head = received.message.configuration_head
        world.workspaces.head = max(world.workspaces.head, head)


def catch_up_with_head(world: EntryWorld, now: float) -> None:
    """Brings this entry up to the newest head from peers or from the store."""
    _handle_reads(world, now)
    _pull_from_peer(world, now)
    _poll_head(world, now)


def _pull_from_peer(world: EntryWorld, now: float) -> None:
    table = world.configuration
    policy = world.policy.configuration
    if table.latest_known_head <= world.workspaces.head:
        table.behind_since = None
        return
    if table.behind_since is None:
        table.behind_since = now
    if now - table.behind_since < policy.pull_delay_s:
        return
    if now - table.last_pull_at < policy.pull_interval_s:
        return
    peers_ahead = _list_peers_ahead(world)
    if not peers_ahead:
        return
    table.last_pull_at = now
    peer = world.random.choice(peers_ahead)
    pull = ConfigurationPull(world.workspaces.head)
    world.emit(SendMessage(peer.name, pull))


def _list_peers_ahead(world: EntryWorld) -> list[Peer]:
    return [
        peer
        for peer in world.peers.list_by_role("entry")
        if not peer.lost and peer.configuration_head > world.workspaces.head
    ]


def _poll_head(world: EntryWorld, now: float) -> None:
    """Reads the head row from the store: at once at the start, then at intervals."""
    table = world.configuration
    if table.poll_token or table.scan_token or now < table.next_poll_at:
        return
    table.next_poll_at = now + compute_poll_interval_s(world) * world.random.uniform(
        0.7, 1.3
    )
    table.poll_token = world.make_id("poll")
    world.emit(ReadRow(table.poll_token, HEAD_TABLE, HEAD_KEY))


def compute_poll_interval_s(world: EntryWorld) -> float:
    """Computes the poll interval that bounds the total store reads of all entries."""
    policy = world.policy.configuration
    entries = 1 + len(world.peers.list_by_role("entry"))
    return max(policy.poll_s, entries / policy.poll_reads_per_s)


def _handle_reads(world: EntryWorld, now: float) -> None:
    table = world.configuration
    for read in world.inbox.read_events(RowsRead):
        if read.token and read.token == table.poll_token:
            table.poll_token = ""
            _handle_head_read(world, read, now)
        elif read.token and read.token == table.scan_token:
            table.scan_token = ""
            _handle_scan_read(world, read, now)


def _handle_head_read(world: EntryWorld, read: RowsRead, now: float) -> None:
    table = world.configuration
    if read.rows is None:
        table.store_failed_at = now
        return
    table.store_failed_at = None
    head = read.rows[0].version if read.rows else 0
    table.store_head = max(table.store_head, head)
    _record_head(world, head)
    if head <= world.workspaces.head:
        table.loaded = True
        return
    if table.loaded or world.workspaces.head:
        _start_scan(world, CHANGES_TABLE, make_change_key(world.workspaces.head))
    else:
        table.load_head = head
        _start_scan(world, WORKSPACES_TABLE, "")


def _start_scan(world: EntryWorld, name: str, after: str) -> None:
    table = world.configuration
    table.scan_token = world.make_id("scan")
    table.scan_table = name
    table.scan_after = after
    limit = world.policy.configuration.scan_rows
    world.emit(ScanRows(table.scan_token, name, after, limit))


def _handle_scan_read(world: EntryWorld, read: RowsRead, now: float) -> None:
    if read.rows is None:
        world.configuration.store_failed_at = now
        return
    decoded = (decode_stored(world, row, decode_workspace_row) for row in read.rows)
    rows = [row for row in decoded if row is not None]
    if world.configuration.scan_table == CHANGES_TABLE:
        is_complete = len(rows) == len(read.rows)
        _apply_changes(world, rows, is_complete, now)
        return
    for row in rows:
        install_row(world, row, now)
    if len(read.rows) < world.policy.configuration.scan_rows:
        _finish_load(world)
    else:
        _start_scan(world, WORKSPACES_TABLE, read.rows[-1].key)


def _apply_changes(
    world: EntryWorld, rows: list[WorkspaceRow], is_complete: bool, now: float
) -> None:
    """Applies the next changes of the log, or reloads all rows after a gap in it.

    A change that can't be read is a gap, too.
    """
    if not is_complete or (rows and rows[0].change > world.workspaces.head + 1):
        world.emit(CountMetric("change_log_gaps"))
        world.configuration.load_head = world.configuration.store_head
        _start_scan(world, WORKSPACES_TABLE, "")
        return
    for row in rows:
        install_row(world, row, now)
        world.workspaces.advance_head(row.change)
    world.configuration.loaded = True
    if len(rows) == world.policy.configuration.scan_rows:
        _start_scan(world, CHANGES_TABLE, make_change_key(world.workspaces.head))


def _finish_load(world: EntryWorld) -> None:
    table = world.configuration
    if table.load_head is not None:
        world.workspaces.advance_head(table.load_head)
    table.load_head = None
    table.loaded = True
