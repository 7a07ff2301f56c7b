"""Other processes that this process knows, with their last reports."""

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
    """State of another process, as known from its link and the instance list.

    Times are on this process's clock. `heartbeat_sent_at` is when a heartbeat that
    expects an answer was last sent. `clock_offset` is the peer's clock minus ours, an
    underestimate, so that an expiry computed with it is never late. `link_reset_at` is
    when its connection was reset, until a heartbeat sent since then is answered.
    `listed_leaving` comes from the instance list, `leaving` from the process itself;
    `leaving_since` is when either was first known. `assigned` counts the work that this
    process has running there. `watched_since` is set while its link is watched closely.
    `first_token_s` is a weighted moving mean of the waits for first tokens, updated at
    `first_token_at`.
    """

    name: str
    role: str
    address: str
    port: int
    data_centre: str
    incarnation: str = ""
    last_received_at: float | None = None
    heartbeat_sent_at: float = 0.0
    link_opened_at: float = 0.0
    clock_offset: float = 0.0
    link_reset_at: float | None = None
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
        """When a message last arrived from it, or else when its link was opened."""
        return (
            self.link_opened_at
            if self.last_received_at is None
            else self.last_received_at
        )

    @property
    def usable(self) -> bool:
        """Whether new work may be sent to this peer."""
        if self.lost or self.leaving_since is not None or self.report is None:
            return False
        return self.report.ready


@define
class PeerTable:
    """All known processes by name.

    `links_checked_at` is when links were last checked, `alarm_at` when a link that
    carries work of this process last fell silent. `has_losses` is set when a process
    was lost, removed or has restarted, until the work that depended on it is found.
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
