"""Builds a real entry node whose ports encode and discard what it sends."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from magnoliahold.core.events import GenerationArrived
from magnoliahold.core.generations import Generation, GenerationState
from magnoliahold.core.identity import Identity
from magnoliahold.core.peers import Peer
from magnoliahold.entry.nodes import make_entry_node
from magnoliahold.entry.responders import OpenRequests, StreamResponder
from magnoliahold.measure.fakes.workspaces import make_work, make_workspace
from magnoliahold.node import Ports
from magnoliahold.wire.codec import NO_EXPIRY, Envelope, Header, encode_envelope
from magnoliahold.wire.messages import Heartbeat, UpstreamReport

if TYPE_CHECKING:
    from magnoliahold.node import Node
    from magnoliahold.wire.messages import Message

WORKSPACE = "workspace"
WORK = "listing"
ROLE = "draft"
VERSION = "v1"
ENGINE_SLOTS = 1_000
MAX_TOKENS = 1_000_000
DATA_CENTRES = 14
FAR_FUTURE_S = 1e9


@define(eq=False)
class EncodingLinks:
    """Encodes each message as a link does, and discards it."""

    sent_bytes: int = 0

    def open_link(self, peer: str, address: str, port: int) -> None:
        """Does nothing."""

    def replace_link(self, peer: str) -> None:
        """Does nothing."""

    def close_link(self, peer: str) -> None:
        """Does nothing."""

    def send_message(self, peer: str, message: Message, header: Header) -> bool:
        """Encodes a message."""
        frames = encode_envelope(Envelope(header, message))
        self.sent_bytes += sum(map(len, frames))
        return True


class DiscardingJournal:
    """Discards log decisions and metrics."""

    def log_decision(self, decision: object) -> None:
        """Does nothing."""

    def count_metric(self, metric: object) -> None:
        """Does nothing."""

    def record_metric(self, metric: object) -> None:
        """Does nothing."""


@define(eq=False)
class CountingRequest:
    """A caller's HTTP request that counts the bytes written to it."""

    written_bytes: int = 0
    headers: dict[bytes, bytes] = field(factory=dict)

    def setHeader(self, name: bytes, value: bytes) -> None:  # noqa: N802
        """Stores a header."""
        self.headers[name] = value

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Does nothing."""

    def write(self, data: bytes) -> None:
        """Counts bytes."""
        self.written_bytes += len(data)


def make_capacity_node(upstreams: int, entries: int = 0) -> Node:
    """Makes an entry node with live upstreams and other live entries as its peers."""
    identity = Identity("entry-self", "entry-self.0", "entry", "dc-0")
    clock = Clock()
    ports = Ports(
        links=EncodingLinks(),
        tables=_UnresponsivePlatform(),
        instances=_UnresponsivePlatform(),
        journal=DiscardingJournal(),
        stop=lambda reason: None,
        callers=OpenRequests(),
    )
    node = make_entry_node(clock, identity, ports, Random(1))
    node.running = True
    node.raise_violations = True
    world = node.world
    world.peers.next_list_at = FAR_FUTURE_S
    world.configuration.next_poll_at = FAR_FUTURE_S
    for number in range(upstreams):
        add_upstream(node, number)
    for number in range(entries):
        _add_entry(node, number)
    workspace = make_workspace(WORKSPACE, [make_work(WORK, ROLE)])
    world.workspaces.workspaces[WORKSPACE] = workspace
    return node


class _UnresponsivePlatform:
    """A platform whose services never answer."""

    def list_instances(self) -> Deferred[Any]:
        """Returns a Deferred that never fires."""
        return Deferred()

    def read_row(self, *arguments: object) -> Deferred[Any]:
        """Returns a Deferred that never fires."""
        return Deferred()

    def scan_rows(self, *arguments: object) -> Deferred[Any]:
        """Returns a Deferred that never fires."""
        return Deferred()

    def transact(self, *arguments: object) -> Deferred[Any]:
        """Returns a Deferred that never fires."""
        return Deferred()


def add_upstream(node: Node, number: int) -> None:
    """Adds a live sidecar with its engine to the peers of a node."""
    peer = _make_peer(f"sidecar-{number}", "sidecar", number)
    peer.report = make_engine_report(number)
    node.world.peers.peers[peer.name] = peer


def _add_entry(node: Node, number: int) -> None:
    peer = _make_peer(f"entry-{number}", "entry", number)
    node.world.peers.peers[peer.name] = peer


def _make_peer(name: str, role: str, number: int) -> Peer:
    return Peer(
        name=name,
        role=role,
        address=f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}",
        port=7000,
        data_centre=f"dc-{number % DATA_CENTRES}",
        incarnation=f"{name}.0",
        last_received_at=0.0,
        lost=False,
    )


def make_engine_report(number: int) -> UpstreamReport:
    """Makes the report of a busy engine."""
    return UpstreamReport(
        name=f"engine-{number}",
        kind="engine",
        ready=True,
        role=ROLE,
        versions=(VERSION,),
        engine_incarnation=f"engine-{number}.0",
        running=number % 8,
        reported_running=number % 8,
        capacity=ENGINE_SLOTS,
    )


def make_heartbeat(number: int, clock: float) -> Heartbeat:
    """Makes the heartbeat of one sidecar."""
    return Heartbeat(
        clock=clock,
        answer=True,
        role="sidecar",
        data_centre=f"dc-{number % DATA_CENTRES}",
        leaving=False,
        configuration_head=29_000,
        report=make_engine_report(number),
        echo=clock,
    )


def make_header(peer: Peer, node: Node) -> Header:
    """Makes the header of a message from a peer to a node."""
    receiver = node.world.identity.incarnation
    return Header(peer.name, peer.incarnation, 1, receiver, NO_EXPIRY)


def make_arrival(number: int) -> GenerationArrived:
    """Makes a caller's request for a stream."""
    return GenerationArrived(
        request_id=f"request-{number}",
        workspace=WORKSPACE,
        work=WORK,
        prompt=f"request {number} " + "word " * 100,
        max_tokens=MAX_TOKENS,
        stream=True,
        fingerprint=f"fingerprint-{number}",
    )


def add_running_generation(node: Node, number: int) -> Generation:
    """Adds a generation in state RUNNING at the first upstream."""
    request = make_arrival(number)
    generation = Generation(
        request=request,
        lineage=node.world.make_id("lineage"),
        arrived_at=0.0,
        deadline_at=FAR_FUTURE_S,
        interactive=False,
        priority=0,
    )
    node.world.generations.add_generation(generation)
    generation.state = GenerationState.RUNNING
    generation.attempt = 1
    generation.sidecar = "sidecar-0"
    generation.sidecar_incarnation = "sidecar-0.0"
    generation.version = VERSION
    responder = StreamResponder(
        CountingRequest(), request.request_id, WORK, node.post_event
    )
    node.ports.callers.responders[request.request_id] = responder
    return generation
