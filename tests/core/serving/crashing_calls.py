"""Serving entries, engines and callers on a day when a whole call crashes engines.

The call comes again and again with the same fingerprint, and callers repeat it at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from magnoliahold.core.serving.configuration import RouteKind
from magnoliahold.core.serving.events import AnswerHead, AnswerReceived
from magnoliahold.core.serving.requests import PromptPart
from tests.core.serving.crashing_day import Day, DeadlyPart, Span
from tests.core.serving.crashing_parts import CrashingFleet
from tests.core.serving.crashing_scores import count_late
from tests.core.serving.harness import CALLS

if TYPE_CHECKING:
    from magnoliahold.core.serving.requests import CallerRequest
    from tests.core.serving.crashing_day import Asked, Engine, Run

DEADLY_CALL = "deadly-call"
REPEAT_S = 0.01
# The rule judges whole requests from this crash on.
COUNTED_CRASHES = 3


@frozen
class CallDay(Day):
    """A day of calls, each of which takes `run_s`; times are in seconds.

    A call that is refused or fails is repeated at once, whatever its answer says.
    """

    deadly: tuple[DeadlyPart, ...] = (DeadlyPart(DEADLY_CALL, 0.8),)
    sound_per_s: float = 8.0
    engines: int = 4
    restart: Span = field(factory=lambda: Span(3.1, 3.8))
    repeats: int = 3
    caller_timeout_s: float = 1.6
    step_s: float = 0.01
    service: str = CALLS
    run_s: float = 0.036


@define(eq=False)
class CrashingCallFleet(CrashingFleet):
    """The fleet of a day of calls."""

    def _draw_sound_parts(self, at_s: float) -> tuple[PromptPart, ...]:
        return (PromptPart(f"sound-{self.arrivals.getrandbits(48):x}", 1),)

    def _draw_deadly_parts(self, part: DeadlyPart) -> tuple[PromptPart, ...]:
        return (PromptPart(part.id, 1),)

    def _make_caller(self, handle: int, asked: Asked) -> CallerRequest:
        path = f"/{RouteKind.IDEMPOTENT.value}/x"
        return evolve(super()._make_caller(handle, asked), path=path, prompt=())

    def _find_repeat_wait_s(self, retry_after_s: float | None, left_s: float) -> float:
        return REPEAT_S

    def _count_read_s(self, engine: Engine, asked: Asked) -> float:
        return self.day.run_s

    def _begin(self, run: Run) -> None:
        if run.ended:
            return
        if self._find_deadly(run.asked):
            self._crash(run.engine, run.asked.deadly)
            return
        head = AnswerHead(200, run.asked.id, signed=True)
        run.entry.events.append(AnswerReceived(run.send.attempt, head))
        self._end_run(run)


def count_late_calls(fleet: CrashingFleet) -> int:
    """Counts sends of the deadly call after the window of its third crash."""
    return count_late(fleet, DEADLY_CALL, COUNTED_CRASHES)
