"""Faults that experiments inject into a fleet, at random targets from a seed."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from magnoliahold.measure.fakes.fleet import Fleet

RESTART_DELAY_S = (2.0, 5.0)
FREEZE_DURATION_S = (0.5, 5.0)
CUT_DURATION_S = (0.5, 4.0)
OUTAGE_DURATION_S = (2.0, 8.0)


@frozen
class InjectedFault:
    """A fault and its target: an entry, an upstream, or the link between both."""

    kind: str
    at: float
    entry: str = ""
    upstream: str = ""


@frozen
class KillEngine:
    """An engine crashes and is restarted later."""


@frozen
class KillInstance:
    """An engine and its sidecar are killed together."""


@frozen
class LoseInstance:
    """The host of an engine and its sidecar fails; no connection is reset."""


@frozen
class KillSidecar:
    """A sidecar is killed; its engine cancels the streams of the reset connections."""


@frozen
class KillEntry:
    """An entry is killed and replaced by one of the same name."""


@frozen
class FreezeEngine:
    """An engine freezes and is thawed later; its connections stay open."""


@frozen
class FreezeSidecar:
    """A sidecar freezes and is thawed later; its connections stay open."""


@frozen
class FreezeEntry:
    """An entry freezes and is thawed later."""


@frozen
class SilenceEngine:
    """The streams of an engine deliver nothing more, with open connections."""


@frozen
class SilenceLink:
    """The link between an entry and a sidecar delivers nothing more but stays open."""


@frozen
class CutLink:
    """An entry and a sidecar cannot reach each other for some time."""


@frozen
class StopStore:
    """The platform's table service and instance list fail for some time."""


@define(eq=False)
class FaultInjector:
    """Injects faults at random targets of a fleet and records them."""

    fleet: Fleet
    random: Random
    injected: list[InjectedFault] = field(factory=list)
    on_fault: Callable[[InjectedFault], None] = field(default=lambda fault: None)

    def schedule_fault(self, at: float, fault: object) -> None:
        """Schedules a fault for a time on the simulated clock."""
        delay = at - self.fleet.now()
        self.fleet.clock.callLater(max(0.0, delay), inject_fault, fault, self)

    def choose_upstream(self) -> str | None:
        """Chooses a random live engine whose sidecar is live, preferably a busy one."""
        processes = self.fleet.network.processes
        names = [
            name
            for name, engine in self.fleet.engines.items()
            if engine.live
            and not engine.frozen
            and f"sidecar-{name}" in processes
            and not processes[f"sidecar-{name}"].clock.frozen
        ]
        busy = [name for name in names if self.fleet.engines[name].streams]
        return self.random.choice(busy or names) if names else None

    def choose_entry(self) -> str | None:
        """Chooses a random live entry, or None unless there are at least two."""
        processes = self.fleet.network.processes
        names = [
            name
            for name in self.fleet.list_entries()
            if not processes[name].clock.frozen
        ]
        return self.random.choice(names) if len(names) > 1 else None

    def record_fault(self, kind: str, entry: str = "", upstream: str = "") -> None:
        """Records that a fault was injected now at these targets."""
        fault = InjectedFault(kind, self.fleet.now(), entry, upstream)
        self.injected.append(fault)
        self.on_fault(fault)

    def schedule_end(
        self, span: tuple[float, float], end: Callable[..., object], *args: object
    ) -> None:
        """Calls `end` after a random duration within `span`."""
        self.fleet.clock.callLater(self.random.uniform(*span), end, *args)

    def restart_sidecar(self, upstream: str) -> None:
        """Restarts the sidecar of an upstream unless it is running."""
        if f"sidecar-{upstream}" not in self.fleet.network.processes:
            self.fleet.add_sidecar(upstream)

    def restart_entry(self, name: str) -> None:
        """Restarts an entry unless it is running."""
        if name not in self.fleet.network.processes:
            self.fleet.add_entry(name)


@singledispatch
def inject_fault(fault: object, injector: FaultInjector) -> None:
    """Injects one fault at a random target."""
    raise TypeError(f"no injection for {type(fault).__name__}; register one")


@inject_fault.register(KillEngine)
def _kill_engine(fault: KillEngine, injector: FaultInjector) -> None:
    name = injector.choose_upstream()
    if name is None:
        return
    engine = injector.fleet.engines[name]
    injector.record_fault("engine_killed", upstream=name)
    engine.kill_engine()
    injector.schedule_end(RESTART_DELAY_S, engine.restart_engine)


