"""A simulated model engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import frozen

from magnoliahold.standins.batch import Batch, BatchLimits
from magnoliahold.standins.engine_faults import ActiveFaults
from magnoliahold.standins.engine_resource import make_engine_resource
from magnoliahold.standins.load_report import Load, LoadReport
from magnoliahold.standins.prefix_cache import CacheEventLog, PrefixCache
from magnoliahold.standins.serving_state import ServingState
from magnoliahold.standins.weight_loader import WeightLoader

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from magnoliahold.runtime import Reactor
    from magnoliahold.standins.batch import Generation
    from magnoliahold.standins.engine_faults import EngineFault


@frozen
class EngineSettings:
    """Size, speed and behaviour of a stand-in engine.

    With `weights_url`, each load of a version occupies a slot of the weight store at
    that URL.
    """

    name: str
    version: str = "v1"
    role: str = "draft"
    token_interval_s: float = 0.02
    prefill_s_per_token: float = 0.00005
    max_batch: int = 16
    max_waiting: int = 64
    cache_tokens: int = 200_000
    obeys_fencing: bool = True
    load_report_lag_s: float = 0.5
    cache_event_lag_s: float = 0.5
    cache_event_loss: float = 0.05
    load_version_s: float = 1.0
    weights_url: str = ""


@frozen
class EngineReport:
    """The answer to `GET /state`; its load is delayed, the rest is current."""

    incarnation: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    running: int
    waiting: int
    fencing: int
    capacity: int


class Engine:
    """A model engine whose process can crash, freeze and restart."""

    def __init__(
        self, reactor: Reactor, settings: EngineSettings, random: Random
    ) -> None:
        self.settings = settings
        self._reactor = reactor
        self._random = random
        self._faults = ActiveFaults(random)
        self.serving_state = ServingState(
            WeightLoader(
                reactor, settings.name, settings.load_version_s, settings.weights_url
            ),
            settings.version,
            settings.role,
            settings.obeys_fencing,
        )
        self.live = True
        self.frozen = False
        self._deferred_actions: list[Callable[[], None]] = []
        self._start_process()
        self.resource = make_engine_resource(self)

    def _start_process(self) -> None:
        settings = self.settings
        self.incarnation = f"{self._random.getrandbits(64):016x}"
        self._load_report = LoadReport(self._reactor, settings.load_report_lag_s)
        self.events = CacheEventLog(
            self._reactor,
            self._random,
            settings.cache_event_lag_s,
            settings.cache_event_loss,
        )
        self.batch = Batch(
            self._reactor,
            self._random,
            BatchLimits(
                settings.token_interval_s,
                settings.prefill_s_per_token,
                settings.max_batch,
                settings.max_waiting,
            ),
            PrefixCache(settings.cache_tokens, self.events),
            self._faults,
            self._record_load,
        )

    def _record_load(self) -> None:
        self._load_report.record(Load(self.batch.running, self.batch.waiting))

    def report(self) -> EngineReport:
        """Returns the state of the engine."""
        load = self._load_report.read()
        return EngineReport(
            self.incarnation,
            tuple(sorted(self.serving_state.versions)),
            tuple(sorted(self.serving_state.adapters)),
            self.serving_state.role,
            load.running,
            load.waiting,
            self.serving_state.fencing,
            self.settings.max_batch,
        )

    def submit(self, generation: Generation) -> bool:
        """Accepts a generation, or returns False if the engine is full.

        A generation that matches a "poison" fault crashes the engine.
        """
        poison = self._faults.find_poison(generation)
        if poison is not None:
            self.crash(poison.revive_after_s, poison.version)
            return True
        return self.batch.submit(generation)

    def run_when_thawed(self, action: Callable[[], None]) -> None:
        """Runs an action now, or after the engine is resumed if it is frozen."""
        if self.frozen:
            self._deferred_actions.append(action)
        else:
            action()

    def inject(self, fault: EngineFault) -> None:
        """Injects a fault of a known kind."""
        match fault.kind:
            case "clear":
                self._faults.clear()
            case "die":
                self.crash(fault.revive_after_s, fault.version)
            case "freeze":
                self.freeze(fault.for_s)
            case "resume":
                self.resume()
            case "silence_streams":
                self.silence_connections()
            case "reset_streams":
                self.reset_connections()
            case _:
                self._faults.add(fault)

    def inject_later(self, fault: EngineFault, delay_s: float) -> None:
        """Injects a fault after a delay, so that its request is answered first."""
        self._reactor.callLater(delay_s, self.inject, fault)

    def crash(self, revive_after_s: float | None = None, version: str = "") -> None:
        """Crashes: discards all generations and refuses connections until restart."""
        if not self.live:
            return
        self.live = False
        self.frozen = False
        self._deferred_actions.clear()
        self.batch.discard_all()
        if self.resource.listener is not None:
            self.resource.listener.refuse_connections()
        if revive_after_s is not None:
            self._reactor.callLater(revive_after_s, self.restart, version)

    def restart(self, version: str = "") -> None:
        """Restarts with a new incarnation, an empty cache and a single version."""
        if self.live:
            return
        self.live = True
        self.serving_state.restart(version or self.settings.version)
        self._start_process()
        if self.resource.listener is not None:
            self.resource.listener.accept_connections()

    def freeze(self, for_s: float | None = None) -> None:
        """Stops all progress until resumed, without closing any connection."""
        self.frozen = True
        self.batch.freeze()
        if for_s is not None:
            self._reactor.callLater(for_s, self.resume)

    def resume(self) -> None:
        """Resumes after a freeze."""
        if not self.frozen:
            return
        self.frozen = False
        self.batch.thaw()
        deferred, self._deferred_actions = self._deferred_actions, []
        for action in deferred:
            action()

    def silence_connections(self) -> None:
        """Silences the open connections permanently; new ones work."""
        if self.resource.listener is not None:
            self.resource.listener.silence_connections()

    def reset_connections(self) -> None:
        """Resets the open connections; new ones work."""
        if self.resource.listener is not None:
            self.resource.listener.reset_connections()

    def close(self) -> Any:
        """Stops all timers and the listener; returns a Deferred or None."""
        self.live = False
        self.batch.discard_all()
        listener = self.resource.listener
        return listener.close() if listener is not None else None


def make_engine(reactor: Reactor, settings: EngineSettings, random: Random) -> Engine:
    """Creates a stand-in engine, whose `resource` `serve_resource` can serve."""
    return Engine(reactor, settings, random)
