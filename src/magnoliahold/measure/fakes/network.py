"""Links between fake processes, with delay, loss, reordering, cuts and silence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from magnoliahold.core.events import LinkBroke
from magnoliahold.wire.messages import Heartbeat

if TYPE_CHECKING:
    from random import Random

    from twisted.internet.task import Clock

    from magnoliahold.measure.fakes.clock import ProcessClock
    from magnoliahold.node import Node
    from magnoliahold.wire.codec import Header
    from magnoliahold.wire.messages import Message


@frozen
class NetworkConditions:
    """Delays, and the shares of messages that are lost or reordered."""

    delay_s: float = 0.001
    jitter_s: float = 0.0005
    lost_share: float = 0.0
    reordered_share: float = 0.0
    reorder_delay_s: float = 0.05


@define(eq=False)
class Connection:
    """One connection that `client` opened to `server`.

    A silent connection stays open but carries no messages in either direction. The
    client's messages before the end of the handshake at `ready_at` are dropped, except
    for the last heartbeat, which is sent at that time.
    """

    client: str
    server: str
    number: int
    ready_at: float = 0.0
    pending_heartbeat: tuple[Header, Message] | None = None
    silent: bool = False
    next_arrival: dict[str, float] = field(factory=dict)


@define(eq=False)
class Process:
    """A live fake process."""

    name: str
    node: Node
    clock: ProcessClock


@define(eq=False)
class FakeNetwork:
    """All connections between processes, and their faults.

    Messages on one connection keep their order, except for `reordered_share` of them.
    Messages to a process that no longer exists are lost. `messages_to_drop` holds the
    number of next messages of a class to lose.
    """

    clock: Clock
    random: Random
    conditions: NetworkConditions = field(factory=NetworkConditions)
    processes: dict[str, Process] = field(factory=dict)
    connections: dict[tuple[str, str], Connection] = field(factory=dict)
    routes: dict[tuple[str, str], Connection] = field(factory=dict)
    cut_pairs: set[frozenset[str]] = field(factory=set)
    messages_to_drop: dict[type, int] = field(factory=dict)
    messages: int = 0
    next_number: int = 0

    def add_process(self, process: Process) -> None:
        """Adds a process; an earlier process of that name must have been removed."""
        self.processes[process.name] = process

    def remove_process(self, name: str) -> None:
        """Removes a process with all its connections."""
        process = self.processes.pop(name)
        process.clock.stop_calls()
        process.node.stop_ticks()
        for pair in [pair for pair in self.connections if name in pair]:
            del self.connections[pair]
        for pair in [pair for pair in self.routes if name in pair]:
            del self.routes[pair]

    def report_reset_links(self, name: str) -> None:
        """Reports a reset connection to each client of a killed process."""
        for client, server in list(self.connections):
            process = self.processes.get(client)
            silent = self.connections[client, server].silent
            if server != name or process is None or silent:
                continue
            if frozenset((client, server)) in self.cut_pairs:
                continue
            self.clock.callLater(
                self.conditions.delay_s, self._post_link_broke, process, LinkBroke(name)
            )

    def _post_link_broke(self, process: Process, event: LinkBroke) -> None:
        process.clock.run_call(lambda: process.node.post_event(event))

    def cut_pair(self, first: str, second: str) -> None:
        """Drops all messages between two processes until `reconnect_pair`."""
        self.cut_pairs.add(frozenset((first, second)))

    def reconnect_pair(self, first: str, second: str) -> None:
        """Ends a cut."""
        self.cut_pairs.discard(frozenset((first, second)))

    def silence_connection(self, client: str, server: str) -> bool:
        """Makes the current connection silent; returns whether there is one."""
        connection = self.connections.get((client, server))
        if connection is not None:
            connection.silent = True
        return connection is not None

    def open_connection(self, client: str, server: str) -> None:
        """Opens a connection, which replaces an earlier one."""
        self.next_number += 1
        handshake_s = 2 * self.conditions.delay_s
        ready_at = float(self.clock.seconds()) + handshake_s
        connection = Connection(client, server, self.next_number, ready_at)
        self.connections[client, server] = connection
        self.clock.callLater(handshake_s, self._send_pending_heartbeat, connection)

    def _send_pending_heartbeat(self, connection: Connection) -> None:
        pending_heartbeat, connection.pending_heartbeat = (
            connection.pending_heartbeat,
            None,
        )
        if pending_heartbeat is not None:
            header, message = pending_heartbeat
            client, server = connection.client, connection.server
            if self.connections.get((client, server)) is connection:
                self.send_message(client, server, message, header)

    def close_connection(self, client: str, server: str) -> None:
        """Closes a connection."""
        self.connections.pop((client, server), None)

    def send_message(
        self, sender: str, receiver: str, message: Message, header: Header
    ) -> bool:
        """Sends on the connection to the receiver, or on the one from the receiver."""
        connection = self.connections.get((sender, receiver))
        if connection is None:
            connection = self.routes.get((sender, receiver))
        if connection is None or receiver not in self.processes:
            return False
        if sender == connection.client and self.clock.seconds() < connection.ready_at:
            if isinstance(message, Heartbeat):
                connection.pending_heartbeat = (header, message)
            return False
        self.messages += 1
        if self._consume_drop(message):
            return True
        header = evolve(header, link_number=connection.number)
        at = self._compute_arrival_time(connection, receiver)
        if self.random.random() >= self.conditions.lost_share:
            delay = at - self.clock.seconds()
            self.clock.callLater(
                delay, self._arrive, connection, receiver, header, message
            )
        return True

    def _consume_drop(self, message: Message) -> bool:
        """Checks and decrements the number of messages of this class to drop."""
        remaining = self.messages_to_drop.get(type(message), 0)
        self.messages_to_drop[type(message)] = max(0, remaining - 1)
        return remaining > 0

    def _compute_arrival_time(self, connection: Connection, receiver: str) -> float:
        conditions = self.conditions
        delay = conditions.delay_s + self.random.uniform(0, conditions.jitter_s)
        at = float(self.clock.seconds()) + delay
        if self.random.random() < conditions.reordered_share:
            return at + self.random.uniform(0, conditions.reorder_delay_s)
        at = max(at, connection.next_arrival.get(receiver, 0.0))
        connection.next_arrival[receiver] = at
        return at

    def _arrive(
        self, connection: Connection, receiver: str, header: Header, message: Message
    ) -> None:
        process = self.processes.get(receiver)
        pair = frozenset((connection.client, connection.server))
        if process is None or connection.silent or pair in self.cut_pairs:
            return
        if receiver == connection.server:
            self._record_route(connection)
        process.clock.run_call(lambda: process.node.receive_message(header, message))

    def _record_route(self, connection: Connection) -> None:
        """Routes answers to the newest connection that the client has used."""
        key = (connection.server, connection.client)
        known = self.routes.get(key)
        if known is None or known.number < connection.number:
            self.routes[key] = connection


@frozen
class FakeLinks:
    """The link port of one fake process."""

    name: str
    network: FakeNetwork

    def open_link(self, peer: str, address: str, port: int) -> None:
        """Opens a link."""
        self.network.open_connection(self.name, peer)

    def replace_link(self, peer: str) -> None:
        """Replaces a link by a new connection."""
        self.network.open_connection(self.name, peer)

    def close_link(self, peer: str) -> None:
        """Closes a link."""
        self.network.close_connection(self.name, peer)

    def send_message(self, peer: str, message: Message, header: Header) -> bool:
        """Sends a message."""
        return self.network.send_message(self.name, peer, message, header)
