"""Workspace configurations, moves and placement."""

from __future__ import annotations

from attrs import frozen


@frozen
class SuspendVersion:
    """Tells that a version must get no new work under the named move."""

    workspace: str
    work: str
    version: str
    move: str
    reason: str


@frozen
class MoveRow:
    """State of one move between versions of a work.

    `state` is a value of `core.moves.MoveState`; `stage` counts from 0; `began` and
    `deadline` are wall-clock seconds since the epoch.
    """

    move: str
    work: str
    from_version: str
    to_version: str
    state: str
    stage: int
    share: float
    began: float
    deadline: float
    reason: str = ""


@frozen
class ApplyNote:
    """An apply that was accepted, by the id that the operator's client chose."""

    apply_id: str
    version: int
    change: int


@frozen
class WorkspaceRow:
    """One accepted workspace configuration with the state of its moves.

    `version` counts accepted templates, `change` is the change-log number of the last
    write, and `revision` the row's version at the table service.
    """

    workspace: str
    version: int
    change: int
    template: bytes
    revision: int = 1
    moves: tuple[MoveRow, ...] = ()
    applies: tuple[ApplyNote, ...] = ()


@frozen
class ConfigurationPush:
    """Every configuration changed after `after_change`, up to `head`."""

    rows: tuple[WorkspaceRow, ...]
    head: int
    after_change: int = 0


@frozen
class ConfigurationPull:
    """Asks a peer for every configuration changed after `after_change`."""

    after_change: int


@frozen
class StatusPull:
    """Asks an entry what is in force there; an empty workspace asks for all."""

    query: str
    workspace: str = ""


@frozen
class StatusItem:
    """One workspace's version in force, since some seconds."""

    workspace: str
    version: int
    since_s: float


@frozen
class StatusReport:
    """Answers StatusPull."""

    query: str
    items: tuple[StatusItem, ...]


@frozen
class PlacementPush:
    """What an upstream should have loaded, by its placement row.

    `fencing` is the row's version at the table service, `head` the change-log number
    of the configuration that it follows from.
    """

    upstream: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    fencing: int
    head: int = 0
