"""Reconciles a sidecar's engine with its placement by sending orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import SendOrder
from magnoliahold.core.events import OrderFinished
from magnoliahold.wire.messages import PlacementPush

if TYPE_CHECKING:
    from magnoliahold.core.worlds import SidecarWorld


def apply_placements(world: SidecarWorld, now: float) -> None:
    """Applies newer placements of this sidecar's upstream and ignores older ones."""
    table = world.orders
    for received in world.inbox.read_messages(PlacementPush):
        placement = received.message
        if placement.upstream != world.upstream.name:
            continue
        if table.placement is None or placement.fencing > table.placement.fencing:
            table.placement = placement
            table.next_at = now


def finish_orders(world: SidecarWorld, now: float) -> None:
    """Handles the outcomes of orders.

    An outcome only sets the time of the next comparison: what counts is the engine's
    state as it is read afterwards.
    """
    table = world.orders
    policy = world.policy.placement
    for finished in world.inbox.read_events(OrderFinished):
        if finished.token != table.token:
            continue
        table.token = ""
        done = finished.outcome == "done"
        table.next_at = now + (policy.read_back_s if done else policy.order_retry_s)
        if not done:
            world.log_decision(
                "placement",
                "Order failed.",
                upstream=world.upstream.name,
                outcome=finished.outcome,
            )


def send_next_order(world: SidecarWorld, now: float) -> None:
    """Sends an order for the next difference between placement and engine state."""
    table = world.orders
    placement = table.placement
    upstream = world.upstream
    if placement is None or not upstream.ready or table.token:
        return
    if now < table.next_at:
        return
    order = _find_next_order(world, placement, now)
    if order is None:
        return
    kind, value = order
    table.token = world.make_id("order")
    world.emit(SendOrder(table.token, kind, value, placement.fencing))
    world.log_decision(
        "placement",
        "Order sent to engine.",
        upstream=upstream.name,
        kind=kind,
        value=value,
        fencing=placement.fencing,
    )


def _find_next_order(
    world: SidecarWorld, placement: PlacementPush, now: float
) -> tuple[str, str] | None:
    upstream = world.upstream
    for version in placement.versions:
        if version not in upstream.versions:
            return ("load_version", version)
    if placement.role and placement.role != upstream.role:
        return ("set_role", placement.role)
    for adapter in placement.adapters:
        if adapter not in upstream.adapters:
            return ("load_adapter", adapter)
    for version in upstream.versions:
        if version not in placement.versions and _is_idle(world, version, now):
            return ("unload_version", version)
    return None


def _is_idle(world: SidecarWorld, version: str, now: float) -> bool:
    """Returns whether a version has been unused here for long enough to unload it."""
    idle_since = world.orders.idle_since
    running = any(
        stream.start.version == version for stream in world.streams.by_handle.values()
    )
    if running:
        idle_since.pop(version, None)
        return False
    return now - idle_since.setdefault(version, now) >= world.policy.placement.unload_s
