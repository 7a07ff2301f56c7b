"""Builders for compiled workspaces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.workspaces import (
    VersionShare,
    WorkRule,
    Workspace,
)

if TYPE_CHECKING:
    from magnoliahold.core.workspaces import (
        ServiceRule,
    )


def make_work(
    name: str,
    role: str,
    *,
    interactive: bool = False,
    deadline_s: float = 600.0,
    versions: tuple[str, ...] = ("v1",),
) -> WorkRule:
    """Builds a work for engines of one role; the first version gets all requests."""
    shares = tuple(
        VersionShare(version, 0.0 if index else 1.0, (role,))
        for index, version in enumerate(versions)
    )
    return WorkRule(
        name=name,
        interactive=interactive,
        priority=0 if interactive else 10,
        deadline_s=deadline_s,
        versions=shares,
    )


def make_workspace(
    name: str, works: list[WorkRule], services: list[ServiceRule] | None = None
) -> Workspace:
    """Builds a workspace from works and services."""
    return Workspace(
        name=name,
        version=1,
        change=1,
        works={work.name: work for work in works},
        services={service.name: service for service in services or []},
    )
