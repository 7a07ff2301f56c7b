"""The daemon of a serving entry: one that calls its upstreams without sidecars."""

from __future__ import annotations

import signal
import sys
import time
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field
from twisted.internet.main import CONNECTION_DONE
from twisted.python.failure import Failure
from twisted.web.resource import Resource

from magnoliahold.core.events import LeaveRequested
from magnoliahold.core.policy import Policy
from magnoliahold.core.serving.entry import SERVING_SYSTEMS
from magnoliahold.core.serving.peers import PeerRecord
from magnoliahold.core.serving.systems.admission import find_head_refusal
from magnoliahold.core.serving.systems.completion import choose_retry_after
from magnoliahold.core.serving.systems.feeds import restart_feed_calls
from magnoliahold.core.serving.systems.leaving import STOP_REASON, find_unready_reason
from magnoliahold.core.serving.world import ServingWorld
from magnoliahold.daemon import make_identity, run_until_stopped, stop_reactor
from magnoliahold.endpoints import parse_endpoint
from magnoliahold.health import TextResource
from magnoliahold.inbound.intake import make_intake
from magnoliahold.inbound.sites import BoundedSite
from magnoliahold.journal import MetricsJournal
from magnoliahold.logs import configure_logging, make_part_logger, set_log_level
from magnoliahold.logwriting import NonBlockingStream, RateFilter
from magnoliahold.metrics import make_metrics
from magnoliahold.node import BROKEN_TABLES, Node
from magnoliahold.platform.callers import READY_PATH
from magnoliahold.platform.store import StoreClient
from magnoliahold.serving.callers import CallerFactory, Callers
from magnoliahold.serving.connections import ConnectionPool
from magnoliahold.serving.copies import KvCacheCopier
from magnoliahold.serving.memory import AnswerMemory
from magnoliahold.serving.notices import NoticePort, NoticeProtocol
from magnoliahold.serving.performers import ServingPorts
from magnoliahold.serving.prompts import PromptListClient
from magnoliahold.serving.upstreamexchanges import UpstreamExchanges
from magnoliahold.settings.serving import make_serving_policy

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from magnoliahold.core.identity import Identity
    from magnoliahold.metrics import Metrics
    from magnoliahold.settings.serving import ServingSettings

TICK_S = 0.02
LISTEN_BACKLOG = 512

logger = make_part_logger("daemon")


