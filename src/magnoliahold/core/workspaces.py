"""Workspace configurations, compiled for the systems that read them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from magnoliahold.wire.messages import MoveRow, WorkspaceRow


@frozen
class VersionShare:
    """Share of a work's new requests that one version gets, from 0 to 1.

    `upstreams` names upstreams or roles that serve the version.
    """

    version: str
    share: float
    upstreams: tuple[str, ...]


@frozen
class MoveRule:
    """How traffic moves to another version (a rollout), and by when.

    `deadline` is wall-clock time in seconds since the epoch.
    """

    to_version: str
    canary_cap: float
    deadline: float
    stages: tuple[float, ...] = ()
    probation_s: float = 60.0
    max_error_increase: float = 0.02
    max_latency_increase: float = 0.5


@frozen
class WorkRule:
    """One kind of work of a workspace that is served by generations."""

    name: str
    interactive: bool
    priority: int
    deadline_s: float
    versions: tuple[VersionShare, ...]
    move: MoveRule | None = None
    max_running: int = 1_000
    max_queued: int = 200
    requests_per_s: float = 0.0
    cross_version_resume: bool = False


@frozen
class ServiceRule:
    """One plain service; `repeatable` holds patterns such as "GET /lookup/*"."""

    name: str
    upstreams: tuple[str, ...]
    repeatable: tuple[str, ...] = ()


@frozen
class Workspace:
    """The configuration of a workspace that is in force in this process."""

    name: str
    version: int
    change: int
    works: dict[str, WorkRule]
    services: dict[str, ServiceRule]
    fencing_checked: dict[str, bool] = field(factory=dict)
    moves: tuple[MoveRow, ...] = ()


@define
class WorkspaceTable:
    """Configurations in force; versions only increase.

    `head` is the change-log number up to which every change is known here. `rows`
    holds the accepted rows, kept to bring other entries up to date, and
    `changes_above_head` the numbers of the changes above the head that are known
    already. `highest_seen` holds the highest change and version of each row for the
    invariant checks, and `changed_in_tick` the workspaces whose rows changed in this
    tick.
    """

    workspaces: dict[str, Workspace] = field(factory=dict)
    in_force_since: dict[str, float] = field(factory=dict)
    head: int = 0
    rows: dict[str, WorkspaceRow] = field(factory=dict)
    changes_above_head: set[int] = field(factory=set)
    highest_seen: dict[str, tuple[int, int]] = field(factory=dict)
    changed_in_tick: set[str] = field(factory=set)

    def find_work(self, workspace: str, work: str) -> WorkRule | None:
        """Finds a work of a workspace, or None when either is unknown."""
        found = self.workspaces.get(workspace)
        return found.works.get(work) if found else None

    def find_service(self, workspace: str, service: str) -> ServiceRule | None:
        """Finds a service of a workspace, or None when either is unknown."""
        found = self.workspaces.get(workspace)
        return found.services.get(service) if found else None

    def advance_head(self, head: int) -> None:
        """Advances the head to `head`, then past the known changes that follow it."""
        if head > self.head:
            self.head = head
            self.changes_above_head = {
                change for change in self.changes_above_head if change > head
            }
        while self.head + 1 in self.changes_above_head:
            self.head += 1
            self.changes_above_head.remove(self.head)
