"""Faults that a test or an operator can inject into the stand-in engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from random import Random

    from magnoliahold.standins.batch import Generation


@frozen
class EngineFault:
    """A fault to inject, or "clear" to end the lasting ones.

    Kinds that act once: "die", "freeze", "resume", "silence_streams", "reset_streams".
    Kinds that last: "slow", "fail", "poison". Empty selectors match everything.
    `factor` multiplies the token interval, `share` is the share of generations that
    fail, `after_tokens` the count of tokens before the failure. With `revive_after_s`,
    a crashed engine restarts after that time, with `version` if given; with `for_s`, a
    freeze ends after that time.
    """

    kind: str
    version: str = ""
    workspace: str = ""
    text: str = ""
    minimum_running: int = 0
    share: float = 1.0
    factor: float = 10.0
    after_tokens: int = 0
    revive_after_s: float | None = None
    for_s: float | None = None


KINDS = frozenset(
    {
        "clear",
        "die",
        "fail",
        "freeze",
        "poison",
        "reset_streams",
        "resume",
        "silence_streams",
        "slow",
    }
)


class ActiveFaults:
    """Lasting faults, each of which affects the generations that match it."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._faults: list[EngineFault] = []

    def add(self, fault: EngineFault) -> None:
        """Starts a fault."""
        self._faults.append(fault)

    def clear(self) -> None:
        """Ends all faults."""
        self._faults.clear()

    def find_poison(self, generation: Generation) -> EngineFault | None:
        """Finds the fault by which this generation crashes the engine."""
        for fault in self._faults:
            if fault.kind == "poison" and _matches(fault, generation, running=0):
                return fault
        return None

    def draw_failure_offset(self, generation: Generation, running: int) -> int | None:
        """Draws whether a generation fails; returns after how many tokens, or None."""
        for fault in self._faults:
            if fault.kind != "fail" or not _matches(fault, generation, running):
                continue
            if self._random.random() < fault.share:
                return fault.after_tokens
        return None

    def get_slow_factor(self, generation: Generation, running: int) -> float:
        """Returns the factor that multiplies a generation's token interval."""
        factor = 1.0
        for fault in self._faults:
            if fault.kind == "slow" and _matches(fault, generation, running):
                factor = max(factor, fault.factor)
        return factor


def _matches(fault: EngineFault, generation: Generation, running: int) -> bool:
    return (
        fault.version in ("", generation.version)
        and fault.workspace in ("", generation.workspace)
        and fault.text in generation.prompt
        and (running >= fault.minimum_running or fault.kind == "poison")
    )
