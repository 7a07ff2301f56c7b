"""Accepted workspace rows: compiling, encoding and the commits in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import define, field, frozen

from magnoliahold.core.workspaces import (
    MoveRule,
    ServiceRule,
    VersionShare,
    WorkRule,
    Workspace,
)
from magnoliahold.storage.interfaces import Condition, Write
from magnoliahold.templates import decode_template
from magnoliahold.wire.messages import WorkspaceRow

if TYPE_CHECKING:
    from magnoliahold.core.administration import StatusQuery, TemplateApplied
    from magnoliahold.storage.interfaces import Row
    from magnoliahold.templates import Move, Service, Work, WorkspaceTemplate
    from magnoliahold.wire.messages import MoveRow

WORKSPACES_TABLE = "workspaces"
CHANGES_TABLE = "changes"
HEAD_TABLE = "configuration"
HEAD_KEY = "head"
CHANGES_KEPT = 20_000
APPLIES_KEPT = 16

_encoder = msgspec.msgpack.Encoder()
_row_decoder = msgspec.msgpack.Decoder(WorkspaceRow)


def compile_workspace(row: WorkspaceRow) -> Workspace:
    """Compiles an accepted row; raises SettingsError when its template is invalid."""
    template = decode_template(row.template)
    return Workspace(
        name=row.workspace,
        version=row.version,
        change=row.change,
        works=_compile_works(template),
        services={
            name: _compile_service(name, service)
            for name, service in template.services.items()
        },
        fencing_checked={
            name: rule.checks_fencing for name, rule in template.upstreams.items()
        },
        moves=row.moves,
    )


def _compile_works(template: WorkspaceTemplate) -> dict[str, WorkRule]:
    return {name: _compile_work(name, work) for name, work in template.works.items()}


def _compile_work(name: str, work: Work) -> WorkRule:
    shares = tuple(
        VersionShare(item.version, item.share, item.upstreams) for item in work.versions
    )
    return WorkRule(
        name=name,
        interactive=work.class_ == "interactive",
        priority=work.priority,
        deadline_s=work.deadline_s,
        versions=shares,
        move=_compile_move(work.move) if work.move else None,
        max_running=work.limits.max_running,
        max_queued=work.limits.max_queued,
        requests_per_s=work.limits.requests_per_s or 0.0,
        cross_version_resume=work.cross_version_resume,
    )


def _compile_move(move: Move) -> MoveRule:
    return MoveRule(
        to_version=move.to,
        canary_cap=move.canary_cap,
        deadline=move.deadline.timestamp(),
        stages=move.stages,
        probation_s=move.probation_s,
        max_error_increase=move.guards.max_error_increase,
        max_latency_increase=move.guards.max_latency_increase,
    )


def _compile_service(name: str, service: Service) -> ServiceRule:
    return ServiceRule(name, service.upstreams, service.repeatable)


def encode_workspace_row(row: WorkspaceRow) -> bytes:
    """Encodes an accepted row for the table service."""
    return _encoder.encode(row)


def decode_workspace_row(row: Row) -> WorkspaceRow:
    """Decodes a row of the tables `workspaces` and `changes`."""
    return _row_decoder.decode(row.value)


def make_change_key(change: int) -> str:
    """Builds the key of a change; keys sort by change number."""
    return f"{change:012d}"


@frozen
class MoveStep:
    """One step of a move: replaces `before` by `after` in the workspace's row."""

    before: MoveRow
    after: MoveRow


@frozen
class DamagedRow:
    """A workspace's stored row that can't be put in force.

    `stored_version` is its version in the table service, and `template_version` that
    of its template, 0 if not even that can be read.
    """

    stored_version: int
    template_version: int = 0


@define
class Commit:
    """A write to one workspace's row that is queued or in progress.

    Either `applied` or `step` is set. `unsettled` is set when an attempt got no answer,
    so that it may have been committed. `row` is what the current attempt writes.
    `damaged` is the stored row if it can't be put in force; an apply replaces it.
    """

    workspace: str
    queued_at: float
    applied: TemplateApplied | None = None
    step: MoveStep | None = None
    token: str = ""
    reading: bool = False
    unsettled: bool = False
    attempts: int = 0
    retry_at: float = 0.0
    row: WorkspaceRow | None = None
    damaged: DamagedRow | None = None


@define
class ConfigurationTable:
    """Commits, reads of the change log and status requests of one entry.

    `latest_known_head` is the highest head known from any source, `store_head` the
    highest known version of the head row in the table service. `loaded` is set once the
    initial load is complete.
    """

    commits: list[Commit] = field(factory=list)
    queries: dict[str, StatusQuery] = field(factory=dict)
    latest_known_head: int = 0
    store_head: int = 0
    loaded: bool = False
    load_head: int | None = None
    poll_token: str = ""
    next_poll_at: float = 0.0
    scan_token: str = ""
    scan_table: str = ""
    scan_after: str = ""
    last_pull_at: float = -1_000.0
    behind_since: float | None = None
    store_failed_at: float | None = None


def make_conditions(row: WorkspaceRow) -> tuple[Condition, ...]:
    """Builds the conditions that neither the workspace's row nor the head changed."""
    return (
        Condition(WORKSPACES_TABLE, row.workspace, row.revision - 1),
        Condition(HEAD_TABLE, HEAD_KEY, row.change - 1),
    )


def make_writes(row: WorkspaceRow) -> tuple[Write, ...]:
    """Builds the writes of the row, its change and the head, and trims the log."""
    value = encode_workspace_row(row)
    writes = [
        Write(WORKSPACES_TABLE, row.workspace, value),
        Write(CHANGES_TABLE, make_change_key(row.change), value),
        Write(HEAD_TABLE, HEAD_KEY, str(row.change).encode()),
    ]
    expired = row.change - CHANGES_KEPT
    if expired > 0:
        writes.append(Write(CHANGES_TABLE, make_change_key(expired), None))
    return tuple(writes)
