"""Builds the node of a sidecar."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.policy import Policy
from magnoliahold.core.sidecar import SIDECAR_SYSTEMS
from magnoliahold.core.worlds import SidecarWorld
from magnoliahold.node import Node
from magnoliahold.sidecar import performers

if TYPE_CHECKING:
    from random import Random

    from magnoliahold.core.identity import Identity
    from magnoliahold.core.streams import Upstream
    from magnoliahold.node import Ports
    from magnoliahold.runtime import Clock

__all__ = ["make_sidecar_node", "performers"]


def make_sidecar_node(
    clock: Clock,
    identity: Identity,
    upstream: Upstream,
    ports: Ports,
    random: Random,
    policy: Policy | None = None,
) -> Node:
    """Builds a sidecar's node; call `start_ticks` to run it."""
    world = SidecarWorld(identity, random, policy or Policy(), upstream=upstream)
    return Node(clock, world, SIDECAR_SYSTEMS, ports)
