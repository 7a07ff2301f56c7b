"""Costs of an entry's tick: relayed tokens, routing decisions, and idle tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.systems.admission import make_generation
from magnoliahold.core.systems.routing import route_generation
from magnoliahold.measure.capacity.fits import time_steps
from magnoliahold.measure.capacity.nodes import (
    add_running_generation,
    make_arrival,
    make_capacity_node,
    make_header,
)
from magnoliahold.measure.capacity.rows import fill_workspaces
from magnoliahold.wire.codec import Envelope, decode_envelope, encode_envelope
from magnoliahold.wire.messages import StreamTokens

if TYPE_CHECKING:
    from magnoliahold.core.generations import Generation
    from magnoliahold.node import Node

TOKEN = "0123abcd"
STREAM_COUNT = 64
ROUNDS = 15
TICKS = 10


def time_relayed_token(upstreams: int) -> float:
    """Times the relay of one token, from the frames of a link to the caller's bytes.

    Each tick relays one message with one token for each of 64 streams.
    """
    node = make_capacity_node(upstreams)
    generations = [
        add_running_generation(node, number) for number in range(STREAM_COUNT)
    ]
    return time_steps(lambda: relay_round(node, generations), ROUNDS) / STREAM_COUNT


def relay_round(node: Node, generations: list[Generation]) -> None:
    """Relays one more token of each generation in one tick."""
    header = make_header(node.world.peers.peers["sidecar-0"], node)
    for generation in generations:
        offset = len(generation.tokens)
        message = StreamTokens(generation.lineage, 1, offset, (TOKEN,))
        frames = encode_envelope(Envelope(header, message))
        envelope = decode_envelope(frames)
        node.receive_message(envelope.header, envelope.message)
    node.run_tick()


def time_routing(upstreams: int) -> float:
    """Times one routing decision, including the StartStream that it sends."""
    node = make_capacity_node(upstreams)
    node.run_tick()
    world = node.world
    rule = world.workspaces.find_work("workspace", "listing")
    assert rule is not None
    serial = iter(range(1_000_000))

    def route_one() -> None:
        request = make_arrival(next(serial))
        generation = make_generation(world, request, rule, 0.0)
        world.generations.add_generation(generation)
        if not route_generation(world, generation, 0.0):
            raise AssertionError(
                "the experiment's upstreams must accept every generation"
            )

    return time_steps(route_one, ROUNDS, TICKS)


def time_idle_tick(upstreams: int) -> float:
    """Times a tick without events, with a number of upstreams as peers."""
    node = make_capacity_node(upstreams)
    node.run_tick()
    return time_steps(node.run_tick, ROUNDS, TICKS)


def time_tick_with_streams(streams: int) -> float:
    """Times a tick without events, with a number of running generations."""
    node = make_capacity_node(10)
    for number in range(streams):
        generation = add_running_generation(node, number)
        generation.caller_paused = True
    node.run_tick()
    return time_steps(node.run_tick, ROUNDS, TICKS)


def time_tick_with_workspaces(workspaces: int) -> float:
    """Times a tick without events, with a number of installed workspaces."""
    node = make_capacity_node(10)
    fill_workspaces(node.world, workspaces)
    node.run_tick()
    return time_steps(node.run_tick, ROUNDS, TICKS)
