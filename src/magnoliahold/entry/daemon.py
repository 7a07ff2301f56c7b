"""Builds and runs the entry daemon."""

from __future__ import annotations

from random import Random
from time import time
from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource

from magnoliahold.daemon import (
    make_daemon,
    make_identity,
    run_until_stopped,
    stop_reactor,
)
from magnoliahold.entry.nodes import make_entry_node
from magnoliahold.entry.operators import (
    OperatorRequests,
    OperatorSite,
    add_operator_resources,
)
from magnoliahold.entry.requests import EntrySite
from magnoliahold.entry.resources import CallerSite, make_caller_resource
from magnoliahold.entry.responders import OpenRequests
from magnoliahold.health import add_health_resources
from magnoliahold.logs import configure_logging

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.worlds import EntryWorld
    from magnoliahold.daemon import Daemon
    from magnoliahold.node import Node, Ports
    from magnoliahold.settings.model import EntrySettings


def make_entry(
    reactor: Any, settings: EntrySettings, on_stopped: Callable[[str], None]
) -> Daemon:
    """Builds an entry that listens on the ports given in its settings."""
    identity = make_identity(settings.name, "entry", settings.data_centre)
    open_requests = OpenRequests()
    operator_requests = OperatorRequests()

    def make_node(ports: Ports) -> Node:
        ports.callers = open_requests
        ports.operators = operator_requests
        node = make_entry_node(reactor, identity, ports, Random(), settings.policy)
        node.world.wall_clock = read_wall_clock
        return node

    daemon = make_daemon(reactor, identity, settings, make_node, on_stopped)
    daemon.start_links(settings.address, settings.link_port)
    daemon.add_peers(settings.peers)
    _serve_callers(daemon, settings, open_requests)
    _serve_operators(daemon, settings, operator_requests)
    return daemon


def read_wall_clock(now: float) -> float:
    """Returns seconds since the epoch; `now`, on the process clock, is ignored.

    The process clock is monotonic, so wall clock time can't be derived from it.
    """
    return time()


def _serve_callers(
    daemon: Daemon, settings: EntrySettings, open_requests: OpenRequests
) -> None:
    world = daemon.node.world
    caller_site = CallerSite(
        credentials=settings.credentials,
        open_requests=open_requests,
        post=daemon.node.post_event,
        make_request_id=lambda: world.make_id("request"),
    )
    resource = make_caller_resource(caller_site)
    max_bytes = settings.limits.max_body_bytes
    site = EntrySite(
        resource,
        daemon.intake,
        daemon.intake.add_callers(),
        max_bytes,
        caller_site.find_workspace,
    )
    daemon.untaken.append(site.untaken)
    daemon.add_listener(site, settings.address, settings.caller_port)


def _serve_operators(
    daemon: Daemon, settings: EntrySettings, open_requests: OperatorRequests
) -> None:
    root = Resource()
    world = daemon.node.world
    operator_site = OperatorSite(
        credentials=settings.credentials,
        open_requests=open_requests,
        post=daemon.node.post_event,
        make_request_id=lambda: world.make_id("operation"),
    )
    add_operator_resources(root, operator_site)
    add_health_resources(
        root, daemon.render_metrics, lambda: find_unready_reason(world)
    )
    site = EntrySite(
        root,
        daemon.intake,
        daemon.intake.add_other("operators"),
        settings.limits.max_body_bytes,
        operator_site.require_operator,
    )
    daemon.untaken.append(site.untaken)
    daemon.add_listener(site, settings.address, settings.operator_port)


def find_unready_reason(world: EntryWorld) -> str:
    """Returns why the entry isn't ready for requests, or an empty string."""
    if world.leaving_since is not None:
        return "leaving"
    if not any(peer.usable for peer in world.peers.list_by_role("sidecar")):
        return "no upstream is usable"
    return ""


def run_entry(settings: EntrySettings) -> None:
    """Runs an entry until a signal stops it."""
    from twisted.internet import reactor

    configure_logging(settings.name, settings.log.level)
    run_until_stopped(
        reactor,
        lambda: [make_entry(reactor, settings, lambda _: stop_reactor(reactor))],
    )
