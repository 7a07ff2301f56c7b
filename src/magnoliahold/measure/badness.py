"""Ways in which a faked version is bad, and when it first shows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from random import Random

    from magnoliahold.core.effects import StartEngineStream
    from magnoliahold.measure.fakes.engine import FakeEngine
    from magnoliahold.measure.fakes.fleet import Fleet

GOOD = "good"
ERRORS = "errors"
SOME_ERRORS = "some_errors"
SLOW = "slow"
CRASHES = "crashes"
LATER = "later"
UNDER_LOAD = "under_load"
ONE_ROUTE = "one_route"
BAD_KINDS = (ERRORS, SOME_ERRORS, SLOW, CRASHES, LATER, UNDER_LOAD, ONE_ROUTE)

SOME_ERRORS_SHARE = 0.3
SLOWDOWN = 3.0
BUSY_STREAMS = 5
CRASH_DELAY_S = 0.05
REVIVAL_S = 1.5


@define(eq=False)
class Badness:
    """How one version of one workspace behaves, and what came of it.

    `begins_at` delays the kind "later", on the rig's clock. Times are None until they
    happen; `starts` holds the time of each new stream and whether it was bad.
    """

    kind: str
    version: str
    route: str
    begins_at: float
    fleet: Fleet
    random: Random
    first_bad_at: float | None = None
    starts: list[tuple[float, bool]] = field(factory=list)
    decided: dict[str, bool] = field(factory=dict)

    @property
    def is_good(self) -> bool:
        """Whether the version never does worse than the old one."""
        return self.kind == GOOD

    def decide(self, engine: FakeEngine, effect: StartEngineStream) -> bool:
        """Decides once for each stream whether the version does badly."""
        known = self.decided.get(effect.handle)
        if known is not None:
            return known
        now = self.fleet.now()
        bad = self._is_bad(engine, effect, now)
        self.decided[effect.handle] = bad
        if not effect.prefix:
            self.starts.append((now, bad))
        if bad and self.first_bad_at is None:
            self.first_bad_at = now + self._find_delay(engine)
        if bad and self.kind == CRASHES:
            self.fleet.clock.callLater(CRASH_DELAY_S, self._crash, engine)
        return bad

    def _is_bad(
        self, engine: FakeEngine, effect: StartEngineStream, now: float
    ) -> bool:
        if self.kind == GOOD:
            return False
        if self.kind == SOME_ERRORS:
            return self.random.random() < SOME_ERRORS_SHARE
        if self.kind == LATER:
            return now >= self.begins_at
        if self.kind == UNDER_LOAD:
            return len(engine.streams) + len(engine.waiting) >= BUSY_STREAMS
        if self.kind == ONE_ROUTE:
            return self._read_route(engine, effect) == self.route
        return True

    def _read_route(self, engine: FakeEngine, effect: StartEngineStream) -> str:
        process = self.fleet.network.processes.get(f"sidecar-{engine.name}")
        if process is None:
            return ""
        stream = process.node.world.streams.by_handle.get(effect.handle)
        return stream.start.route if stream else ""

    def _find_delay(self, engine: FakeEngine) -> float:
        """Finds when the first bad answer shows after its stream has started."""
        if self.kind in (SLOW, UNDER_LOAD):
            return engine.token_interval_s * SLOWDOWN
        return CRASH_DELAY_S if self.kind == CRASHES else 0.0

    def _crash(self, engine: FakeEngine) -> None:
        if engine.live:
            engine.kill_engine()
            self.fleet.clock.callLater(REVIVAL_S, engine.restart_engine)


def install_badness(fleet: Fleet, versions: dict[str, Badness]) -> None:
    """Makes every engine of a fleet behave as the versions say."""
    for engine in fleet.engines.values():
        faults = engine.faults
        for name, badness in versions.items():
            if badness.kind in (SLOW, UNDER_LOAD):
                faults.version_slowdown[name] = SLOWDOWN
            elif badness.kind not in (GOOD, CRASHES):
                faults.version_error_share[name] = 1.0
        _install_decision(engine, versions)


def _install_decision(engine: FakeEngine, versions: dict[str, Badness]) -> None:
    def is_bad_now(effect: StartEngineStream) -> bool:
        badness = versions.get(effect.version)
        return badness is not None and badness.decide(engine, effect)

    engine.faults.is_bad_now = is_bad_now
