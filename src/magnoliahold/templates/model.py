"""The schema of a workspace template after its parameters are substituted."""

from __future__ import annotations

from datetime import datetime  # noqa: TC003
from typing import Any, ClassVar, Literal

from attrs import field, frozen

from magnoliahold.settings.checks import (
    FieldError,
    Relation,
    checks,
    raise_faults,
    require_name,
    require_names,
    require_range,
)
from magnoliahold.templates.patterns import find_pattern_problem, matches_pattern

SHARE_TOLERANCE = 1e-6
MAX_CANARY_CAP = 0.1
DEFAULT_CANARY_CAP = 0.05
DEFAULT_DEADLINE_S = 600.0
DEFAULT_PROBATION_S = 300.0
DEFAULT_MAX_QUEUED = 200
DEFAULT_MAX_RUNNING = 1000
MAX_DURATION_S = 7 * 86_400
MAX_PRIORITY = 9


def require_upstreams(upstreams: tuple[str, ...]) -> None:
    """Checks that upstreams or roles are listed, each of them once."""
    if not upstreams:
        raise FieldError("no upstream is listed", "name upstreams or roles")
    for upstream in upstreams:
        require_name(upstream)
    if len(set(upstreams)) != len(upstreams):
        raise FieldError("an upstream is listed twice", "name each upstream once")


def require_patterns(patterns: tuple[str, ...]) -> None:
    """Checks that the patterns of repeatable calls are valid."""
    faults = []
    for index, pattern in enumerate(patterns):
        problem = find_pattern_problem(pattern)
        if problem:
            remedy = "write a method and a path such as GET /lookup/*"
            faults.append(FieldError(problem, remedy, f"[{index}]"))
    raise_faults(faults)


@frozen
class VersionShare:
    """The share of new requests that a version gets, and the upstreams that serve it.

    `upstreams` lists names or roles of upstreams.
    """

    version: str = field(metadata=checks(require_name))
    upstreams: tuple[str, ...] = field(metadata=checks(require_upstreams))
    share: float = field(metadata=checks(require_range(0, 1)))


def require_versions(versions: tuple[VersionShare, ...]) -> None:
    """Checks that each version is listed once and that the shares add up to 1."""
    if not versions:
        raise FieldError("no version is listed", "list at least one version")
    faults = []
    seen = set()
    for index, version in enumerate(versions):
        if version.version in seen:
            problem = f"the version {version.version!r} is listed twice"
            faults.append(FieldError(problem, "list it once", f"[{index}].version"))
        seen.add(version.version)
    total = sum(version.share for version in versions)
    if abs(total - 1) > SHARE_TOLERANCE:
        faults.append(
            FieldError(f"the shares add up to {total:g}", "make them add to 1")
        )
    raise_faults(faults)


@frozen
class MoveGuards:
    """By how much the new version may be worse than the old one.

    `max_error_increase` is the difference between the shares of failed requests.
    `max_latency_increase` is a fraction of the old version's latency.
    """

    max_error_increase: float = field(
        metadata=checks(require_range(0, 1)), default=0.02
    )
    max_latency_increase: float = field(
        metadata=checks(require_range(0.01, 100)), default=0.5
    )


def require_canary_cap(canary_cap: float) -> None:
    """Checks that the canary cap is above 0 and at most MAX_CANARY_CAP."""
    if not 0 < canary_cap <= MAX_CANARY_CAP:
        raise FieldError(
            f"{canary_cap:g} is out of range",
            f"use a share above 0 and up to {MAX_CANARY_CAP:g}",
        )


def require_stages(canary_cap: float, stages: tuple[float, ...]) -> None:
    """Checks that stages increase to 1 and begin at or below the canary cap."""
    if not stages:
        return
    faults = []
    previous = 0.0
    for index, stage in enumerate(stages):
        if not previous < stage <= 1:
            faults.append(
                FieldError(
                    f"{stage:g} is not above {previous:g} and at most 1",
                    "let stages rise to 1",
                    f".stages[{index}]",
                )
            )
        previous = stage
    if stages[0] > canary_cap:
        faults.append(
            FieldError(
                f"{stages[0]:g} is above the canary cap of {canary_cap:g}",
                "begin at or below the cap",
                ".stages[0]",
            )
        )
    if stages[-1] != 1:
        faults.append(
            FieldError("the last stage is not 1", "end with stage 1", ".stages")
        )
    raise_faults(faults)


