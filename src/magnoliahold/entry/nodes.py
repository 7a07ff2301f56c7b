"""Builds the node of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.entry import ENTRY_SYSTEMS
from magnoliahold.core.policy import Policy
from magnoliahold.core.worlds import EntryWorld
from magnoliahold.entry import performers
from magnoliahold.node import Node

if TYPE_CHECKING:
    from random import Random

    from magnoliahold.core.identity import Identity
    from magnoliahold.node import Ports
    from magnoliahold.runtime import Clock

__all__ = ["make_entry_node", "performers"]


def make_entry_node(
    clock: Clock,
    identity: Identity,
    ports: Ports,
    random: Random,
    policy: Policy | None = None,
) -> Node:
    """Builds an entry's node; call `start_ticks` to run it."""
    world = EntryWorld(identity, random, policy or Policy())
    return Node(clock, world, ENTRY_SYSTEMS, ports)
