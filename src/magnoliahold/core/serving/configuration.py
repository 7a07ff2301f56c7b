"""What operators want served: routes, services, workspaces and limits."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen


class RouteKind(Enum):
    """What may be repeated of the requests on a route."""

    IDEMPOTENT = "idempotent"
    NOT_REPEATABLE = "not_repeatable"
    STREAM = "stream"


@frozen
class ServiceShare:
    """The part of a route's requests that goes to one service."""

    service: str
    weight: float


@frozen
class Route:
    """Requests of one host under one path prefix.

    `goal_s` is the time within which an answer, or the first piece of a stream, is
    wanted, and `gap_goal_s` the longest pause wanted between two pieces. At
    `timeout_s` a caller gets its final answer. At most `max_attempts` upstreams are
    handed one request.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    goal_s: float
    gap_goal_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be handed to another upstream."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@frozen
class Service:
    """A group of upstreams that are alike.

    With `keeps_prompts` they are engines that keep prompts which they have read, and
    with `keeps_copies` also copies of the memory of streams that run elsewhere. Each
    has memory for `memory_tokens`, 0 where that is not known.
    """

    name: str
    keeps_copies: bool = False
    keeps_prompts: bool = False
    memory_tokens: int = 0


@frozen
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class Workspace:
    """A workspace and the credentials of its callers."""

    name: str
    credentials: tuple[str, ...]
    priority: int | None = None


@frozen
class Configuration:
    """Everything that operators have in force, as of one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = field(factory=CallerLimits)
    routes_by_host: dict[str, list[Route]] = field(init=False, repr=False, eq=False)
    services_by_name: dict[str, Service] = field(init=False, repr=False, eq=False)
    workspaces_by_credential: dict[str, Workspace] = field(
        init=False, repr=False, eq=False
    )

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
            for workspace in self.workspaces
            for credential in workspace.credentials
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
