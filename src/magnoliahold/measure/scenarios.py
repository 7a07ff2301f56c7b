"""Fleet sizes and request mixes of the two modelled deployments."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

from magnoliahold.core.events import GenerationArrived
from magnoliahold.measure.fakes.callers import GenerationCaller
from magnoliahold.measure.fakes.workspaces import make_work, make_workspace

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from magnoliahold.core.workspaces import Workspace
    from magnoliahold.measure.fakes.fleet import Fleet

WORKSPACES = 10
LONG_TOKENS = (150, 400)
SHORT_TOKENS = (10, 60)
PROMPT_WORDS = (20, 200)


@frozen
class Deployment:
    """Number of engines by role, and the roles that run the long and short works."""

    name: str
    engines: dict[str, int]
    long_role: str
    short_role: str
    data_centres: int


ROCHEBRUNE = Deployment("rochebrune", {"draft": 12, "desk": 3}, "draft", "desk", 3)
NAULAKKO = Deployment("naulakko", {"report": 9, "counter": 4}, "report", "counter", 4)
DEPLOYMENTS = (ROCHEBRUNE, NAULAKKO)


def make_workspaces(deployment: Deployment) -> list[Workspace]:
    """Builds the workspaces of a deployment, each with a long and a short work."""
    works = [
        make_work("long", deployment.long_role),
        make_work("short", deployment.short_role, interactive=True, deadline_s=60.0),
    ]
    return [make_workspace(f"workspace-{n}", list(works)) for n in range(WORKSPACES)]


@define(eq=False)
class CallerMix:
    """Generates callers; workspaces with lower numbers get more of them.

    `buffered_share` of them request the answer as a whole instead of a stream.
    """

    fleet: Fleet
    random: Random
    long_share: float = 0.5
    buffered_share: float = 0.2
    callers: list[GenerationCaller] = field(factory=list)

    def plan_caller(
        self, at: float, change: Callable[[GenerationCaller], None]
    ) -> None:
        """Plans a random caller at a time of the simulation clock.

        `change` adjusts the caller first.
        """
        caller = self._draw_caller()
        change(caller)
        self.callers.append(caller)
        delay = max(0.0, at - self.fleet.now())
        self.fleet.clock.callLater(delay, caller.start_request)

    def _draw_caller(self) -> GenerationCaller:
        serial = len(self.callers)
        long = self.random.random() < self.long_share
        words = self.random.randint(*PROMPT_WORDS)
        prompt = f"request {serial} " + "word " * words
        request = GenerationArrived(
            request_id="",
            workspace=f"workspace-{int(WORKSPACES * self.random.random() ** 2)}",
            work="long" if long else "short",
            prompt=prompt,
            max_tokens=self.random.randint(*(LONG_TOKENS if long else SHORT_TOKENS)),
            stream=self.random.random() >= self.buffered_share,
            fingerprint=f"print-{serial}",
        )
        return GenerationCaller(self.fleet.clock, self.fleet, request)
