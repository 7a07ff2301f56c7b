"""Calls that a sidecar runs at its upstream, and fences that keep them from running."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from magnoliahold.wire.messages import CallAnswered


class RunState(Enum):
    """State of one call at the upstream.

    FENCED never ran and never will. LOST may have run, and its answer is not known.
    """

    RUNNING = "running"
    ANSWERED = "answered"
    FENCED = "fenced"
    LOST = "lost"


@define
class Run:
    """One call at this upstream, or a fence that keeps it from ever running.

    `owners` are the entries that wait for its outcome. `delivery_count` counts how
    often the upstream may have received the call. `answer` is discarded some time after
    the end.
    """

    nonce: str
    state: RunState
    started_at: float
    owners: list[str] = field(factory=list)
    fingerprint: str = ""
    suspect: bool = False
    answer: CallAnswered | None = None
    ended_at: float | None = None
    delivery_count: int = 0


@define
class RunTable:
    """Runs and fences by nonce; `in_flight` holds the runs in progress at the upstream.

    `ended` holds the runs that have ended, and `answers` those with an answer, in the
    order of their end. `unreported_lost` holds the lost runs whose owners have not been
    notified yet.
    """

    by_nonce: dict[str, Run] = field(factory=dict)
    in_flight: dict[str, Run] = field(factory=dict)
    ended: deque[Run] = field(factory=deque)
    answers: deque[Run] = field(factory=deque)
    unreported_lost: list[Run] = field(factory=list)

    def add_run(self, run: Run) -> None:
        """Adds a run or a fence."""
        self.by_nonce[run.nonce] = run
        if run.state is RunState.RUNNING:
            self.in_flight[run.nonce] = run

    def end_run(self, run: Run, state: RunState, now: float) -> None:
        """Records the outcome of a run or the time of a fence."""
        run.state = state
        run.ended_at = now
        self.in_flight.pop(run.nonce, None)
        self.ended.append(run)
        if run.answer is not None:
            self.answers.append(run)