@define(eq=False)
class ServingDaemon:
    """A serving entry that runs in a reactor.

    `on_stopped` is called with the reason when it has stopped; `finishing` is the next
    look at whether it may, and `finish_limit` when requests must have been read.
    `is_leaving` is set by the order to stop, a tick before that is decided upon.
    `broken` is set when it stopped because its tables were inconsistent.
    """

    reactor: Any
    settings: ServingSettings
    node: Node
    metrics: Metrics
    on_stopped: Callable[[str], None]
    broken: bool = False
    is_leaving: bool = False
    finishing: Any = None
    finish_limit: float | None = None
    listeners: list[Any] = field(factory=list)
    auxiliary_listeners: list[Any] = field(factory=list)

    def listen(self, callers: Callers, notices: NoticePort) -> None:
        """Starts the ticks; serves callers, readiness checks, metrics and peers."""
        self.node.start_ticks()
        settings = self.settings
        self.listeners.append(self._listen_on(settings.callers, CallerFactory(callers)))
        intake = callers.intake
        for name, address, path, read in (
            ("readiness", settings.readiness, READY_PATH, self._read_readiness),
            ("metrics", settings.metrics, "/metrics", self._read_metrics),
        ):
            if address is not None:
                table = intake.add_other(name)
                site = BoundedSite(make_resource(path, read), intake, table)
                self.auxiliary_listeners.append(self._listen_on(address, site))
        if settings.peers is not None:
            own = parse_endpoint(settings.peers)
            protocol = NoticeProtocol(notices)
            listening = self.reactor.listenUDP(own.port, protocol, own.host)
            self.auxiliary_listeners.append(listening)
        logger.info("Process started.", name=settings.name, callers=settings.callers)

    def _listen_on(self, address: str, factory: Any) -> Any:
        endpoint = parse_endpoint(address)
        return self.reactor.listenTCP(
            endpoint.port, factory, LISTEN_BACKLOG, endpoint.host
        )

    def close_listener(self) -> None:
        """Accepts the connections that already wait, and stops listening.

        `stopListening` closes the socket only in the next pass of the reactor, which
        would reset the connections that are made until then.
        """
        for listener in self.listeners:
            # The kernel lets one connection more than the backlog wait.
            listener.numberAccepts = LISTEN_BACKLOG + 1
            listener.doRead()
            listener.connectionLost(Failure(CONNECTION_DONE))
        self.listeners.clear()

    def leave(self, reason: str) -> None:
        """Starts draining; `on_stopped` is called when nothing is in flight."""
        self.is_leaving = True
        self.node.post_event(LeaveRequested(reason))

    def finish(self, reason: str) -> None:
        """Stops once callers have taken their answers, or when the time is up.

        Ticks go on meanwhile: a request that was being read is still served, until the
        limit, and refused behind it. When a tick fails, that becomes the reason.
        """
        callers = self.node.ports.callers
        if callers.is_stopping:
            return
        self._cancel_finishing()
        left_s = self._find_finish_limit(reason) - self.reactor.seconds()
        self._try_step(self._look_at_callers, reason, left_s)
        flush_s = self.node.world.serving_policy.leave.flush_s
        if callers.channels and left_s > -flush_s:
            self.finishing = self.reactor.callLater(TICK_S, self.finish, reason)
            return
        if callers.channels:
            self._try_step(self._answer_rest, flush_s)
            logger.warning(
                "Connections were open at the stop.", connections=len(callers.channels)
            )
        self.stop(reason if self.node.running else BROKEN_TABLES)

    def _try_step(self, step: Callable[..., None], *arguments: object) -> None:
        """Does a step of a stop; an error in it must not make the process stay."""
        try:
            step(*arguments)
        except Exception:
            logger.exception("A step of the stop failed.", step=step.__name__)

    def _look_at_callers(self, reason: str, left_s: float) -> None:
        """Ends what can be ended; behind the limit, refuses what comes."""
        self.close_listener()
        callers = self.node.ports.callers
        if reason == BROKEN_TABLES:
            callers.fail_open_requests(reason)
        callers.close_idle()
        if left_s <= 0:
            retry_after_s = choose_retry_after(self.node.world)
            callers.refuse_later_requests(STOP_REASON, retry_after_s)
            callers.reject_unfinished()

    def _answer_rest(self, read_s: float) -> None:
        """Answers the requests that were read or wait to be read, without a pause.

        The reactor neither reads nor writes any more before it stops. Reading takes
        `read_s` seconds at most; what is left then is not read at all.
        """
        callers = self.node.ports.callers
        if self.node.running:
            self.node.world.next_scan_at = 0.0
            self.node.run_tick()
        if not self.node.running:
            callers.fail_open_requests(BROKEN_TABLES)
        callers.read_waiting(self.reactor.seconds() + read_s)
        callers.reject_unfinished(at_exit=True)
        callers.write_answers()

    def _find_finish_limit(self, reason: str) -> float:
        """Returns when callers must have sent their requests; no ticks, no service."""
        world = self.node.world
        if self.finish_limit is None and reason == BROKEN_TABLES:
            self.finish_limit = self.reactor.seconds()
        elif self.finish_limit is None:
            leave = world.serving_policy.leave
            self.finish_limit = (world.leaving_since or 0.0) + leave.limit_s
        return self.finish_limit

    def stop(self, reason: str) -> None:
        """Stops ticks, listeners and metrics, and calls `on_stopped`."""
        logger.info("Process is stopping.", reason=reason)
        self._cancel_finishing()
        self.broken = reason == BROKEN_TABLES
        self.node.stop_ticks()
        self.close_listener()
        self.node.ports.callers.is_stopping = True
        for listener in self.auxiliary_listeners:
            listener.stopListening()
        self.auxiliary_listeners.clear()
        self.metrics.shut_down()
        self.on_stopped(reason)

    def _cancel_finishing(self) -> None:
        if self.finishing is not None and self.finishing.active():
            self.finishing.cancel()

    def _read_readiness(self) -> tuple[int, bytes]:
        reason = find_unready_reason(self.node.world)
        return (503, f"{reason}\n".encode()) if reason else (200, b"ready\n")

    def _read_metrics(self) -> tuple[int, bytes]:
        self.metrics.set_gauge("longest_tick_seconds", self.node.longest_tick_s)
        for ended_by, count in self.node.ports.callers.unanswered.items():
            self.metrics.set_gauge("requests_unanswered", count, ended_by=ended_by)
        for cause, count in self.node.ports.callers.ends.items():
            label = cause.name.lower()
            self.metrics.set_gauge("connections_ended", count, cause=label)
        self.node.ports.callers.intake.report(self.metrics)
        answers = self.node.ports.upstreams.memory
        self.metrics.set_gauge("upstream_answers_held_bytes", answers.held_bytes)
        age_s = self.node.world.measure_proof_age()
        if age_s is not None:
            self.metrics.set_gauge("configuration_proof_age_seconds", age_s)
        return 200, self.metrics.render()


def make_resource(path: str, read: Callable[[], tuple[int, bytes]]) -> Resource:
    """Builds a resource tree that serves `read` at one path."""
    root = Resource()
    parent = root
    *folders, name = [part.encode() for part in path.strip("/").split("/")]
    for folder in folders:
        child = Resource()
        parent.putChild(folder, child)  # type: ignore[arg-type]
        parent = child
    parent.putChild(name, TextResource(read))  # type: ignore[arg-type]
    return root


