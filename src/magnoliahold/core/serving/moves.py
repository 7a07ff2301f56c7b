"""Moves of a service's traffic to upstreams of another version, i.e. rollouts."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from magnoliahold.core.canary_analysis import CanaryAnalysis
from magnoliahold.core.moves import ENDED_STATES, MoveState

if TYPE_CHECKING:
    from magnoliahold.core.evidence import EvidenceKey, ResultCounts


PAST_ORDERS = 64


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

    def has_same_content(self, other: MoveOrder) -> bool:
        """Tells whether another order may be this one, written again."""
        return evolve(other, row_version=self.row_version) == self


@frozen
class MoveRecord:
    """The progress of a move, on which all entries agree through the store.

    `began_at` is on the store's clock, in seconds. `epoch` is the store's epoch in
    which the move came to its state.
    """

    service: str
    order: str
    to_version: str
    state: MoveState
    began_at: float
    reason: str = ""
    epoch: int = 0

    def is_ahead_of(self, other: MoveRecord) -> bool:
        """Tells whether this is further than another record of the same move.

        A move that has ended stays ended; of two ends the one of the earlier epoch
        stands, since operators have already acted on it.
        """
        ended = self.state in ENDED_STATES
        if ended != (other.state in ENDED_STATES):
            return ended
        return ended and self.state != other.state and self.epoch < other.epoch


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
    versions, from 0 to 1. `due_since` is when the next step became due. `listed` is
    unset while a restored store lacks the order, and `needs_rewrite` is set while the
    store's record is behind `record`. `former_ids` are the ids that the order had in
    earlier epochs of the store.
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
    listed: bool = True
    needs_rewrite: bool = False
    former_ids: set[str] = field(factory=set)

    @own_exposure.default
    def _start_exposure(self) -> Exposure:
        return Exposure(self.order.id)

    def matches(self, record: MoveRecord) -> bool:
        """Tells whether a record is of this order, under its present or a former id."""
        return record.order == self.order.id or record.order in self.former_ids

    def renew_order(self, order: MoveOrder) -> None:
        """Takes over an order that operators have written again after a restore."""
        self.listed = True
        if order.id == self.order.id:
            return
        self.former_ids.add(self.order.id)
        self.order = order
        self.own_exposure = evolve(self.own_exposure, order=order.id)
        self.result_counts = {
            evolve(key, move=order.id): counts
            for key, counts in self.result_counts.items()
        }
        if self.record is not None:
            self.record = evolve(self.record, order=order.id)
            self.needs_rewrite = True

    @property
    def ended(self) -> bool:
        """Whether the move is done or taken back."""
        return self.record is not None and self.record.state in ENDED_STATES

    def find_left_s(self, store_time: float) -> float:
        """Finds the time that is left until the deadline."""
        if self.record is None:
            return self.order.over_s
        return self.record.began_at + self.order.over_s - store_time

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
    the record of each service and the version of its row. `past_orders` are orders that
    newer ones have replaced; a restored store may list them again.
    """

    by_service: dict[str, VersionMove] = field(factory=dict)
    services_by_row_key: dict[str, str] = field(factory=dict)
    records: dict[str, tuple[MoveRecord, int]] = field(factory=dict)
    past_orders: deque[MoveOrder] = field(factory=lambda: deque(maxlen=PAST_ORDERS))

    def find_order(self, order_id: str) -> VersionMove | None:
        """Finds the move of an order, unless a newer order has replaced it."""
        for move in self.by_service.values():
            if move.order.id == order_id:
                return move
        return None

    @property
    def in_progress(self) -> bool:
        """Whether any move has not ended, or its end has to be written again."""
        return any(
            not move.ended or move.needs_rewrite for move in self.by_service.values()
        )
