"""Baseline for requests that crash engines: no detection and no quarantine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.systems import quarantine

if TYPE_CHECKING:
    from magnoliahold.node import Node

QUARANTINE_SYSTEMS = {
    quarantine.apply_notices,
    quarantine.send_quarantines_to_new_entries,
    quarantine.read_quarantines,
    quarantine.record_deaths,
    quarantine.clear_suspects,
    quarantine.end_quarantined,
    quarantine.end_quarantined_calls,
    quarantine.expire_suspicions,
}


def disable_quarantine(node: Node) -> None:
    """Removes poison detection and quarantine from an entry's systems."""
    node.systems = tuple(
        system for system in node.systems if system not in QUARANTINE_SYSTEMS
    )
