"""Behaviour of simulated good and bad versions, and when the first symptom appears."""

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
SLOWDOWN_FACTOR = 3.0
BUSY_STREAMS = 5
CRASH_DELAY_S = 0.05
RESTART_DELAY_S = 1.5


@define(eq=False)
class VersionBehaviour:
    """Behaviour of one version of one workspace, and its recorded effects.

    `bad_from` is when the kind "later" turns bad, on the simulation clock. `route` is
    the only one on which the kind "one_route" is bad. `first_bad_at` is None until the
    first bad answer. `stream_starts` holds the time of each new stream and whether it
    was bad.
    """

    kind: str
    version: str
    route: str
    bad_from: float
    fleet: Fleet
    random: Random
    first_bad_at: float | None = None
    stream_starts: list[tuple[float, bool]] = field(factory=list)
    bad_by_handle: dict[str, bool] = field(factory=dict)

    @property
    def is_good(self) -> bool:
        """Whether the version behaves as well as the old one."""
        return self.kind == GOOD

    def decide_if_bad(self, engine: FakeEngine, effect: StartEngineStream) -> bool:
        """Decides once per stream whether the version behaves badly on it."""
        known = self.bad_by_handle.get(effect.handle)
        if known is not None:
            return known
        now = self.fleet.now()
        bad = self._is_bad(engine, effect, now)
        self.bad_by_handle[effect.handle] = bad
        if not effect.prefix:
            self.stream_starts.append((now, bad))
        if bad and self.first_bad_at is None:
            self.first_bad_at = now + self._find_symptom_delay(engine)
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
            return now >= self.bad_from
        if self.kind == UNDER_LOAD:
            return len(engine.streams) + len(engine.waiting) >= BUSY_STREAMS
        if self.kind == ONE_ROUTE:
            return self._find_route(engine, effect) == self.route
        return True

    def _find_route(self, engine: FakeEngine, effect: StartEngineStream) -> str:
        process = self.fleet.network.processes.get(f"sidecar-{engine.name}")
        if process is None:
            return ""
        stream = process.node.world.streams.by_handle.get(effect.handle)
        return stream.start.route if stream else ""

    def _find_symptom_delay(self, engine: FakeEngine) -> float:
        """Returns the time from the start of a bad stream to its first symptom."""
        if self.kind in (SLOW, UNDER_LOAD):
            return engine.token_interval_s * SLOWDOWN_FACTOR
        return CRASH_DELAY_S if self.kind == CRASHES else 0.0

    def _crash(self, engine: FakeEngine) -> None:
        if engine.live:
            engine.kill_engine()
            self.fleet.clock.callLater(RESTART_DELAY_S, engine.restart_engine)


def install_behaviours(fleet: Fleet, versions: dict[str, VersionBehaviour]) -> None:
    """Configures every engine of a fleet with the behaviour of each version."""
    for engine in fleet.engines.values():
        faults = engine.faults
        for name, behaviour in versions.items():
            if behaviour.kind in (SLOW, UNDER_LOAD):
                faults.version_slowdown[name] = SLOWDOWN_FACTOR
            elif behaviour.kind not in (GOOD, CRASHES):
                faults.version_error_share[name] = 1.0
        _install_decisions(engine, versions)


def _install_decisions(
    engine: FakeEngine, versions: dict[str, VersionBehaviour]
) -> None:
    def is_bad_now(effect: StartEngineStream) -> bool:
        behaviour = versions.get(effect.version)
        return behaviour is not None and behaviour.decide_if_bad(engine, effect)

    engine.faults.is_bad_now = is_bad_now
