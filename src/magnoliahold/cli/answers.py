"""Answers of the operators' API."""

from __future__ import annotations

from attrs import field, frozen


@frozen
class ErrorDetail:
    """Why a request was refused, and what to do."""

    code: str
    message: str
    remedy: str = ""
    current_version: int | None = None


@frozen
class ErrorAnswer:
    """The body of every answer that refuses a request."""

    error: ErrorDetail


@frozen
class ApplyAnswer:
    """A template was accepted as `version`, with its number in the change log."""

    workspace: str
    version: int
    change: int


@frozen
class WorkspaceInForce:
    """The version of a workspace in force in one instance, since some seconds."""

    workspace: str
    version: int
    since_s: float


@frozen
class InstanceStatus:
    """What is in force in one instance."""

    name: str
    role: str
    data_centre: str
    workspaces: tuple[WorkspaceInForce, ...] = field(factory=tuple)


@frozen
class StatusAnswer:
    """What is in force in each instance."""

    instances: tuple[InstanceStatus, ...]


@frozen
class MoveStatus:
    """The state of one move between versions; `share` is the new version's."""

    workspace: str
    work: str
    from_version: str
    to_version: str
    state: str
    share: float
    stage: int | float | str | None = None
    deadline: str | float | None = None
    reason: str = ""


@frozen
class MovesAnswer:
    """All moves."""

    moves: tuple[MoveStatus, ...]
