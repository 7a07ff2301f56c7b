"""Code shared by the entry and sidecar daemons."""

from __future__ import annotations

import gc
import signal
from secrets import token_hex
from typing import TYPE_CHECKING, Any, Protocol

from attrs import define, field

from magnoliahold.core.events import LeaveRequested, LinkBroke
from magnoliahold.core.identity import Identity
from magnoliahold.core.peers import Peer
from magnoliahold.core.systems.membership import add_peer
from magnoliahold.errors import ProcessBrokenError
from magnoliahold.gatheredlines import LINES
from magnoliahold.headernames import bound_kept_names
from magnoliahold.inbound.intake import make_intake
from magnoliahold.journal import MetricsJournal
from magnoliahold.logs import make_part_logger
from magnoliahold.metrics import make_metrics
from magnoliahold.node import BROKEN_TABLES, Ports
from magnoliahold.runtime import use_monotonic_clock
from magnoliahold.storage.instances import make_instance_client
from magnoliahold.storage.tables import make_table_client
from magnoliahold.wire.links import make_links

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from magnoliahold.entry.untaken import UntakenAnswers
    from magnoliahold.inbound.intake import Intake
    from magnoliahold.metrics import Metrics
    from magnoliahold.node import Node
    from magnoliahold.settings.model import (
        EntrySettings,
        PeerSettings,
        SidecarSettings,
    )
    from magnoliahold.wire.codec import Header
    from magnoliahold.wire.links import ZmqLinks
    from magnoliahold.wire.messages import Message

INCARNATION_BYTES = 4
# How often a stop looks whether callers have taken their answers.
LOOK_S = 0.02

logger = make_part_logger("daemon")


@define(eq=False)
class Daemon:
    """One entry or sidecar process running on a reactor.

    `on_stopped` is called with the reason once the daemon has stopped. `broken` is
    set when it stopped because a failed tick left its tables inconsistent. `intake`
    bounds what those who connect make it hold. `untaken`
    are the answers that a stop waits for, until `finish_limit` on the reactor's clock.
    """

    reactor: Any
    identity: Identity
    node: Node
    links: ZmqLinks
    metrics: Metrics
    intake: Intake
    on_stopped: Callable[[str], None]
    broken: bool = False
    listeners: list[Any] = field(factory=list)
    link_port: int = 0
    untaken: list[UntakenAnswers] = field(factory=list)
    finish_limit: float | None = None
    _finishing: Any = None

    def add_listener(self, site: Any, address: str, port: int) -> int:
        """Serves a site and returns its port; port 0 selects a free port."""
        listener = self.reactor.listenTCP(port, site, interface=address)
        self.listeners.append(listener)
        return int(listener.getHost().port)

    def start_links(self, address: str, port: int) -> None:
        """Listens for link connections and starts the periodic ticks."""
        self.link_port = self.links.listen(address, port)
        self.node.start_ticks()
        logger.info(
            "Process started.", role=self.identity.role, name=self.identity.name
        )

    def add_peers(self, peers: Iterable[PeerSettings]) -> None:
        """Adds the peers listed in the settings; a link to each is then opened."""
        for settings in peers:
            peer = Peer(
                name=settings.name,
                role=settings.role,
                address=settings.address,
                port=settings.link_port,
                data_centre=settings.data_centre,
            )
            add_peer(self.node.world, peer, self.reactor.seconds())

    def render_metrics(self) -> bytes:
        """Renders the metrics, with tick and link gauges brought up to date."""
        self.metrics.set_gauge("longest_tick_seconds", self.node.longest_tick_s)
        self.metrics.set_gauge("effects_failed", self.node.failed_effects)
        self.metrics.set_gauge("link_messages_broken", self.links.broken_messages)
        self.metrics.set_gauge("link_messages_dropped", self.links.dropped_messages)
        self.intake.report(self.metrics)
        return self.metrics.render()

    def leave(self, reason: str) -> None:
        """Starts draining; `on_stopped` is called when nothing is in flight."""
        logger.info("Process is draining.", reason=reason)
        self.node.post_event(LeaveRequested(reason))

    def finish(self, reason: str) -> None:
        """Stops once callers have taken their answers, or when the time is up.

        Ticks go on meanwhile. When one fails, the stop waits no longer.
        """
        self._cancel_finishing()
        if reason != BROKEN_TABLES and self._awaits_callers():
            self._finishing = self.reactor.callLater(LOOK_S, self.finish, reason)
        else:
            self.stop(reason)

    def _awaits_callers(self) -> bool:
        now = self.reactor.seconds()
        if self.finish_limit is None:
            self.finish_limit = now + self.node.world.policy.drain.take_limit_s
        if now < self.finish_limit:
            looks = [answers.is_any_taken() for answers in self.untaken]
            return any(looks)
        logger.warning("Callers had answers to take at the stop.")
        return False

    def _cancel_finishing(self) -> None:
        if self._finishing is not None and self._finishing.active():
            self._finishing.cancel()

    def stop(self, reason: str) -> None:
        """Stops the ticks, closes all sockets and calls `on_stopped`."""
        logger.info("Process is stopping.", reason=reason)
        self._cancel_finishing()
        self.node.run_pending_tick()
        self.broken = reason == BROKEN_TABLES
        self.node.stop_ticks()
        for listener in self.listeners:
            listener.stopListening()
        self.listeners.clear()
        self.links.close_all()
        self.metrics.shut_down()
        self.on_stopped(reason)


