"""Runs a world: collects events, runs ticks on a clock and performs effects."""

from __future__ import annotations

import math
from functools import singledispatch
from logging import getLogger
from typing import TYPE_CHECKING, Any, Protocol

from attrs import define

from magnoliahold.core import effects
from magnoliahold.core.events import (
    InstancesListed,
    MessageExpired,
    MessageUnsent,
    Received,
    RowsRead,
    TransactionFinished,
)
from magnoliahold.core.identity import Sender
from magnoliahold.core.invariants import InvariantViolated
from magnoliahold.core.ticks import run_systems
from magnoliahold.wire.codec import NO_EXPIRY, Header
from magnoliahold.wire.messages import Heartbeat, StartCall, StartStream

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from magnoliahold.core.worlds import World
    from magnoliahold.runtime import Clock
    from magnoliahold.storage.interfaces import (
        InstanceList,
        InstanceService,
        Row,
        TableService,
        TransactionOutcome,
    )
    from magnoliahold.wire.messages import Message

logger = getLogger(__name__)

BROKEN_TABLES = "tables are inconsistent"

REPORTED_WHEN_UNSENT = (StartStream, StartCall)


class LinkPort(Protocol):
    """Sends messages to other processes; none are queued for an unreachable peer."""

    def open_link(self, peer: str, address: str, port: int) -> None:
        """Opens a link, replacing an existing one to the same process."""

    def replace_link(self, peer: str) -> None:
        """Replaces the connection of a silent link."""

    def close_link(self, peer: str) -> None:
        """Closes a link."""

    def send_message(self, peer: str, message: Message, header: Header) -> bool:
        """Sends a message now, or discards it and returns false."""


class Journal(Protocol):
    """Records decisions and metrics."""

    def log_decision(self, decision: effects.LogDecision) -> None:
        """Logs one decision."""

    def count_metric(self, metric: effects.CountMetric) -> None:
        """Adds to a counter."""

    def record_metric(self, metric: effects.RecordMetric) -> None:
        """Records a value of a histogram."""


@define
class Ports:
    """The interfaces through which a node performs its effects.

    `callers` and `operators` are used by entries only, `engine` and `service` by
    sidecars only; unused ports are None.
    """

    links: LinkPort
    tables: TableService
    instances: InstanceService
    journal: Journal
    stop: Callable[[str], None]
    callers: Any = None
    operators: Any = None
    engine: Any = None
    service: Any = None


@define(eq=False)
class Node:
    """The world of one process with its clock and ports.

    Events that arrive in the same iteration of the clock are applied together in one
    tick. Each tick knows up to when all that arrived was read before it: the clock
    reads between two iterations, so that is the end of the last tick of an earlier one.
    With `raise_violations`, as in tests, failed ticks and effects raise their
    exceptions.
    """

    clock: Clock
    world: Any
    systems: Sequence[Callable[[Any, float], None]]
    ports: Any
    longest_tick_s: float = 0.0
    violations: int = 0
    failed_effects: int = 0
    raise_violations: bool = False
    running: bool = False
    _tick_call: Any = None
    _periodic_call: Any = None
    _has_ticked_since_post: bool = False
    _last_started_at: float = -math.inf
    _last_ended_at: float | None = None

    def start_ticks(self) -> None:
        """Starts periodic ticks."""
        self.running = True
        self._run_periodic_tick()

    def stop_ticks(self) -> None:
        """Stops all ticks; later events are ignored."""
        self.running = False
        for call in (self._tick_call, self._periodic_call):
            if call is not None and call.active():
                call.cancel()

    def post_event(self, event: object) -> None:
        """Adds an event and schedules a tick without delay."""
        if not self.running:
            return
        self.world.inbox.add_event(event)
        if self._tick_call is None:
            self._has_ticked_since_post = False
            self._tick_call = self.clock.callLater(0, self._run_posted_tick)

    def receive_message(self, header: Header, message: Message) -> None:
        """Posts a message from a link, as MessageExpired when it is outdated.

        A heartbeat for an earlier incarnation is processed all the same: the answer
        informs the sender of the current incarnation.
        """
        sender = make_sender(header)
        if self._is_outdated(header) and not isinstance(message, Heartbeat):
            event: object = MessageExpired(sender, message)
        else:
            event = Received(sender, message)
        self.post_event(event)

    def run_tick(self) -> None:
        """Runs all systems and performs their effects."""
        started = self.clock.seconds()
        self._last_started_at = started
        try:
            pending = run_systems(self.world, self.systems, started)
        except Exception as error:
            self._stop_after_failure(error)
            return
        for effect in pending:
            self._perform_isolated(effect)
        self._last_ended_at = ended = self.clock.seconds()
        self.longest_tick_s = max(self.longest_tick_s, ended - started)

    def run_pending_tick(self) -> None:
        """Runs the tick that posted events wait for, if there is one."""
        call = self._tick_call
        if self.running and call is not None and call.active():
            call.cancel()
            self._tick_call = None
            self.run_tick()

    def _perform_isolated(self, effect: object) -> None:
        """Performs an effect; a failure must not prevent the other effects."""
        try:
            perform_effect(effect, self)
        except Exception as error:
            if self.raise_violations:
                raise
            self.failed_effects += 1
            name = type(effect).__name__
            logger.error("node: Effect failed. %s", name, exc_info=error)

    def _is_outdated(self, header: Header) -> bool:
        incarnation = self.world.identity.incarnation
        if header.receiver_incarnation not in ("", incarnation):
            return True
        if header.expires_at == NO_EXPIRY:
            return False
        return self.clock.seconds() > header.expires_at

    def _run_posted_tick(self) -> None:
        self._tick_call = None
        if not self.running:
            return
        if not self._has_ticked_since_post:
            self.world.read_at = self._last_ended_at
        self.run_tick()

    def _run_periodic_tick(self) -> None:
        """Runs a tick; one that was posted for the same iteration follows it.

        A tick that began since this one was due may have run in the same iteration.
        """
        due_at = self._periodic_call.getTime() if self._periodic_call else 0.0
        if self._last_started_at < due_at:
            self.world.read_at = self._last_ended_at
        self._has_ticked_since_post = True
        interval = self.world.policy.tick_s
        self._periodic_call = self.clock.callLater(interval, self._run_periodic_tick)
        self.run_tick()

    def _stop_after_failure(self, error: Exception) -> None:
        """Stops the process, since a failed tick leaves the tables inconsistent.

        Work in flight is resumed elsewhere, as after any other loss of the process.
        """
        if isinstance(error, InvariantViolated):
            self.violations += 1
        logger.critical(
            "invariant: Tables are inconsistent, stopping. %s", error, exc_info=error
        )
        self.stop_ticks()
        if self.raise_violations:
            raise error
        self.ports.stop(BROKEN_TABLES)


