"""Generations that an entry holds for its callers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from attrs import define, field

if TYPE_CHECKING:
    from attrs import Attribute

    from magnoliahold.core.events import GenerationArrived


class GenerationState(Enum):
    """Where a generation stands.

    QUEUED waits for admission, READY for an upstream, TAKING for a sidecar's answer to
    TakeStream; RUNNING has an attempt at a sidecar.
    """

    QUEUED = "queued"
    READY = "ready"
    TAKING = "taking"
    RUNNING = "running"


@define
class StateIndex:
    """The generations of a table by state, and their number by state and work.

    Generations are kept by identity, because their ids may change.
    """

    members: dict[GenerationState, dict[int, Generation]] = field(factory=dict)
    counts: dict[tuple[GenerationState, tuple[str, str]], int] = field(factory=dict)

    def add_member(self, generation: Generation, state: GenerationState) -> None:
        """Files a generation under a state."""
        self.members.setdefault(state, {})[id(generation)] = generation
        self._change_count(state, generation.key, 1)

    def remove_member(self, generation: Generation) -> None:
        """Takes a generation out of its present state."""
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
    """Keeps the index of the table in step with the state of a generation."""
    if generation.index is not None:
        generation.index.remove_member(generation)
        generation.index.add_member(generation, state)
    return state


@define
class Generation:
    """One caller's generation.

    `tokens` holds the accepted output from offset 0; `delivered` is how many of them
    the caller has, and `opening` the first that it was given. `lost_at` is when the
    last token before a loss was accepted and is None unless the generation is being
    resumed. `heard_at` is when anything of the current attempt was last heard or it was
    started, and `asks` how often it was asked after since. A queued generation that has
    not begun at `start_by` is given up; `paid_failures` are the failures that the
    budget of retries has allowed. Times are on this process's clock.
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
        """Gives a generation that starts again from offset 0 a new lineage."""
        self.by_lineage.pop(generation.lineage, None)
        generation.lineage = lineage
        self.by_lineage[lineage] = generation

    def change_request(
        self, generation: Generation, request: GenerationArrived
    ) -> None:
        """Gives a generation to the request of a caller that came back."""
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