def make_identity(name: str, role: str, data_centre: str) -> Identity:
    """Builds the identity of a process, with a new incarnation for each start."""
    return Identity(name, f"{name}.{token_hex(INCARNATION_BYTES)}", role, data_centre)


def make_daemon(
    reactor: Any,
    identity: Identity,
    settings: EntrySettings | SidecarSettings,
    make_node: Callable[[Ports], Node],
    on_stopped: Callable[[str], None],
) -> Daemon:
    """Builds a daemon; `make_node` builds its node from the given ports."""

    def receive_message(header: Header, message: Message) -> None:
        daemon.node.receive_message(header, message)

    def handle_broken_link(peer: str) -> None:
        daemon.node.post_event(LinkBroke(peer))

    def stop_later(reason: str) -> None:
        reactor.callLater(0, daemon.finish, reason)

    metrics = make_metrics(identity.name)
    links = make_links(reactor, identity, receive_message, handle_broken_link)
    platform = settings.platform
    ports = Ports(
        links=links,
        tables=make_table_client(reactor, platform.base_url, platform.timeout_s),
        instances=make_instance_client(reactor, platform.base_url, platform.timeout_s),
        journal=MetricsJournal(metrics),
        stop=stop_later,
    )
    node = make_node(ports)
    instance = settings.instance
    intake = make_intake(
        reactor, settings.intake, instance.memory_mb, instance.max_descriptors
    )
    daemon = Daemon(reactor, identity, node, links, metrics, intake, on_stopped)
    return daemon


class Drainable(Protocol):
    """A daemon that can be drained.

    `broken` is set when it stopped because a failed tick left its tables inconsistent.
    """

    node: Node
    broken: bool

    def leave(self, reason: str) -> None:
        """Starts draining; the daemon stops when nothing is in flight."""


def run_until_stopped(reactor: Any, start: Callable[[], Sequence[Drainable]]) -> None:
    """Runs daemons until SIGTERM or SIGINT; a later SIGINT stops without draining.

    The first signal drains the daemons. A later SIGTERM changes nothing: orders to stop
    may come from several sides, and whoever wants no drain sends SIGKILL.

    Raises any exception that `start` raised, and ProcessBrokenError when a daemon
    stopped because its tables were inconsistent.
    """
    daemons: list[Drainable] = []
    failures: list[Exception] = []
    early_signals: list[str] = []

    def handle_signal(number: int, frame: object) -> None:
        name = signal.Signals(number).name
        if not daemons:
            early_signals.append(name)
            return
        if any(item.node.world.leaving_since is not None for item in daemons):
            if number == signal.SIGINT:
                reactor.callFromThread(reactor.stop)
            return
        for item in daemons:
            reactor.callFromThread(item.leave, name)

    def start_daemons() -> None:
        try:
            daemons.extend(start())
            for name in early_signals[:1]:
                for item in daemons:
                    item.leave(name)
        except Exception as error:
            failures.append(error)
            reactor.stop()

    use_monotonic_clock(reactor)
    bound_kept_names()
    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    reactor.callWhenRunning(start_daemons)
    exclude_modules_from_collection()
    LINES.clock = reactor
    reactor.run(installSignalHandlers=False)
    ignore_signals()
    LINES.stop()
    # Else the interpreter looks for garbage at exit, which takes longer than the rest.
    gc.freeze()
    if failures:
        raise failures[0]
    if any(item.broken for item in daemons):
        raise ProcessBrokenError


def ignore_signals() -> None:
    """Ignores orders that come while the interpreter exits.

    It restores the defaults of handled signals before its end, by which one more order
    would end the process as if it had failed.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


def exclude_modules_from_collection() -> None:
    """Spares the garbage collector what was loaded so far, which stays to the end.

    A full collection stops the process, longer than most decisions take, and the
    modules are most of what it would look at.
    """
    gc.collect()
    gc.freeze()


def stop_reactor(reactor: Any) -> None:
    """Stops the reactor if it is running."""
    if reactor.running:
        reactor.stop()
