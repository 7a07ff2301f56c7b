"""Generations that an entry holds for its callers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
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
class Generation:
    """One caller's generation.

    `tokens` holds the accepted output from offset 0; `delivered` is how many of them
    the caller has, and `opening` the first that it was given. `lost_at` is when the
    last token before a loss was accepted and is None unless the generation is being
    resumed. `heard_at` is when anything of the current attempt was last heard or it was
    started, and `asks` how often it was asked after since. Times are on this process's
    clock.
    """

    request: GenerationArrived
    lineage: str
    arrived_at: float
    deadline_at: float
    interactive: bool
    priority: int
    state: GenerationState = GenerationState.QUEUED
    attempt: int = 0
    owner_epoch: int = 1
    sidecar: str = ""
    sidecar_incarnation: str = ""
    version: str = ""
    tokens: list[str] = field(factory=list)
    delivered: int = 0
    opening: str = ""
    acked: int = 0
    started_at: float = 0.0
    last_token_at: float = 0.0
    first_token_at: float | None = None
    lost_at: float | None = None
    resend_asked_at: float = 0.0
    heard_at: float = 0.0
    asks: int = 0
    failures: int = 0
    excluded: set[str] = field(factory=set)
    suspect: bool = False
    runs_as_suspect: bool = False
    attempt_offset: int = 0
    caller_paused: bool = False
    refused_upstreams: int = 0

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

    def add_generation(self, generation: Generation) -> None:
        """Adds a generation under both keys."""
        self.by_request[generation.request.request_id] = generation
        self.by_lineage[generation.lineage] = generation

    def rename_lineage(self, generation: Generation, lineage: str) -> None:
        """Gives a generation that starts again from offset 0 a new lineage."""
        self.by_lineage.pop(generation.lineage, None)
        generation.lineage = lineage
        self.by_lineage[lineage] = generation

    def change_request(
        self, generation: Generation, request: GenerationArrived
    ) -> None:
        """Gives a generation to the request of a caller that came back."""
        self.by_request.pop(generation.request.request_id, None)
        generation.request = request
        self.by_request[request.request_id] = generation

    def remove_generation(self, generation: Generation) -> None:
        """Removes a generation that has ended."""
        self.by_request.pop(generation.request.request_id, None)
        self.by_lineage.pop(generation.lineage, None)

    def list_in_state(self, state: GenerationState) -> list[Generation]:
        """Lists the generations in one state in order of arrival."""
        return [item for item in self.by_request.values() if item.state is state]
