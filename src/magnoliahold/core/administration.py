"""Requests of operators to an entry, and the documents that answer them."""

from __future__ import annotations

from typing import TypeAlias

from attrs import define, field, frozen


@frozen
class TemplateApplied:
    """An operator applies a validated template, encoded by the package `templates`.

    A repeated request carries the same `apply_id`. `expected_version` is None when the
    operator gave no version.
    """

    request_id: str
    workspace: str
    template: bytes
    apply_id: str
    expected_version: int | None = None


@frozen
class StatusRequested:
    """An operator asks which configuration is in force in every instance.

    An empty `workspace` selects all workspaces.
    """

    request_id: str
    workspace: str = ""


@frozen
class MovesRequested:
    """An operator asks for all moves."""

    request_id: str


@frozen
class UpstreamsRequested:
    """An operator asks for all upstreams."""

    request_id: str


@frozen
class DrainRequested:
    """An operator drains a process or upstream, so that it gets no new work."""

    request_id: str
    name: str


@frozen
class ApplyDocument:
    """A template was accepted as `version`; `change` is its change-log number."""

    workspace: str
    version: int
    change: int


@frozen
class ErrorDetail:
    """Why a request was refused, and what the operator can do about it."""

    code: str
    message: str
    remedy: str = ""
    current_version: int | None = None


@frozen
class ErrorDocument:
    """The body of every error response."""

    error: ErrorDetail


@frozen
class InForce:
    """The version of a workspace in force in one instance, and for how long."""

    workspace: str
    version: int
    since_s: float


@frozen
class InstanceStatus:
    """Configuration in force in one instance.

    `answered` is false when the instance did not reply in time.
    """

    name: str
    role: str
    data_centre: str
    workspaces: tuple[InForce, ...] = ()
    configuration_head: int = 0
    answered: bool = True


@frozen
class StatusDocument:
    """Configuration in force in each known instance."""

    instances: tuple[InstanceStatus, ...]


@frozen
class MoveStatus:
    """One move: `share` of the new version, `deadline` in seconds since the epoch."""

    workspace: str
    work: str
    from_version: str
    to_version: str
    state: str
    share: float
    stage: int
    deadline: float
    reason: str


@frozen
class MovesDocument:
    """All moves: those in progress and the last ones that ended, for each work."""

    moves: tuple[MoveStatus, ...]


@frozen
class UpstreamStatus:
    """One upstream as its sidecar reports it."""

    name: str
    kind: str
    sidecar: str
    data_centre: str
    role: str
    ready: bool
    leaving: bool
    lost: bool
    versions: tuple[str, ...]
    running: int
    capacity: int


@frozen
class UpstreamsDocument:
    """All upstreams that this entry knows."""

    upstreams: tuple[UpstreamStatus, ...]


@frozen
class DrainDocument:
    """The processes that were asked to leave."""

    leaving: tuple[str, ...]


Document: TypeAlias = (
    ApplyDocument
    | ErrorDocument
    | StatusDocument
    | MovesDocument
    | UpstreamsDocument
    | DrainDocument
)


@frozen
class AnswerOperator:
    """Sends an operator the final answer: an HTTP status and a JSON document."""

    request_id: str
    status: int
    document: Document


@define
class StatusQuery:
    """A status request in progress; `waiting` names the entries still to reply."""

    request: StatusRequested
    requested_at: float
    waiting: set[str] = field(factory=set)
    answers: dict[str, tuple[InForce, ...]] = field(factory=dict)


def make_error(
    request_id: str,
    status: int,
    code: str,
    message: str,
    remedy: str = "",
    current_version: int | None = None,
) -> AnswerOperator:
    """Builds an error response."""
    detail = ErrorDetail(code, message, remedy, current_version)
    return AnswerOperator(request_id, status, ErrorDocument(detail))