@frozen
class Move:
    """A move, i.e. a rollout of traffic to another version, and its deadline.

    Without `stages`, default shares are used; the length of each stage is fitted to
    the deadline. Until the version has passed the canary analysis, its share does not
    exceed `canary_cap`. The old version stays loaded for `probation_s` seconds after
    the last stage.
    """

    to: str = field(metadata=checks(require_name))
    deadline: datetime
    stages: tuple[float, ...] = ()
    canary_cap: float = field(
        metadata=checks(require_canary_cap), default=DEFAULT_CANARY_CAP
    )
    probation_s: float = field(
        metadata=checks(require_range(0, MAX_DURATION_S)), default=DEFAULT_PROBATION_S
    )
    guards: MoveGuards = field(factory=MoveGuards)

    relations: ClassVar[tuple[Relation, ...]] = (
        Relation(("canary_cap", "stages"), require_stages),
    )


def require_move_versions(
    versions: tuple[VersionShare, ...], move: Move | None
) -> None:
    """Checks that a move goes from the only version in use to another version."""
    if move is None:
        return
    shares = {version.version: version.share for version in versions}
    if move.to not in shares:
        raise FieldError(
            f"the version {move.to!r} is unknown",
            "list it under `versions` with share 0",
            ".move.to",
        )
    faults = []
    if shares.pop(move.to) != 0:
        faults.append(
            FieldError(
                f"the version {move.to!r} already has a share",
                "give it share 0; the move raises it",
                ".move.to",
            )
        )
    if sum(share > 0 for share in shares.values()) > 1:
        faults.append(
            FieldError(
                "the move would start from several versions",
                "give one other version share 1",
                ".move",
            )
        )
    raise_faults(faults)


@frozen
class WorkLimits:
    """Limits on the requests of a work; `requests_per_s` of None means no limit."""

    max_running: int = field(
        metadata=checks(require_range(1, 1_000_000)), default=DEFAULT_MAX_RUNNING
    )
    max_queued: int = field(
        metadata=checks(require_range(0, 1_000_000)), default=DEFAULT_MAX_QUEUED
    )
    requests_per_s: float | None = field(
        metadata=checks(require_range(0.001, 1_000_000)), default=None
    )


@frozen
class Work:
    """A work, i.e. a kind of generation of a workspace; callers select it as `model`.

    Plain services are defined as `Service` instead. `deadline_s` limits the time of a
    request from its arrival. Within a class, a higher `priority` is served first.
    """

    versions: tuple[VersionShare, ...] = field(metadata=checks(require_versions))
    kind: Literal["generation"] = "generation"
    class_: Literal["interactive", "batch"] = "interactive"
    deadline_s: float = field(
        metadata=checks(require_range(0.1, MAX_DURATION_S)), default=DEFAULT_DEADLINE_S
    )
    priority: int = field(metadata=checks(require_range(0, MAX_PRIORITY)), default=0)
    move: Move | None = None
    limits: WorkLimits = field(factory=WorkLimits)
    cross_version_resume: bool = False

    relations: ClassVar[tuple[Relation, ...]] = (
        Relation(("versions", "move"), require_move_versions),
    )

    @property
    def from_version(self) -> str | None:
        """The version that a move starts from."""
        for version in self.versions:
            if version.share > 0:
                return version.version
        return None


@frozen
class Service:
    """A plain service; calls that are not listed as repeatable run at most once."""

    upstreams: tuple[str, ...] = field(metadata=checks(require_upstreams))
    repeatable: tuple[str, ...] = field(metadata=checks(require_patterns), default=())

    def is_repeatable(self, method: str, path: str) -> bool:
        """Returns whether a call may be retried."""
        return any(
            matches_pattern(pattern, method, path) for pattern in self.repeatable
        )


@frozen
class UpstreamRule:
    """Whether an upstream itself rejects orders with an outdated fencing number."""

    checks_fencing: bool


def require_works_or_services(
    works: dict[str, Work], services: dict[str, Service]
) -> None:
    """Checks that a template defines at least one work or service."""
    if not works and not services:
        raise FieldError(
            "no work and no service is defined", "define at least one", ".works"
        )


@frozen
class WorkspaceTemplate:
    """The whole configuration of one workspace.

    `parameters` holds the substituted values, so that they can be read back.
    """

    workspace: str = field(metadata=checks(require_name))
    works: dict[str, Work] = field(metadata=checks(require_names), factory=dict)
    services: dict[str, Service] = field(metadata=checks(require_names), factory=dict)
    upstreams: dict[str, UpstreamRule] = field(
        metadata=checks(require_names), factory=dict
    )
    parameters: dict[str, Any] = field(factory=dict)

    relations: ClassVar[tuple[Relation, ...]] = (
        Relation(("works", "services"), require_works_or_services),
    )