def read_boot_clock() -> float:
    """Reads the seconds since the instance booted, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_serving_entry(
    reactor: Any, settings: ServingSettings, on_stopped: Callable[[str], None]
) -> ServingDaemon:
    """Builds a serving entry that listens on the addresses of its settings."""
    identity = make_identity(settings.name, "entry", settings.data_centre)
    metrics = make_metrics(settings.name)
    world = ServingWorld(
        identity=identity,
        random=Random(),
        policy=Policy(tick_s=TICK_S),
        serving_policy=make_serving_policy(settings),
        boot_clock=read_boot_clock,
    )
    ports: Any = None
    node = Node(reactor, world, SERVING_SYSTEMS, ports)
    bounds = settings.bounds
    intake = make_intake(
        reactor,
        world.serving_policy.intake,
        bounds.memory_mb,
        bounds.max_descriptors,
    )
    callers = Callers(
        reactor,
        node.post_event,
        intake=intake,
        find_head_refusal=lambda caller: find_head_refusal(world, caller),
    )
    answers = AnswerMemory(intake.memory.limits.answer_bytes)
    pool = ConnectionPool(reactor)
    exchanges = UpstreamExchanges(reactor, node.post_event, pool, answers)
    store_url = f"http://{settings.store}"
    store = StoreClient(reactor, store_url, node.post_event, read_boot_clock)
    daemon = ServingDaemon(reactor, settings, node, metrics, on_stopped)
    notices = NoticePort(node.post_event)
    node.ports = ServingPorts(
        journal=MetricsJournal(metrics),
        stop=lambda reason: reactor.callLater(0, daemon.finish, reason),
        callers=callers,
        upstreams=exchanges,
        prompts=PromptListClient(reactor, node.post_event),
        copies=KvCacheCopier(reactor, node.post_event),
        store=store,
        notices=notices,
        own_record=make_own_record(identity, settings),
        close_listener=daemon.close_listener,
    )
    daemon.listen(callers, notices)
    return daemon


def make_own_record(identity: Identity, settings: ServingSettings) -> PeerRecord | None:
    """Makes this entry's registration; None when no peer address is configured."""
    if settings.peers is None:
        return None
    endpoint = parse_endpoint(settings.peers)
    return PeerRecord(identity.name, identity.incarnation, endpoint.host, endpoint.port)


def run_serving_entry(path: Path, load: Callable[[Path], ServingSettings]) -> None:
    """Runs a serving entry until it has drained after SIGTERM or SIGINT.

    SIGHUP reloads the settings.
    """
    from twisted.internet import reactor as installed

    reactor: Any = installed
    started: list[ServingDaemon] = []

    def reload_started() -> None:
        for daemon in started:
            reload_settings(path, load, daemon)

    def handle_sighup(_: int, __: object) -> None:
        # The reactor runs this after the start, so no signal is lost before it.
        reactor.callFromThread(reload_started)

    signal.signal(signal.SIGHUP, handle_sighup)
    settings = load(path)
    configure_serving_logs(settings)

    def start() -> list[ServingDaemon]:
        daemon = make_serving_entry(reactor, settings, lambda _: stop_reactor(reactor))
        started.append(daemon)
        return started

    run_until_stopped(reactor, start)


def configure_serving_logs(settings: ServingSettings) -> None:
    """Sends all logs to standard output, rate-limited and without blocking."""
    stream: Any = NonBlockingStream(sys.stdout.fileno())
    handler = configure_logging(settings.name, settings.log.level, stream)
    handler.addFilter(RateFilter())


def reload_settings(
    path: Path, load: Callable[[Path], ServingSettings], daemon: ServingDaemon
) -> None:
    """Applies the settings that may change at run time; none if the file is invalid.

    A stop that has begun keeps its times: requests were taken by what is left of them.
    """
    try:
        settings = load(path)
        policy = make_serving_policy(settings)
    except Exception as error:
        logger.exception(
            "Reloading settings failed, the old ones stay.", reason=str(error)
        )
        return
    world = daemon.node.world
    if settings.store != daemon.settings.store:
        daemon.node.ports.store.set_base_url(f"http://{settings.store}")
        restart_feed_calls(world)
    if settings.log != daemon.settings.log:
        set_log_level(settings.log.level)
    daemon.settings = settings
    if daemon.is_leaving:
        policy = evolve(policy, leave=world.serving_policy.leave)
    world.serving_policy = policy
    bounds = settings.bounds
    intake = daemon.node.ports.callers.intake
    intake.apply(policy.intake, bounds.memory_mb, bounds.max_descriptors)
    answers = daemon.node.ports.upstreams.memory
    answers.limit_bytes = intake.memory.limits.answer_bytes
    logger.info("Settings reloaded.", name=settings.name)
