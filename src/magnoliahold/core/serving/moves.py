"""Moves of a service's traffic to upstreams of another version, i.e. rollouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

from magnoliahold.core.canary_analysis import CanaryAnalysis
from magnoliahold.core.moves import ENDED_STATES, MoveState

if TYPE_CHECKING:
    from magnoliahold.core.evidence import EvidenceKey, ResultCounts


@frozen
class MoveOrder:
    """An operator's order to move a service to a version.

    `over_s` is the time from the order to its deadline. `row_version`, the store's
    version of the order's row, distinguishes two orders for one service.
    """

    service: str
    to_version: str
    over_s: float
    row_version: int

    @property
    def id(self) -> str:
        """The id of the order."""
        return f"{self.service}@{self.row_version}"


@frozen
class MoveRecord:
    """The progress of a move, on which all entries agree through the store.

    `began_at` is on the store's clock, in seconds.
    """

    service: str
    order: str
    to_version: str
    state: MoveState
    began_at: float
    reason: str = ""


@frozen
class Exposure:
    """How many requests an entry has sent to each version since an order."""

    order: str
    sent_old: int = 0
    sent_new: int = 0


@frozen
class Suspension:
    """An entry's report that the new version of a move is bad."""

    order: str
    reason: str


@define(eq=False)
class VersionMove:
    """One order and the state of its move at this entry.

    `record` is the stored record of this order, None before the move began;
    `record_version` is the version of the service's row, whichever order the row
    belongs to. `suspension_reason` is empty unless this entry has suspended the new
    version. `own_exposure` counts the requests that this entry has sent, and
    `peer_exposures` those of the other entries, by incarnation. `counted_losses` holds
    the upstreams whose loss was counted: a loss counts once, although it breaks many
    streams. `selection_position` is the state of the sequence that chooses between the
    versions, from 0 to 1. `due_since` is when the next step became due.
    """

    order: MoveOrder
    record: MoveRecord | None = None
    record_version: int = 0
    suspension_reason: str = ""
    own_exposure: Exposure = field(init=False)
    peer_exposures: dict[str, Exposure] = field(factory=dict)
    analysis: CanaryAnalysis = field(factory=CanaryAnalysis)
    result_counts: dict[EvidenceKey, ResultCounts] = field(factory=dict)
    counted_losses: set[tuple[str, int]] = field(factory=set)
    selection_position: float | None = None
    due_since: float | None = None
    writing: bool = False
    next_write_at: float = 0.0

    @own_exposure.default
    def _start_exposure(self) -> Exposure:
        return Exposure(self.order.id)

    @property
    def ended(self) -> bool:
        """Whether the move is done or taken back."""
        return self.record is not None and self.record.state in ENDED_STATES

    @property
    def version_suspended(self) -> bool:
        """Whether the new version gets no more requests."""
        taken_back = self.record and self.record.state is MoveState.TAKEN_BACK
        return bool(self.suspension_reason) or bool(taken_back)

    def sum_exposures(self) -> Exposure:
        """Sums the exposures of all entries."""
        known = [self.own_exposure, *self.peer_exposures.values()]
        return Exposure(
            self.order.id,
            sum(item.sent_old for item in known),
            sum(item.sent_new for item in known),
        )


@define
class MoveTable:
    """The newest order for each service, and the records in the store.

    `services_by_row_key` maps the row keys of orders to their services. `records` holds
    the record of each service and the version of its row.
    """

    by_service: dict[str, VersionMove] = field(factory=dict)
    services_by_row_key: dict[str, str] = field(factory=dict)
    records: dict[str, tuple[MoveRecord, int]] = field(factory=dict)

    def find_order(self, order_id: str) -> VersionMove | None:
        """Finds the move of an order, unless a newer order has replaced it."""
        for move in self.by_service.values():
            if move.order.id == order_id:
                return move
        return None

    @property
    def in_progress(self) -> bool:
        """Whether any move has not ended."""
        return any(not move.ended for move in self.by_service.values())
