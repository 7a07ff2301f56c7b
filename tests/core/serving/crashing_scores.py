"""Counts what the rules count on a day when parts of prompts crash engines."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import frozen

from tests.core.serving.crashing_day import EPOCH_S, STABLE_WINDOW_S, Span

if TYPE_CHECKING:
    from tests.core.serving.crashing_parts import CrashingFleet

GOAL_S = 4.5
# The rule judges parts of prompts from this crash on.
COUNTED_CRASHES = 5


@frozen
class Score:
    """What a day counts for the rules.

    `late` counts, by deadly part, the requests with it that reached engines later than
    the stable window after its fifth crash. `judged` is how many sound requests arrived
    in the time in which the rule counts them, and of these `begun` began at the first
    attempt and `refused` were refused as not run. `served` of all `sound` requests were
    completed, repeats included.
    """

    late: dict[str, int]
    ended: int
    judged: int
    begun: int
    on_time: int
    refused: int
    sound: int
    served: int
    reasons: dict[str, int]


def find_judged_span(fleet: CrashingFleet) -> Span:
    """Finds the time in which sound requests must begin at their first attempt."""
    spans = []
    for part in fleet.day.deadly:
        times = [crash.at_s for crash in fleet.crashes if crash.part == part.id]
        if times:
            at_s = times[min(4, len(times) - 1)]
            spans.append(Span(at_s + 2 * STABLE_WINDOW_S, part.requested.end_s))
    if not spans:
        return Span(0.0, fleet.day.length_s)
    starts = max(span.start_s for span in spans)
    return Span(starts, max(span.end_s for span in spans))


def score(fleet: CrashingFleet) -> Score:
    """Counts what the rules count."""
    span = find_judged_span(fleet)
    sound = [item for item in fleet.requests if item.first and not item.deadly]
    refused = [
        item
        for item in sound
        if item.refused_at is not None and 2 * item.engines_up >= fleet.day.engines
    ]
    judged = [item for item in sound if span.covers(item.arrived_at - EPOCH_S)]
    return Score(
        late={part.id: count_late(fleet, part.id) for part in fleet.day.deadly},
        ended=len(fleet.crashes),
        judged=len(judged),
        begun=sum(item.began_at is not None for item in judged),
        on_time=sum(item.wait_s <= GOAL_S for item in judged),
        refused=len(refused),
        sound=len(sound),
        served=sum(item.completed for item in sound),
        reasons=dict(Counter(item.reason for item in refused)),
    )


def count_late(
    fleet: CrashingFleet, part: str, counted_crashes: int = COUNTED_CRASHES
) -> int:
    """Counts sends by entries in touch after the window of a part's counted crash."""
    times = [crash.at_s for crash in fleet.crashes if crash.part == part]
    if len(times) < counted_crashes:
        return 0
    limit_s = times[counted_crashes - 1] + STABLE_WINDOW_S
    return sum(
        sent.part == part and sent.in_touch and sent.at_s > limit_s
        for sent in fleet.sent
    )
