"""What operators ask of an entry, and the documents that answer them."""

from __future__ import annotations

from typing import TypeAlias

from attrs import define, field, frozen


@frozen
class TemplateApplied:
    """An operator applies a checked template, as encoded by `templates`.

    `apply_id` is the same when a request is repeated. `expected_version` is None when
    the operator names no version.
    """

    request_id: str
    workspace: str
    template: bytes
    apply_id: str
    expected_version: int | None = None


@frozen
class StatusRequested:
    """An operator asks what is in force in every instance.

    An empty `workspace` asks for all workspaces.
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
    """An operator asks that a process or upstream takes no new work."""

    request_id: str
    name: str


@frozen
class ApplyDocument:
    """A template was accepted as `version`, with its number in the change log."""

    workspace: str
    version: int
    change: int


@frozen
class ErrorDetail:
    """Why a request was refused, and what to do."""

    code: str
    message: str
    remedy: str = ""
    current_version: int | None = None


@frozen
class ErrorDocument:
    """The body of every answer that refuses a request."""

    error: ErrorDetail


@frozen
class InForce:
    """The version of a workspace in force in one instance, since some seconds."""

    workspace: str
    version: int
    since_s: float


@frozen
class InstanceStatus:
    """What is in force in one instance; `answered` is false when it was silent."""

    name: str
    role: str
    data_centre: str
    workspaces: tuple[InForce, ...] = ()
    configuration_head: int = 0
    answered: bool = True


@frozen
class StatusDocument:
    """What is in force in each known instance."""

    instances: tuple[InstanceStatus, ...]


@frozen
class MoveStatus:
    """One move; `share` is the new version's, `deadline` seconds since the epoch."""

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
    """All moves: those under way and the last ended ones of each work."""

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
    """The processes that were told to leave."""

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
    """Gives an operator the final answer: an HTTP status and a JSON document."""

    request_id: str
    status: int
    document: Document


@define
class StatusQuery:
    """A request for status that waits for other entries."""

    request: StatusRequested
    asked_at: float
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
    """Makes an answer that refuses a request."""
    detail = ErrorDetail(code, message, remedy, current_version)
    return AnswerOperator(request_id, status, ErrorDocument(detail))
