"""Builds and runs the sidecar daemon."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource

from magnoliahold.core.streams import Upstream
from magnoliahold.daemon import (
    make_daemon,
    make_identity,
    run_until_stopped,
    stop_reactor,
)
from magnoliahold.health import add_health_resources
from magnoliahold.inbound.sites import BoundedSite
from magnoliahold.logs import configure_logging
from magnoliahold.sidecar.adapters import EngineAdapter, ServiceAdapter
from magnoliahold.sidecar.engine_client import make_engine_client
from magnoliahold.sidecar.nodes import make_sidecar_node
from magnoliahold.sidecar.service_client import make_service_client

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.worlds import SidecarWorld
    from magnoliahold.daemon import Daemon
    from magnoliahold.node import Node, Ports
    from magnoliahold.settings.model import SidecarSettings


def make_sidecar(
    reactor: Any, settings: SidecarSettings, on_stopped: Callable[[str], None]
) -> Daemon:
    """Builds a sidecar that listens on the ports given in its settings."""
    identity = make_identity(settings.name, "sidecar", settings.data_centre)
    upstream = Upstream(
        name=settings.upstream.name,
        kind=settings.upstream.kind,
        capacity=settings.upstream.capacity,
        checks_fencing=settings.upstream.checks_fencing,
    )

    def make_node(ports: Ports) -> Node:
        _add_upstream_port(reactor, settings, ports, post)
        return make_sidecar_node(
            reactor, identity, upstream, ports, Random(), settings.policy
        )

    def post(event: object) -> None:
        daemon.node.post_event(event)

    daemon = make_daemon(reactor, identity, settings, make_node, on_stopped)
    daemon.start_links(settings.address, settings.link_port)
    daemon.add_peers(settings.peers)
    table = daemon.intake.add_other("operators")
    site = BoundedSite(_make_resource(daemon), daemon.intake, table)
    daemon.add_listener(site, settings.address, settings.operator_port)
    return daemon


def _add_upstream_port(
    reactor: Any,
    settings: SidecarSettings,
    ports: Ports,
    post: Callable[[object], None],
) -> None:
    base_url = settings.upstream.base_url
    if settings.upstream.kind == "engine":
        ports.engine = EngineAdapter(make_engine_client(reactor, base_url), post)
    else:
        client = make_service_client(reactor, base_url)
        ports.service = ServiceAdapter(client, post, settings.upstream.name)


def _make_resource(daemon: Daemon) -> Resource:
    root = Resource()
    add_health_resources(
        root, daemon.render_metrics, lambda: find_unready_reason(daemon.node.world)
    )
    return root


def find_unready_reason(world: SidecarWorld) -> str:
    """Returns why the sidecar isn't ready for work, or an empty string."""
    if world.leaving_since is not None:
        return "leaving"
    return "" if world.upstream.ready else "upstream does not answer"


def run_sidecar(settings: SidecarSettings) -> None:
    """Runs a sidecar until a signal stops it."""
    from twisted.internet import reactor

    configure_logging(settings.name, settings.log.level)
    run_until_stopped(
        reactor,
        lambda: [make_sidecar(reactor, settings, lambda _: stop_reactor(reactor))],
    )
