"""Memory per row of an entry's tables."""

from __future__ import annotations

import gc
import tracemalloc
from typing import TYPE_CHECKING

from magnoliahold.core.calls import Call, CallState
from magnoliahold.core.claims import ClaimRow, ClaimState, make_claim
from magnoliahold.core.events import CallArrived
from magnoliahold.measure.capacity.nodes import (
    add_running_generation,
    add_upstream,
    make_capacity_node,
)
from magnoliahold.measure.capacity.rows import fill_workspaces

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.node import Node

TOKENS_KEPT = 500
TOKEN_DIGITS = 8
CALL_BODY_BYTES = 256


def measure_memory(fill: Callable[[], object]) -> float:
    """Measures the additional bytes that are allocated after `fill`."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    fill()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(after - before)


def measure_workspaces(count: int) -> float:
    """Measures the memory of installed workspaces."""
    world = make_capacity_node(1).world
    return measure_memory(lambda: fill_workspaces(world, count))


def measure_upstreams(count: int) -> float:
    """Measures the memory of upstreams in the peer table, without their sockets."""
    node = make_capacity_node(1)
    return measure_memory(lambda: _add_upstreams(node, count))


def _add_upstreams(node: Node, count: int) -> None:
    for number in range(1, count + 1):
        add_upstream(node, number)


def measure_streams(count: int) -> float:
    """Measures the memory of running generations with 500 tokens each."""
    node = make_capacity_node(1)
    return measure_memory(lambda: _add_streams(node, count))


def _add_streams(node: Node, count: int) -> None:
    for number in range(count):
        generation = add_running_generation(node, number)
        generation.tokens.extend(
            f"{number * TOKENS_KEPT + offset:0{TOKEN_DIGITS}x}"
            for offset in range(TOKENS_KEPT)
        )


def measure_claims(count: int) -> float:
    """Measures the memory of calls with a committed claim."""
    node = make_capacity_node(1)
    return measure_memory(lambda: _add_claims(node, count))


def _add_claims(node: Node, count: int) -> None:
    calls = node.world.calls
    for number in range(count):
        call = _make_claimed_call(number)
        calls.by_request[call.request.request_id] = call


def _make_claimed_call(number: int) -> Call:
    request = CallArrived(
        request_id=f"request-{number}",
        workspace="workspace",
        service="order-desk",
        method="POST",
        path="/bookings",
        headers=(("content-type", "application/json"),),
        body=bytes(CALL_BODY_BYTES),
        fingerprint=f"fingerprint-{number}",
        idempotency_key=f"booking-{number}",
    )
    claim = make_claim(request, 0.0)
    claim.row = ClaimRow(
        state=ClaimState.CLAIMED,
        nonce=f"nonce-{number}",
        sidecar="sidecar-0",
        incarnation="sidecar-0.0",
        expires_at=0.0,
        digest=claim.digest,
    )
    return Call(request, 0.0, repeatable=False, state=CallState.SENT, claim=claim)