@inject_fault.register(KillInstance)
def _kill_instance(fault: KillInstance, injector: FaultInjector) -> None:
    name = injector.choose_upstream()
    if name is None:
        return
    injector.record_fault("instance_killed", upstream=name)
    injector.fleet.kill_instance(name)
    injector.schedule_end(RESTART_DELAY_S, injector.fleet.engines[name].restart_engine)
    injector.schedule_end(RESTART_DELAY_S, injector.restart_sidecar, name)


@inject_fault.register(LoseInstance)
def _lose_instance(fault: LoseInstance, injector: FaultInjector) -> None:
    name = injector.choose_upstream()
    if name is None:
        return
    injector.record_fault("instance_lost", upstream=name)
    injector.fleet.lose_instance(name)
    injector.schedule_end(RESTART_DELAY_S, injector.fleet.engines[name].restart_engine)
    injector.schedule_end(RESTART_DELAY_S, injector.restart_sidecar, name)


@inject_fault.register(KillSidecar)
def _kill_sidecar(fault: KillSidecar, injector: FaultInjector) -> None:
    name = injector.choose_upstream()
    if name is None:
        return
    injector.record_fault("sidecar_killed", upstream=name)
    injector.fleet.kill_process(f"sidecar-{name}")
    injector.schedule_end(RESTART_DELAY_S, injector.restart_sidecar, name)


@inject_fault.register(KillEntry)
def _kill_entry(fault: KillEntry, injector: FaultInjector) -> None:
    name = injector.choose_entry()
    if name is None:
        return
    injector.record_fault("entry_killed", entry=name)
    injector.fleet.kill_process(name)
    injector.schedule_end(RESTART_DELAY_S, injector.restart_entry, name)


@inject_fault.register(FreezeEngine)
def _freeze_engine(fault: FreezeEngine, injector: FaultInjector) -> None:
    name = injector.choose_upstream()
    if name is None:
        return
    engine = injector.fleet.engines[name]
    injector.record_fault("engine_frozen", upstream=name)
    engine.freeze_engine()
    injector.schedule_end(FREEZE_DURATION_S, engine.thaw_engine)


@inject_fault.register(FreezeSidecar)
def _freeze_sidecar(fault: FreezeSidecar, injector: FaultInjector) -> None:
    name = injector.choose_upstream()
    if name is None:
        return
    injector.record_fault("sidecar_frozen", upstream=name)
    injector.fleet.freeze_process(f"sidecar-{name}")
    injector.schedule_end(
        FREEZE_DURATION_S, injector.fleet.thaw_process, f"sidecar-{name}"
    )


@inject_fault.register(FreezeEntry)
def _freeze_entry(fault: FreezeEntry, injector: FaultInjector) -> None:
    name = injector.choose_entry()
    if name is None:
        return
    injector.record_fault("entry_frozen", entry=name)
    injector.fleet.freeze_process(name)
    injector.schedule_end(FREEZE_DURATION_S, injector.fleet.thaw_process, name)


@inject_fault.register(SilenceEngine)
def _silence_engine(fault: SilenceEngine, injector: FaultInjector) -> None:
    name = injector.choose_upstream()
    if name is None:
        return
    injector.record_fault("engine_silenced", upstream=name)
    injector.fleet.engines[name].silence_streams()


@inject_fault.register(SilenceLink)
def _silence_link(fault: SilenceLink, injector: FaultInjector) -> None:
    upstream = injector.choose_upstream()
    entry = injector.choose_entry()
    if upstream is None or entry is None:
        return
    injector.record_fault("link_silenced", entry, upstream)
    injector.fleet.network.silence_connection(entry, f"sidecar-{upstream}")


@inject_fault.register(CutLink)
def _cut_link(fault: CutLink, injector: FaultInjector) -> None:
    upstream = injector.choose_upstream()
    entry = injector.choose_entry()
    if upstream is None or entry is None:
        return
    injector.record_fault("link_cut", entry, upstream)
    network = injector.fleet.network
    sidecar = f"sidecar-{upstream}"
    network.cut_pair(entry, sidecar)
    injector.schedule_end(CUT_DURATION_S, network.reconnect_pair, entry, sidecar)


@inject_fault.register(StopStore)
def _stop_store(fault: StopStore, injector: FaultInjector) -> None:
    platform = injector.fleet.platform
    platform.outage = True
    injector.record_fault("store_stopped")
    injector.schedule_end(OUTAGE_DURATION_S, setattr, platform, "outage", False)
