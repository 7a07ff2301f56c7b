"""Messages about workspace configurations, moves and placement."""

from __future__ import annotations

from attrs import frozen


@frozen
class SuspendVersion:
    """Reports that a version must get no new work under the named move."""

    workspace: str
    work: str
    version: str
    move: str
    reason: str


@frozen
class MoveRow:
    """State of one move, i.e. a rollout from one version of a work to another.

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
    """Records an accepted apply under the id that the operator's client chose."""

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
    """Sends every configuration changed after `after_change`, up to `head`."""

    rows: tuple[WorkspaceRow, ...]
    head: int
    after_change: int = 0


@frozen
class ConfigurationPull:
    """Asks a peer for every configuration changed after `after_change`."""

    after_change: int


@frozen
class StatusPull:
    """Asks an entry for the versions in force; an empty workspace means all."""

    query: str
    workspace: str = ""


@frozen
class StatusItem:
    """The version of a workspace that has been in force for `since_s` seconds."""

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
    """Sends a sidecar the placement row of its upstream: what it should have loaded.

    `fencing` is the row's version at the table service, `head` the change-log number
    of the configuration from which the row was derived.
    """

    upstream: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    fencing: int
    head: int = 0
