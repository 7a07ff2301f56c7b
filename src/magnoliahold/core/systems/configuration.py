"""Commits workspace rows: applied templates and steps of moves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.administration import (
    AnswerOperator,
    ApplyDocument,
    TemplateApplied,
    make_error,
)
from magnoliahold.core.configuration import (
    APPLIES_KEPT,
    HEAD_KEY,
    HEAD_TABLE,
    WORKSPACES_TABLE,
    Commit,
    DamagedRow,
    compile_workspace,
    decode_workspace_row,
    make_conditions,
    make_writes,
)
from magnoliahold.core.effects import CountMetric, ReadRow, Transact
from magnoliahold.core.events import RowsRead, TransactionFinished
from magnoliahold.core.moves import plan_moves
from magnoliahold.core.systems.propagation import install_row, push_row
from magnoliahold.core.systems.stored_rows import decode_stored
from magnoliahold.errors import SettingsError
from magnoliahold.wire.messages import ApplyNote, WorkspaceRow

if TYPE_CHECKING:
    from magnoliahold.core.configuration import MoveStep
    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.storage.interfaces import Row


def queue_applies(world: EntryWorld, now: float) -> None:
    """Queues the templates that operators apply."""
    for applied in world.inbox.read_events(TemplateApplied):
        commit = Commit(applied.workspace, now, applied=applied)
        try:
            compile_workspace(WorkspaceRow(applied.workspace, 0, 0, applied.template))
        except SettingsError as error:
            answer = make_error(
                applied.request_id, 400, "bad_template", str(error), error.remedy
            )
            world.emit(answer)
            continue
        _set_expected_version(world, commit, applied)
        world.configuration.commits.append(commit)


def _set_expected_version(
    world: EntryWorld, commit: Commit, applied: TemplateApplied
) -> None:
    """Makes an apply without an expected version expect the current one.

    Thus, when two operators apply through one entry at once, the second is refused.
    """
    known = world.workspaces.rows.get(applied.workspace)
    if applied.expected_version is None and (known or world.configuration.loaded):
        current = known.version if known else 0
        commit.applied = evolve(applied, expected_version=current)


def queue_move_step(
    world: EntryWorld, workspace: str, step: MoveStep, now: float
) -> None:
    """Queues a step of a move unless one of that move is queued already."""
    for commit in world.configuration.commits:
        queued = commit.step
        same = queued is not None and queued.before.move == step.before.move
        if same and commit.workspace == workspace:
            return
    world.configuration.commits.append(Commit(workspace, now, step=step))


def start_commit(world: EntryWorld, now: float) -> None:
    """Starts the next attempt of the oldest commit; only one is in flight at a time."""
    table = world.configuration
    wait_limit_s = world.policy.configuration.apply_patience_s
    for commit in list(table.commits):
        if now - commit.queued_at > wait_limit_s:
            _abandon(world, commit)
    while table.commits:
        commit = table.commits[0]
        if commit.token or now < commit.retry_at:
            return
        if _needs_reading(world, commit):
            _read_stored_row(world, commit)
            return
        if _send_attempt(world, commit, now):
            return


def _needs_reading(world: EntryWorld, commit: Commit) -> bool:
    """Tells whether the stored row must be read before the next attempt."""
    known = commit.workspace in world.workspaces.rows or world.configuration.loaded
    return commit.unsettled or not (known or commit.damaged)


def _read_stored_row(world: EntryWorld, commit: Commit) -> None:
    commit.token = world.make_id("read")
    commit.reading = True
    world.emit(ReadRow(commit.token, WORKSPACES_TABLE, commit.workspace))


def _send_attempt(world: EntryWorld, commit: Commit, now: float) -> bool:
    """Sends one attempt, or returns false when the commit has ended instead."""
    row = _make_next_row(world, commit, now)
    if row is None:
        world.configuration.commits.remove(commit)
        return False
    commit.row = row
    commit.token = world.make_id("commit")
    commit.attempts += 1
    world.emit(Transact(commit.token, make_conditions(row), make_writes(row)))
    return True


def _make_next_row(
    world: EntryWorld, commit: Commit, now: float
) -> WorkspaceRow | None:
    """Builds the row to write, or ends the commit and returns None."""
    base = world.workspaces.rows.get(commit.workspace)
    change = world.configuration.store_head + 1
    if commit.applied is not None:
        return _make_applied_row(world, commit, commit.applied, base, change, now)
    if commit.step is None or base is None:
        return None
    if commit.step.before not in base.moves:
        return None
    moves = tuple(
        commit.step.after if move == commit.step.before else move for move in base.moves
    )
    return evolve(base, change=change, revision=base.revision + 1, moves=moves)


def _make_applied_row(
    world: EntryWorld,
    commit: Commit,
    applied: TemplateApplied,
    base: WorkspaceRow | None,
    change: int,
    now: float,
) -> WorkspaceRow | None:
    """Builds the row of an apply, or answers it and returns None.

    An apply without an expected version expects the current one from here on.
    """
    if _answer_repeat(world, applied, base):
        return None
    current = base.version if base else 0
    expected = applied.expected_version
    if expected is None:
        expected = current
        commit.applied = applied = evolve(applied, expected_version=current)
    if expected != current:
        _answer_conflict(world, applied, current)
        return None
    damaged = commit.damaged
    version = max(current, damaged.template_version if damaged else 0) + 1
    revision = max(
        base.revision if base else 0, damaged.stored_version if damaged else 0
    )
    row = WorkspaceRow(
        workspace=applied.workspace,
        version=version,
        change=change,
        template=applied.template,
        revision=revision + 1,
    )
    before = base.moves if base else ()
    moves = plan_moves(compile_workspace(row), before, world.wall_clock(now))
    notes = (base.applies if base else ())[1 - APPLIES_KEPT :]
    note = ApplyNote(applied.apply_id, version, change)
    return evolve(row, moves=moves, applies=(*notes, note))


def _answer_repeat(
    world: EntryWorld, applied: TemplateApplied, base: WorkspaceRow | None
) -> bool:
    """Answers an apply that already took effect, or returns false for a new one."""
    for note in base.applies if base else ():
        if note.apply_id == applied.apply_id:
            _answer_accepted(world, applied, note)
            return True
    return False


def _answer_accepted(
    world: EntryWorld, applied: TemplateApplied, note: ApplyNote
) -> None:
    document = ApplyDocument(applied.workspace, note.version, note.change)
    world.emit(AnswerOperator(applied.request_id, 200, document))
    world.log_decision(
        "configuration",
        "Template accepted.",
        workspace=applied.workspace,
        version=note.version,
        change=note.change,
        apply_id=applied.apply_id,
    )


def _answer_conflict(world: EntryWorld, applied: TemplateApplied, current: int) -> None:
    message = f"the workspace is at version {current} by another change"
    remedy = "read it back, merge your change and apply again"
    answer = make_error(
        applied.request_id, 409, "version_conflict", message, remedy, current
    )
    world.emit(answer)
    world.log_decision(
        "configuration",
        "Template refused; another change was committed first.",
        workspace=applied.workspace,
        version=current,
        apply_id=applied.apply_id,
    )


def _abandon(world: EntryWorld, commit: Commit) -> None:
    world.configuration.commits.remove(commit)
    if commit.applied is None:
        return
    message = "the table service gave no answer; the template may have been accepted"
    remedy = "apply again with the same apply id, which is safe"
    answer = make_error(
        commit.applied.request_id, 503, "unknown_outcome", message, remedy
    )
    world.emit(answer)
    world.emit(CountMetric("applies_unsettled"))


def handle_commit_results(world: EntryWorld, now: float) -> None:
    """Handles the results of transactions, and of reads after unanswered ones."""
    if not world.configuration.commits:
        return
    commit = world.configuration.commits[0]
    for finished in world.inbox.read_events(TransactionFinished):
        if finished.token == commit.token:
            _handle_transaction(world, commit, finished, now)
    for read in world.inbox.read_events(RowsRead):
        if read.token == commit.token:
            _handle_read(world, commit, read, now)


def _handle_transaction(
    world: EntryWorld, commit: Commit, finished: TransactionFinished, now: float
) -> None:
    commit.token = ""
    outcome = finished.outcome
    if outcome is None:
        commit.unsettled = True
        world.configuration.store_failed_at = now
        return
    world.configuration.store_failed_at = None
    if outcome.committed:
        _finish(world, commit, now)
        return
    _handle_stored_rows(world, commit, outcome.conflicts, now)
    policy = world.policy.configuration
    limit = min(policy.retry_max_s, policy.retry_min_s * 2**commit.attempts)
    commit.retry_at = now + world.random.uniform(0, limit)


def _handle_read(world: EntryWorld, commit: Commit, read: RowsRead, now: float) -> None:
    commit.token = ""
    commit.reading = False
    if read.rows is None:
        world.configuration.store_failed_at = now
        commit.unsettled = True
        commit.retry_at = now + world.policy.configuration.settle_interval_s
        return
    world.configuration.store_failed_at = None
    commit.unsettled = False
    _handle_stored_rows(world, commit, read.rows, now)
    if not read.rows and commit.workspace not in world.workspaces.rows:
        world.configuration.loaded = True


def _handle_stored_rows(
    world: EntryWorld, commit: Commit, rows: tuple[Row, ...], now: float
) -> None:
    """Installs stored rows, and notes whether the commit's own is damaged.

    No row at all shows that it doesn't exist any more.
    """
    if not rows:
        commit.damaged = None
    for row in rows:
        install_conflicting_row(world, row, now)
        if row.table == WORKSPACES_TABLE and row.key == commit.workspace:
            commit.damaged = _find_damage(world, row)


def _find_damage(world: EntryWorld, row: Row) -> DamagedRow | None:
    """Returns a stored row that could not be put in force, None if it could."""
    known = world.workspaces.rows.get(row.key)
    if known is not None and known.revision >= row.version:
        return None
    try:
        return DamagedRow(row.version, decode_workspace_row(row).version)
    except Exception:
        # Its reason is logged where it is installed.
        return DamagedRow(row.version)


def install_conflicting_row(world: EntryWorld, row: Row, now: float) -> None:
    """Installs a stored row that differs from this entry's copy."""
    if row.table == WORKSPACES_TABLE:
        stored = decode_stored(world, row, decode_workspace_row)
        if stored is not None:
            install_row(world, stored, now)
    elif row.table == HEAD_TABLE and row.key == HEAD_KEY:
        table = world.configuration
        table.store_head = max(table.store_head, row.version)
        table.latest_known_head = max(table.latest_known_head, row.version)


def _finish(world: EntryWorld, commit: Commit, now: float) -> None:
    world.configuration.commits.remove(commit)
    row = commit.row
    if row is None:
        return
    install_row(world, row, now)
    push_row(world, row)
    if commit.damaged is not None:
        _log_replacement(world, commit.workspace, commit.damaged)
    if commit.applied is not None:
        _answer_accepted(world, commit.applied, row.applies[-1])
    elif commit.step is not None:
        _log_step(world, commit.step)


def _log_replacement(world: EntryWorld, workspace: str, damaged: DamagedRow) -> None:
    world.log_decision(
        "configuration",
        "Damaged row replaced by a template of an operator.",
        workspace=workspace,
        row_version=damaged.stored_version,
    )


def _log_step(world: EntryWorld, step: MoveStep) -> None:
    after = step.after
    world.log_decision(
        "moves",
        "Move advanced.",
        move=after.move,
        state=after.state,
        stage=after.stage,
        share=after.share,
        reason=after.reason,
    )
    world.emit(CountMetric("move_steps", 1, {"state": after.state}))
