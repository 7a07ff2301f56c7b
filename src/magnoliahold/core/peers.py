"""Processes that this process knows, with what they last told."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from magnoliahold.wire.messages import (
        EvidenceCount,
        SuspendVersion,
        UpstreamReport,
    )


@define
class Peer:
    """Another process, as heard on the link to it.

    Times are on this process's clock. `clock_offset` is the peer's clock minus ours, an
    underestimate, so that an expiry computed with it is never late. `broken_at` is when
    its connection was reset, until a heartbeat sent since then is answered.
    `listed_leaving` is what the instance list says, `leaving` what the process itself
    told; `leaving_since` is when either was first known. `first_token_s` is the fading
    mean of the waits for first tokens, last noted at `first_token_at`.
    """

    name: str
    role: str
    address: str
    port: int
    data_centre: str
    incarnation: str = ""
    last_received_at: float | None = None
    asked_at: float = 0.0
    link_opened_at: float = 0.0
    clock_offset: float = 0.0
    broken_at: float | None = None
    leaving: bool = False
    listed_leaving: bool = False
    leaving_since: float | None = None
    lost: bool = True
    configuration_head: int = 0
    report: UpstreamReport | None = None
    evidence: tuple[EvidenceCount, ...] = ()
    suspended: tuple[SuspendVersion, ...] = ()
    assigned: int = 0
    watched_since: float | None = None
    assigned_at_last_report: int = 0
    listed: bool = True
    first_token_s: float | None = None
    first_token_at: float = 0.0

    @property
    def last_contact_at(self) -> float:
        """When this process was last heard, or else when its link was opened."""
        return (
            self.link_opened_at
            if self.last_received_at is None
            else self.last_received_at
        )

    @property
    def usable(self) -> bool:
        """Whether new work may be sent to this process."""
        if self.lost or self.leaving_since is not None or self.report is None:
            return False
        return self.report.ready


@define
class PeerTable:
    """All known processes by name.

    `judged_at` is when links were last judged, `alarm_at` when a link with work of ours
    last fell silent. `has_losses` is set when a process was lost, forgotten or has
    restarted, until the work that hung on it was found.
    """

    peers: dict[str, Peer] = field(factory=dict)
    links_checked_at: float | None = None
    next_list_at: float = 0.0
    next_link_check_at: float = -math.inf
    next_heartbeat_check_at: float = -math.inf
    next_loss_scan_at: float = -math.inf
    has_losses: bool = False
    alarm_at: float = -math.inf

    def list_by_role(self, role: str) -> list[Peer]:
        """Lists the peers of one role: "entry" or "sidecar"."""
        return [peer for peer in self.peers.values() if peer.role == role]
