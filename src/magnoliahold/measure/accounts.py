"""Accounts of a finished scenario: wholeness, resume latency and extra tokens."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from magnoliahold.measure.fakes.callers import GenerationCaller
    from magnoliahold.measure.fakes.engine import EngineRun
    from magnoliahold.measure.fakes.faults import InjectedFault

BEFORE_FAULT_S = 0.1
AFTER_FAULT_S = 0.25


@define
class ExtraTokens:
    """Tokens computed beyond one plain run of each request.

    `prompt` counts prompt and prefix tokens prefilled again, `output` output tokens
    thrown away, and `duplicates` output tokens of the delivered generation computed
    more than once.
    """

    prompt: int = 0
    output: int = 0
    duplicates: int = 0

    @property
    def total(self) -> int:
        """All extra tokens."""
        return self.prompt + self.output + self.duplicates


def is_hit(caller: GenerationCaller, hit: InjectedFault) -> bool:
    """Tells whether a fault struck what serves a caller at this moment."""
    if caller.done or not caller.tokens or caller.last_event is None:
        return False
    sidecar = caller.last_event.sidecar
    if hit.entry and caller.entry != hit.entry:
        return False
    if hit.upstream and sidecar != f"sidecar-{hit.upstream}":
        return False
    return bool(hit.entry or hit.upstream)


def find_resume_latency(
    progress: Sequence[float], fault_at: float, interval_s: float
) -> tuple[float, float] | None:
    """Finds the start and latency of the pause that a fault caused at a caller.

    `progress` holds when the caller first got a token at each offset. The pause is the
    longest one that begins from 0.1 s before to 0.25 s after the fault, because tokens
    on the way still arrive; one token interval is taken off it. Returns None when the
    answer ended meanwhile.
    """
    first = bisect_left(progress, fault_at - BEFORE_FAULT_S)
    longest: tuple[float, float] | None = None
    for index in range(first, len(progress) - 1):
        started_at = progress[index]
        if started_at > fault_at + AFTER_FAULT_S:
            break
        pause_s = progress[index + 1] - started_at - interval_s
        if longest is None or pause_s > longest[1]:
            longest = (started_at, max(0.0, pause_s))
    return longest


def count_extra_tokens(
    runs: Iterable[EngineRun], callers: Iterable[GenerationCaller]
) -> ExtraTokens:
    """Compares what engines computed with what callers needed."""
    by_prompt: dict[str, list[EngineRun]] = {}
    for run in runs:
        by_prompt.setdefault(run.prompt, []).append(run)
    extra = ExtraTokens()
    for caller in callers:
        mine = by_prompt.get(caller.request.prompt, [])
        extra.prompt += sum(run.prefilled for run in mine[1:])
        _count_output(extra, mine, caller)
    return extra


def _count_output(
    extra: ExtraTokens, runs: list[EngineRun], caller: GenerationCaller
) -> None:
    salt = caller.tokens[0] if caller.tokens else ""
    computed: set[int] = set()
    for run in runs:
        span = range(run.prefix, len(run.tokens))
        if not span:
            continue
        if run.tokens[0] != salt:
            extra.output += len(span)
            continue
        extra.duplicates += len(computed.intersection(span))
        computed.update(span)
    extra.output += len(computed.difference(range(len(caller.tokens))))
