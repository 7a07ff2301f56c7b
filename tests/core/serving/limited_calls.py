"""Serving entries and callers on a day when upstreams name limits of requests.

An upstream that names a limit does so in each answer. Each entry that has passed on
such an answer is told, and the requests of those that were told are counted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

from magnoliahold.core.serving.events import (
    AnswerHead,
    AnswerReceived,
    UpstreamSignalled,
)
from tests.core.serving.crashing_calls import CallDay, CrashingCallFleet
from tests.core.serving.crashing_day import STABLE_WINDOW_S, Span

if TYPE_CHECKING:
    from magnoliahold.core.serving.effects import ProbeServingUpstream, SendAttempt
    from tests.core.serving.crashing_day import DeadlyPart, Entry, Run

WINDOW_S = 4.0
TOLD_S = 0.5
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5.0


@frozen
class Limit:
    """Upstreams that name a limit of `per_s` requests within a span of the day.

    `count` upstreams do, from the first on.
    """

    per_s: float
    count: int = 2
    span: Span = field(factory=lambda: Span(3.0, 1_000.0))


@frozen
class LimitDay(CallDay):
    """A day of calls of which some upstreams want few."""

    deadly: tuple[DeadlyPart, ...] = ()
    limit: Limit = field(factory=lambda: Limit(1.0))
    sound_per_s: float = 40.0
    length_s: float = 24.0
    step_s: float = 0.02
    repeats: int = 1


@frozen
class Arrival:
    """A request or probe that reached an upstream, and the process that sent it."""

    at_s: float
    upstream_id: str
    sender: str


@define(eq=False)
class LimitedFleet(CrashingCallFleet):
    """The fleet of a day of limits; `told` has when a process passed on a limit."""

    arrivals_at: list[Arrival] = field(factory=list)
    told: dict[tuple[str, str], float] = field(factory=dict)

    def is_limited(self, upstream_id: str) -> bool:
        """Tells whether an upstream names a limit now."""
        limit = self.day.limit
        number = int(upstream_id.split("-")[1].rstrip("+"))
        return number <= limit.count and limit.span.covers(self.seconds)

    def _record_arrival(self, entry: Entry, upstream_id: str) -> None:
        sender = entry.harness.world.identity.incarnation
        self.arrivals_at.append(Arrival(self.seconds, upstream_id, sender))

    def _send(self, entry: Entry, effect: SendAttempt) -> None:
        self._record_arrival(entry, effect.upstream.id)
        super()._send(entry, effect)

    def _probe(self, entry: Entry, effect: ProbeServingUpstream) -> None:
        self._record_arrival(entry, effect.upstream.id)
        super()._probe(entry, effect)

    def _begin(self, run: Run) -> None:
        if run.ended:
            return
        record = run.engine.record
        limited = self.is_limited(record.id)
        if limited:
            event = UpstreamSignalled(
                record.id, record.born_ms, limit_per_s=self.day.limit.per_s
            )
            run.entry.events.append(event)
            sender = run.entry.harness.world.identity.incarnation
            self.told.setdefault((record.id, sender), self.seconds)
        head = AnswerHead(200, run.asked.id, signed=True, names_limit=limited)
        run.entry.events.append(AnswerReceived(run.send.attempt, head))
        self._end_run(run)

    def count_most(self, upstream_id: str) -> int:
        """Counts the most requests within the rule's window of processes told."""
        first = self.day.limit.span.start_s + STABLE_WINDOW_S
        end = self.day.limit.span.end_s
        times = [
            item.at_s
            for item in self.arrivals_at
            if item.upstream_id == upstream_id
            and first <= item.at_s < end
            and self.told.get((upstream_id, item.sender), end) + TOLD_S <= item.at_s
        ]
        return max(
            (
                sum(start <= at_s < start + WINDOW_S for at_s in times)
                for start in times
            ),
            default=0,
        )

    @property
    def allowed(self) -> float:
        """The requests that an upstream may get within the rule's window."""
        return ALLOWED_FACTOR * WINDOW_S * self.day.limit.per_s + ALLOWED_EXTRA
