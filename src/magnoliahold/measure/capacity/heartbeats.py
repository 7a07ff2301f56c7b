"""Costs of heartbeats: processor time of a round, and size of a message."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.systems.heartbeats import make_heartbeat as make_entry_heartbeat
from magnoliahold.measure.capacity.fits import time_steps
from magnoliahold.measure.capacity.nodes import (
    make_capacity_node,
    make_header,
    make_heartbeat,
)
from magnoliahold.wire.codec import Envelope, decode_envelope, encode_envelope

if TYPE_CHECKING:
    from magnoliahold.node import Node

ROUNDS = 5
FRAMING_BYTES = 9


def time_heartbeat_round(peers: int) -> float:
    """Times a tick with one heartbeat to each peer and the handling of its answer."""
    node = make_capacity_node(peers)
    node.run_tick()
    answers = _encode_answers(node)
    interval = node.world.policy.membership.resting_heartbeat_s

    def run_round() -> None:
        node.clock.advance(interval)  # type: ignore[attr-defined]
        for frames in answers:
            envelope = decode_envelope(frames)
            node.receive_message(envelope.header, envelope.message)
        node.run_tick()

    return time_steps(run_round, ROUNDS)


def _encode_answers(node: Node) -> list[list[bytes]]:
    """Encodes one answering heartbeat of every peer."""
    answers = []
    for number, peer in enumerate(node.world.peers.peers.values()):
        envelope = Envelope(make_header(peer, node), make_heartbeat(number, 0.0))
        answers.append(encode_envelope(envelope))
    return answers


def count_entry_heartbeat_bytes() -> int:
    """Counts the bytes of an entry's heartbeat with the framing of its three frames."""
    node = make_capacity_node(1)
    peer = node.world.peers.peers["sidecar-0"]
    heartbeat = make_entry_heartbeat(node.world, 0.0, answer=False)
    envelope = Envelope(make_header(peer, node), heartbeat)
    return sum(map(len, encode_envelope(envelope))) + FRAMING_BYTES


def count_sidecar_heartbeat_bytes() -> int:
    """Counts the bytes of a sidecar's heartbeat with its report and the framing."""
    frames = _encode_answers(make_capacity_node(1))[0]
    return sum(map(len, frames)) + FRAMING_BYTES
