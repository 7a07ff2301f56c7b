"""Resume latency and extra tokens of a finished scenario."""

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
    """Tokens computed beyond those of one uninterrupted run of each request.

    `prompt` counts prompt and prefix tokens that were prefilled again, `output` output
    tokens that were computed but discarded, and `duplicates` output tokens of the
    delivered generation that were computed more than once.
    """

    prompt: int = 0
    output: int = 0
    duplicates: int = 0

    @property
    def total(self) -> int:
        """The sum of all extra tokens."""
        return self.prompt + self.output + self.duplicates


def is_caller_affected(caller: GenerationCaller, fault: InjectedFault) -> bool:
    """Returns whether a fault affects the entry or upstream now serving a caller."""
    if caller.done or not caller.tokens or caller.last_event is None:
        return False
    sidecar = caller.last_event.sidecar
    if fault.entry and caller.entry != fault.entry:
        return False
    if fault.upstream and sidecar != f"sidecar-{fault.upstream}":
        return False
    return bool(fault.entry or fault.upstream)


def find_resume_latency(
    progress: Sequence[float], fault_at: float, interval_s: float
) -> tuple[float, float] | None:
    """Finds the start and latency of the pause that a fault caused at a caller.

    `progress` holds the time at which the caller first received the token at each
    offset. The pause is the longest one that starts between 0.1 s before and 0.25 s
    after the fault, because tokens in flight still arrive; one token interval is
    subtracted from it. Returns None if the answer ended before the next token.
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
    """Counts the tokens that engines computed beyond what callers needed."""
    by_prompt: dict[str, list[EngineRun]] = {}
    for run in runs:
        by_prompt.setdefault(run.prompt, []).append(run)
    extra = ExtraTokens()
    for caller in callers:
        caller_runs = by_prompt.get(caller.request.prompt, [])
        extra.prompt += sum(run.prefilled for run in caller_runs[1:])
        _count_output(extra, caller_runs, caller)
    return extra


def _count_output(
    extra: ExtraTokens, runs: list[EngineRun], caller: GenerationCaller
) -> None:
    first_token = caller.tokens[0] if caller.tokens else ""
    computed: set[int] = set()
    for run in runs:
        span = range(run.prefix, len(run.tokens))
        if not span:
            continue
        if run.tokens[0] != first_token:
            extra.output += len(span)
            continue
        extra.duplicates += len(computed.intersection(span))
        computed.update(span)
    extra.output += len(computed.difference(range(len(caller.tokens))))
