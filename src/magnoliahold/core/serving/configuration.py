"""Configuration of a serving entry: routes, services, workspaces and limits."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from attrs import field, frozen

if TYPE_CHECKING:
    from attrs import Attribute

# The largest integer up to which a float is exact.
MAX_NUMBER = 2**53


def _check_number(_: object, attribute: Attribute[Any], value: float) -> None:
    """Raises ValueError for a number that can't be computed with, such as NaN."""
    if not abs(value) <= MAX_NUMBER:
        raise ValueError(f"{attribute.name} is out of range")


def _number() -> Any:
    return field(validator=_check_number)


def _number_or(default: float) -> Any:
    return field(default=default, validator=_check_number)


class RouteKind(Enum):
    """The kind of a route; it decides which of its requests may be retried."""

    IDEMPOTENT = "idempotent"
    NOT_REPEATABLE = "not_repeatable"
    STREAM = "stream"


@frozen
class ServiceShare:
    """The weight of one service in a route's traffic split."""

    service: str
    weight: float = _number()


@frozen
class Route:
    """Requests for one host under one path prefix.

    `goal_s` is the target time to the answer, or to the first piece of a stream, and
    `gap_goal_s` the longest target gap between two pieces. A caller gets its final
    answer after `timeout_s` at the latest. One request is sent to at most
    `max_attempts` upstreams.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float = _number()
    goal_s: float = _number()
    gap_goal_s: float = _number_or(0.0)
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent to another upstream."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@frozen
class Service:
    """A group of interchangeable upstreams.

    With `keeps_prompts` they are engines with a prefix cache of the prompts that they
    have read, and with `keeps_copies` they also keep copies of the KV caches of streams
    that run elsewhere. Each has a KV cache for `memory_tokens` tokens and runs `slots`
    requests at a time, 0 if that is unknown.
    """

    name: str
    keeps_copies: bool = False
    keeps_prompts: bool = False
    memory_tokens: int = _number_or(0)
    slots: int = _number_or(0)


@frozen
class CallerLimits:
    """Limits on request sizes, and on how long callers may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = _number_or(3.0)
    idle_timeout_s: float = _number_or(15.0)


@frozen
class Workspace:
    """A workspace and the credentials of its callers."""

    name: str
    credentials: tuple[str, ...]
    priority: int | None = None


@frozen
class ListedConfiguration:
    """The configuration that the store lists: its version, and that of its row.

    `row_version` is None if it can't be compared with versions of this epoch.
    """

    version: int
    row_version: int | None


@frozen
class Configuration:
    """One version of the configuration that operators have put into force.

    Without `workspaces` requests need no credential. An empty tuple is a deployment
    whose last workspace was removed: no credential is known any more.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] | None = None
    limits: CallerLimits = field(factory=CallerLimits)
    ranked_services: frozenset[str] = field(init=False, repr=False, eq=False)
    routes_by_host: dict[str, list[Route]] = field(init=False, repr=False, eq=False)
    services_by_name: dict[str, Service] = field(init=False, repr=False, eq=False)
    workspaces_by_credential: dict[str, Workspace] = field(
        init=False, repr=False, eq=False
    )

    @ranked_services.default
    def _find_ranked_services(self) -> frozenset[str]:
        """Finds the services whose streams differ in rank by their routes."""
        ranks: dict[str, set[int]] = {}
        for route in self.routes:
            if route.kind is RouteKind.STREAM:
                for share in route.shares:
                    ranks.setdefault(share.service, set()).add(route.priority)
        return frozenset(name for name, found in ranks.items() if len(found) > 1)

    @routes_by_host.default
    def _index_routes(self) -> dict[str, list[Route]]:
        index: dict[str, list[Route]] = {}
        for route in self.routes:
            index.setdefault(route.host, []).append(route)
        for routes in index.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return index

    @services_by_name.default
    def _index_services(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    @workspaces_by_credential.default
    def _index_credentials(self) -> dict[str, Workspace]:
        return {
            credential: workspace
            for workspace in self.workspaces or ()
            for credential in workspace.credentials
        }

    def names_service(self, service: str) -> bool:
        """Tells whether a service is listed, or gets a share of some route."""
        return service in self.services_by_name or any(
            share.service == service for route in self.routes for share in route.shares
        )

    def needs_credential(self, route: Route) -> bool:
        """Tells whether only requests with a known credential may use a route."""
        return self.workspaces is not None and not route.public

    def find_workspace(self, credential: str | None) -> Workspace | None:
        """Finds the workspace of a credential; None without a known one."""
        if not credential:
            return None
        return self.workspaces_by_credential.get(credential)

    def find_route(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest prefix that matches the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
