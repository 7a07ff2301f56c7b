"""Generations that an entry runs for its callers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from attrs import define, field

if TYPE_CHECKING:
    from attrs import Attribute

    from magnoliahold.core.events import GenerationArrived


class GenerationState(Enum):
    """State of a generation.

    QUEUED waits for admission, READY for an upstream, TAKING_OVER for a sidecar's
    answer to TakeStream; RUNNING has an attempt at a sidecar.
    """

    QUEUED = "queued"
    READY = "ready"
    TAKING_OVER = "taking"
    RUNNING = "running"


@define
class StateIndex:
    """The generations of a table by state, and their number by state and work.

    Generations are keyed by object identity, because their request ids and lineages may
    change.
    """

    members: dict[GenerationState, dict[int, Generation]] = field(factory=dict)
    counts: dict[tuple[GenerationState, tuple[str, str]], int] = field(factory=dict)

    def add_member(self, generation: Generation, state: GenerationState) -> None:
        """Adds a generation under a state."""
        self.members.setdefault(state, {})[id(generation)] = generation
        self._change_count(state, generation.key, 1)

    def remove_member(self, generation: Generation) -> None:
        """Removes a generation from its current state."""
        if self.members.get(generation.state, {}).pop(id(generation), None) is not None:
            self._change_count(generation.state, generation.key, -1)

    def _change_count(
        self, state: GenerationState, key: tuple[str, str], change: int
    ) -> None:
        count = self.counts.get((state, key), 0) + change
        if count:
            self.counts[state, key] = count
        else:
            self.counts.pop((state, key), None)


def _index_state(
    generation: Generation, attribute: Attribute[Any], state: GenerationState
) -> GenerationState:
    """Keeps the index of the table in sync with the state of a generation."""
    if generation.index is not None:
        generation.index.remove_member(generation)
        generation.index.add_member(generation, state)
    return state


@define
class Generation:
    """One generation of a caller.

    `tokens` holds the accepted output from offset 0. `delivered` is the number of
    tokens that were delivered to the caller, and `first_token` the first of them.
    `lost_at` is None unless the generation is being resumed; then it is when the last
    token before the loss was accepted. `last_received_at` is when the current attempt
    was started or its tokens last arrived, and `resyncs` is how often a resend was
    requested since then. A queued generation that has not begun by `start_by` is
    refused. `budgeted_failures` is the number of failures that the retry budget has
    accounted for. Times are on this process's clock.
    """

    request: GenerationArrived
    lineage: str
    arrived_at: float
    deadline_at: float
    interactive: bool
    priority: int
    state: GenerationState = field(
        default=GenerationState.QUEUED, on_setattr=_index_state
    )
    attempt: int = 0
    owner_epoch: int = 1
    sidecar: str = ""
    sidecar_incarnation: str = ""
    version: str = ""
    tokens: list[str] = field(factory=list)
    delivered: int = 0
    first_token: str = ""
    acked: int = 0
    started_at: float = 0.0
    last_token_at: float = 0.0
    first_token_at: float | None = None
    lost_at: float | None = None
    resend_requested_at: float = 0.0
    last_received_at: float = 0.0
    resyncs: int = 0
    failures: int = 0
    excluded_sidecars: set[str] = field(factory=set)
    suspect: bool = False
    runs_as_suspect: bool = False
    attempt_offset: int = 0
    caller_paused: bool = False
    start_by: float = 0.0
    budgeted_failures: int = 0
    index: StateIndex | None = field(default=None, repr=False, eq=False)

    @property
    def key(self) -> tuple[str, str]:
        """Workspace and work of the request."""
        return (self.request.workspace, self.request.work)


@define
class GenerationTable:
    """Generations by request id and by lineage."""

    by_request: dict[str, Generation] = field(factory=dict)
    by_lineage: dict[str, Generation] = field(factory=dict)
    next_watch_at: float = 0.0
    index: StateIndex = field(factory=StateIndex)

    def add_generation(self, generation: Generation) -> None:
        """Adds a generation under both keys."""
        generation.index = self.index
        self.index.add_member(generation, generation.state)
        self.by_request[generation.request.request_id] = generation
        self.by_lineage[generation.lineage] = generation

    def change_lineage(self, generation: Generation, lineage: str) -> None:
        """Gives a generation that abandons its former stream a new lineage."""
        self.by_lineage.pop(generation.lineage, None)
        generation.lineage = lineage
        self.by_lineage[lineage] = generation

    def change_request(
        self, generation: Generation, request: GenerationArrived
    ) -> None:
        """Assigns a generation to the new request of a caller that reconnected."""
        self.by_request.pop(generation.request.request_id, None)
        self.index.remove_member(generation)
        generation.request = request
        self.index.add_member(generation, generation.state)
        self.by_request[request.request_id] = generation

    def remove_generation(self, generation: Generation) -> None:
        """Removes a generation that has ended."""
        self.index.remove_member(generation)
        generation.index = None
        self.by_request.pop(generation.request.request_id, None)
        self.by_lineage.pop(generation.lineage, None)

    def list_in_state(self, state: GenerationState) -> list[Generation]:
        """Lists the generations in one state in the order in which they entered it."""
        return list(self.index.members.get(state, {}).values())

    def count_in_state(self, state: GenerationState, key: tuple[str, str]) -> int:
        """Counts the generations of one work in one state."""
        return self.index.counts.get((state, key), 0)
