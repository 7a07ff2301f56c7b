"""Links between processes over ZeroMQ.

A process listens on one ROUTER socket and opens a DEALER socket to each peer that it
contacts first. Nothing is queued for a peer that is not connected, and a message that
cannot be sent immediately is discarded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import zmq
from attrs import define, evolve, field, frozen
from zmq.utils.monitor import parse_monitor_message

from magnoliahold.logs import make_part_logger
from magnoliahold.wire.codec import (
    Envelope,
    MalformedMessageError,
    decode_envelope,
    encode_envelope,
)
from magnoliahold.wire.messages import Heartbeat, StreamTokens, TokenBundle
from magnoliahold.wire.sockets import SocketReader

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.core.identity import Identity
    from magnoliahold.wire.codec import Header
    from magnoliahold.wire.messages import Message

logger = make_part_logger("links")

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
MAX_QUEUED_MESSAGES = 1_000
RECONNECT_MS = 100
RECONNECT_MAX_MS = 2_000
HANDSHAKE_MS = 2_000
MAX_BUNDLED_MESSAGES = 64
MONITORED_EVENTS = (
    zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED | zmq.EVENT_CLOSED
)


@frozen
class Route:
    """The most recent connection of a client to this process."""

    incarnation: str
    link_number: int
    identity: bytes


@define(eq=False)
class PendingBundle:
    """Tokens for one peer, held until the end of this reactor iteration."""

    header: Header
    items: list[StreamTokens] = field(factory=list)


@define(eq=False)
class ClientLink:
    """A DEALER socket to one peer.

    `pending_heartbeat` is the last heartbeat that could not be sent for lack of a
    connection; it is sent once the connection is established.
    """

    peer: str
    endpoint: str
    number: int
    socket: zmq.Socket[bytes]
    reader: SocketReader
    monitor: zmq.Socket[bytes] | None = None
    monitor_reader: SocketReader | None = None
    connected: bool = False
    pending_heartbeat: list[bytes] | None = None


class ZmqLinks:
    """All links of one process.

    `on_message` is called with the header and content of each message, and
    `on_link_broken` with the name of a peer whose connection was reset or refused.
    `broken_messages` counts malformed messages received, which are discarded, and
    `dropped_messages` counts messages that a socket could not send.
    """

    def __init__(
        self,
        reactor: Any,
        identity: Identity,
        on_message: Callable[[Header, Message], None],
        on_link_broken: Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._identity = identity
        self._on_message = on_message
        self._on_link_broken = on_link_broken
        self._context: zmq.Context[Any] = zmq.Context()
        self._router: Any = None
        self._router_reader: SocketReader | None = None
        self._clients: dict[str, ClientLink] = {}
        self._routes: dict[str, Route] = {}
        self._pending: dict[str, PendingBundle] = {}
        self._pending_call: Any = None
        self._last_link_number = 0
        self.broken_messages = 0
        self.dropped_messages = 0

    def listen(self, address: str, port: int) -> int:
        """Listens on an IP address and returns the port; port 0 picks a free one."""
        router = self._context.socket(zmq.ROUTER)
        self._set_limits(router)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        try:
            router.bind(f"tcp://{address}:{port if port else '*'}")
        except zmq.ZMQError:
            router.close(linger=0)
            raise
        self._router = router
        self._router_reader = SocketReader(
            self._reactor, router, self._receive_from_router
        )
        endpoint = router.getsockopt(zmq.LAST_ENDPOINT)
        return int(endpoint.rstrip(b"\0").rsplit(b":", 1)[1])

    def open_link(self, peer: str, address: str, port: int) -> None:
        """Opens a link to a peer, replacing any earlier link to it."""
        self.close_link(peer)
        self._clients[peer] = self._connect(peer, f"tcp://{address}:{port}")

    def replace_link(self, peer: str) -> None:
        """Reopens a link on a new connection after the peer has gone silent."""
        link = self._clients.get(peer)
        if link is not None:
            self._close_client(link)
            self._clients[peer] = self._connect(peer, link.endpoint)

    def close_link(self, peer: str) -> None:
        """Closes a link and discards its unsent messages."""
        link = self._clients.pop(peer, None)
        if link is not None:
            self._close_client(link)

    def send_message(self, peer: str, message: Message, header: Header) -> bool:
        """Sends a message immediately, or discards it and returns False.

        Tokens are held until the end of this reactor iteration and sent in one bundle
        with those of the peer's other streams. A message of another kind sends the
        pending bundle first, so that the order is kept.
        """
        if isinstance(message, StreamTokens):
            self._bundle_tokens(peer, message, header)
            return True
        if peer in self._pending:
            self._send_bundle(peer)
        return self._send_now(peer, message, header)

    def _bundle_tokens(self, peer: str, message: StreamTokens, header: Header) -> None:
        pending = self._pending.get(peer)
        if pending is None:
            pending = self._pending[peer] = PendingBundle(header)
        pending.items.append(message)
        if len(pending.items) >= MAX_BUNDLED_MESSAGES:
            self._send_bundle(peer)
        elif self._pending_call is None:
            self._pending_call = self._reactor.callLater(0, self._send_bundles)

    def _send_bundles(self) -> None:
        self._pending_call = None
        for peer in list(self._pending):
            self._send_bundle(peer)

    def _send_bundle(self, peer: str) -> None:
        pending = self._pending.pop(peer)
        message: Message = pending.items[0]
        if len(pending.items) > 1:
            message = TokenBundle(tuple(pending.items))
        self._send_now(peer, message, pending.header)

    def _send_now(self, peer: str, message: Message, header: Header) -> bool:
        link = self._clients.get(peer)
        if link is not None:
            return self._send_to_client(link, message, header)
        route = self._routes.get(peer)
        if route is None:
            return False
        header = evolve(header, link_number=route.link_number)
        frames = [route.identity, *encode_envelope(Envelope(header, message))]
        sent = self._send(self._router, frames)
        if self._router_reader is not None:
            self._router_reader.schedule_read()
        return sent

    def close_all(self) -> None:
        """Sends the pending tokens, then closes every socket."""
        if self._pending_call is not None:
            self._pending_call.cancel()
            self._send_bundles()
        for peer in list(self._clients):
            self.close_link(peer)
        if self._router_reader is not None:
            self._router_reader.stop_reading()
            self._router_reader = None
        if self._router is not None:
            self._router.close(linger=0)
            self._router = None
        self._context.destroy(linger=0)

    def _connect(self, peer: str, endpoint: str) -> ClientLink:
        self._last_link_number += 1
        socket = self._context.socket(zmq.DEALER)
        self._set_limits(socket)
        number = self._last_link_number
        name = f"{self._identity.name}/{self._identity.incarnation}/{number}"
        socket.setsockopt(zmq.IDENTITY, name.encode())
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        reader = SocketReader(self._reactor, socket, self._receive_from_client)
        link = ClientLink(peer, endpoint, number, socket, reader)
        self._watch_connection(link)
        socket.connect(endpoint)
        return link

    def _watch_connection(self, link: ClientLink) -> None:
        monitor = link.socket.get_monitor_socket(MONITORED_EVENTS)
        link.monitor = monitor

        def handle_event(frames: list[bytes]) -> None:
            self._handle_connection_event(link, frames)

        link.monitor_reader = SocketReader(self._reactor, monitor, handle_event)

    def _handle_connection_event(self, link: ClientLink, frames: list[bytes]) -> None:
        event = parse_monitor_message(frames)["event"]
        if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
            link.connected = True
            heartbeat, link.pending_heartbeat = link.pending_heartbeat, None
            if heartbeat is not None:
                self._send(link.socket, heartbeat)
                link.reader.schedule_read()
        elif event == zmq.EVENT_CLOSED or link.connected:
            link.connected = False
            self._on_link_broken(link.peer)

    def _close_client(self, link: ClientLink) -> None:
        link.reader.stop_reading()
        if link.monitor_reader is not None:
            link.monitor_reader.stop_reading()
        link.socket.disable_monitor()
        if link.monitor is not None:
            link.monitor.close(linger=0)
        link.socket.close(linger=0)

    def _send_to_client(
        self, link: ClientLink, message: Message, header: Header
    ) -> bool:
        header = evolve(header, link_number=link.number)
        frames = encode_envelope(Envelope(header, message))
        sent = self._send(link.socket, frames)
        if not sent and isinstance(message, Heartbeat):
            link.pending_heartbeat = frames
        link.reader.schedule_read()
        return sent

    def _send(self, socket: Any, frames: list[bytes]) -> bool:
        try:
            socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.dropped_messages += 1
            return False
        return True

    def _set_limits(self, socket: zmq.Socket[bytes]) -> None:
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)

    def _receive_from_router(self, frames: list[bytes]) -> None:
        identity, *rest = frames
        envelope = self._decode(rest)
        if envelope is not None:
            self._record_route(envelope.header, identity)
            self._deliver(envelope)

    def _receive_from_client(self, frames: list[bytes]) -> None:
        envelope = self._decode(frames)
        if envelope is not None:
            self._deliver(envelope)

    def _deliver(self, envelope: Envelope) -> None:
        message = envelope.message
        if not isinstance(message, TokenBundle):
            self._on_message(envelope.header, message)
            return
        for item in message.items:
            self._on_message(envelope.header, item)

    def _decode(self, frames: list[bytes]) -> Envelope | None:
        try:
            return decode_envelope(frames)
        except MalformedMessageError as error:
            self.broken_messages += 1
            logger.gather("Malformed message discarded.", reason=str(error))
            return None

    def _record_route(self, header: Header, identity: bytes) -> None:
        current = self._routes.get(header.sender)
        if current is not None and _is_outdated(header, current):
            return
        route = Route(header.incarnation, header.link_number, identity)
        self._routes[header.sender] = route


def _is_outdated(header: Header, route: Route) -> bool:
    """Returns whether a message's connection is no newer than the current one."""
    same_process = route.incarnation == header.incarnation
    return same_process and route.link_number >= header.link_number


def make_links(
    reactor: Any,
    identity: Identity,
    on_message: Callable[[Header, Message], None],
    on_link_broken: Callable[[str], None],
) -> ZmqLinks:
    """Creates the links of a process; call `listen` before peers connect."""
    return ZmqLinks(reactor, identity, on_message, on_link_broken)