def make_sender(header: Header) -> Sender:
    """Builds the sender of a message from its header."""
    return Sender(header.sender, header.incarnation)


def make_header(world: World, receiver: str, expires_s: float, now: float) -> Header:
    """Builds the header of a message to `receiver`.

    The expiry is on the receiver's clock, as estimated from its last heartbeat.
    """
    peer = world.peers.peers.get(receiver)
    incarnation = peer.incarnation if peer else ""
    expires_at = NO_EXPIRY
    if expires_s and peer and incarnation:
        expires_at = now + peer.clock_offset + expires_s
    identity = world.identity
    return Header(identity.name, identity.incarnation, 0, incarnation, expires_at)


@singledispatch
def perform_effect(effect: object, node: Node) -> None:
    """Performs one effect on the node's ports."""
    raise TypeError(f"no performer for {type(effect).__name__}; register one")


@perform_effect.register(effects.SendMessage)
def _send_message(effect: effects.SendMessage, node: Node) -> None:
    now = node.clock.seconds()
    header = make_header(node.world, effect.receiver, effect.expires_s, now)
    sent = node.ports.links.send_message(effect.receiver, effect.message, header)
    if not sent and isinstance(effect.message, REPORTED_WHEN_UNSENT):
        node.post_event(MessageUnsent(effect.receiver, effect.message))


@perform_effect.register(effects.OpenLink)
def _open_link(effect: effects.OpenLink, node: Node) -> None:
    node.ports.links.open_link(effect.peer, effect.address, effect.port)


@perform_effect.register(effects.ReplaceLink)
def _replace_link(effect: effects.ReplaceLink, node: Node) -> None:
    node.ports.links.replace_link(effect.peer)


@perform_effect.register(effects.CloseLink)
def _close_link(effect: effects.CloseLink, node: Node) -> None:
    node.ports.links.close_link(effect.peer)


@perform_effect.register(effects.LogDecision)
def _log_decision(effect: effects.LogDecision, node: Node) -> None:
    node.ports.journal.log_decision(effect)


@perform_effect.register(effects.CountMetric)
def _count_metric(effect: effects.CountMetric, node: Node) -> None:
    node.ports.journal.count_metric(effect)


@perform_effect.register(effects.RecordMetric)
def _record_metric(effect: effects.RecordMetric, node: Node) -> None:
    node.ports.journal.record_metric(effect)


@perform_effect.register(effects.ReportError)
def _report_error(effect: effects.ReportError, node: Node) -> None:
    logger.critical(
        "invariant: System failed, its table was emptied. %s",
        effect.system,
        exc_info=effect.error,
    )


@perform_effect.register(effects.StopProcess)
def _stop_process(effect: effects.StopProcess, node: Node) -> None:
    node.ports.stop(effect.reason)


@perform_effect.register(effects.Transact)
def _transact(effect: effects.Transact, node: Node) -> None:
    def post_outcome(outcome: TransactionOutcome | None) -> None:
        node.post_event(TransactionFinished(effect.token, outcome))

    answer = node.ports.tables.transact(effect.conditions, effect.writes)
    answer.addCallbacks(post_outcome, lambda _: post_outcome(None))


@perform_effect.register(effects.ReadRow)
def _read_row(effect: effects.ReadRow, node: Node) -> None:
    def post_row(row: Row | None) -> None:
        node.post_event(RowsRead(effect.token, (row,) if row else ()))

    answer = node.ports.tables.read_row(effect.table, effect.key)
    answer.addCallbacks(post_row, lambda _: node.post_event(_no_rows(effect.token)))


@perform_effect.register(effects.ScanRows)
def _scan_rows(effect: effects.ScanRows, node: Node) -> None:
    def post_rows(rows: tuple[Row, ...]) -> None:
        node.post_event(RowsRead(effect.token, tuple(rows)))

    answer = node.ports.tables.scan_rows(effect.table, effect.after, effect.limit)
    answer.addCallbacks(post_rows, lambda _: node.post_event(_no_rows(effect.token)))


@perform_effect.register(effects.ListInstances)
def _list_instances(effect: effects.ListInstances, node: Node) -> None:
    def post_list(listed: InstanceList) -> None:
        node.post_event(InstancesListed(listed.instances))

    answer = node.ports.instances.list_instances()
    answer.addCallbacks(post_list, lambda _: node.post_event(InstancesListed(None)))


def _no_rows(token: str) -> RowsRead:
    return RowsRead(token, None)
