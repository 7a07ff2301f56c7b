"""Calls that a sidecar runs at its upstream, and fences against them."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from magnoliahold.wire.messages import CallAnswered, StartCall


class RunState(Enum):
    """State of one call at the upstream."""

    RUNNING = "running"
    ANSWERED = "answered"
    FENCED = "fenced"
    LOST = "lost"


@define
class Run:
    """One call at this upstream, or a fence that keeps it from ever running."""

    nonce: str
    owner: str
    state: RunState
    started_at: float
    start: StartCall | None = None
    answer: CallAnswered | None = None


@define
class RunTable:
    """Runs and fences by nonce."""

    by_nonce: dict[str, Run] = field(factory=dict)
