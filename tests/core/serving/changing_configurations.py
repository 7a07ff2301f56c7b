"""Configurations that operators may draw up one after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from magnoliahold.core.serving.configuration import RouteKind, ServiceShare, Workspace
from tests.core.serving.harness import (
    CREDENTIAL,
    ENGINES,
    make_configuration,
    make_route,
)

if TYPE_CHECKING:
    from random import Random

    from magnoliahold.core.serving.configuration import Configuration, Route


def make_wide_configuration(version: int) -> Configuration:
    """Makes a configuration with streams of two ranks, calls, and two workspaces."""
    whole = make_configuration(version)
    urgent = evolve(
        make_route(RouteKind.STREAM, ENGINES, priority=1),
        name="urgent",
        prefix="/urgent/",
    )
    others = Workspace("workspace-2", ("credential-2",))
    return evolve(
        whole,
        routes=(*whole.routes, urgent),
        workspaces=(*whole.workspaces, others),
    )


def draw_configuration(draw: Random, whole: Configuration) -> Configuration:
    """Draws a configuration that lacks or changes some of what the first has."""
    routes = [
        draw.choice((route, draw_route(draw, route)))
        for route in whole.routes
        if draw.random() < 0.9
    ]
    services = [item for item in whole.services if draw.random() < 0.9]
    engines = evolve(
        whole.services[0],
        keeps_copies=draw.random() < 0.7,
        keeps_prompts=draw.random() < 0.7,
        memory_tokens=draw.choice((0, 9000, 88_000)),
        slots=draw.choice((0, 1, 4)),
    )
    rank = draw.choice((None, 0, 5))
    others = (
        Workspace("workspace-1b", (CREDENTIAL,), rank),
        Workspace("workspace-2", ("credential-2",)),
    )
    return evolve(
        whole,
        routes=tuple(routes),
        services=draw.choice((whole.services, tuple(services), (engines,))),
        workspaces=draw.choice((whole.workspaces, others, others[1:], None)),
    )


def draw_route(draw: Random, route: Route) -> Route:
    """Draws a changed route."""
    weights = (draw.choice((0.0, 0.5, 1.0)), draw.choice((0.0, 0.5, 1.0)))
    other = draw.choice(("nowhere", route.shares[0].service))
    shares = (
        ServiceShare(route.shares[0].service, weights[0]),
        ServiceShare(other, weights[1]),
    )
    return evolve(
        route,
        name=draw.choice((route.name, f"{route.name}-renamed")),
        shares=draw.choice((shares, route.shares, route.shares)),
        timeout_s=draw.choice((0.1, 0.5, 1.5, 25.0)),
        goal_s=draw.choice((0.0, 0.2, 4.5)),
        gap_goal_s=draw.choice((0.0, 0.7)),
        max_attempts=draw.randint(1, 5),
        priority=draw.randint(0, 3),
        public=draw.random() < 0.2,
        resumable=draw.choice((route.resumable, False)),
    )
