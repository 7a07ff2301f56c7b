"""Faults of plain services and of the store that holds their claims."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, frozen

from magnoliahold.measure.fakes.faults import (
    FREEZE_DURATION_S,
    RESTART_DELAY_S,
    FaultInjector,
    inject_fault,
)

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.service import FakeService

SLOW_DURATION_S = (1.0, 6.0)


@frozen
class KillService:
    """A service crashes and is restarted later."""


@frozen
class FreezeService:
    """A service freezes; its calls in flight run when it is thawed."""


@frozen
class KillServiceInstance:
    """A service and its sidecar are killed together."""


@frozen
class SlowStore:
    """Part of the store's requests are delayed and take effect late."""


@define(eq=False)
class ServiceFaultInjector(FaultInjector):
    """Injects faults at services, their sidecars and links."""

    def choose_upstream(self) -> str | None:
        """Chooses a random live service whose sidecar is live, by name."""
        processes = self.fleet.network.processes
        names = [
            name
            for name, service in self.fleet.services.items()
            if service.live
            and not service.frozen
            and f"sidecar-{name}" in processes
            and not processes[f"sidecar-{name}"].clock.frozen
        ]
        return self.random.choice(names) if names else None

    def choose_service(self) -> FakeService | None:
        """Chooses a random live service whose sidecar is live."""
        name = self.choose_upstream()
        return self.fleet.services[name] if name is not None else None


@inject_fault.register(KillService)
def _kill_service(fault: KillService, injector: ServiceFaultInjector) -> None:
    service = injector.choose_service()
    if service is None:
        return
    injector.record_fault("service_killed", upstream=service.name)
    service.kill_service()
    injector.schedule_end(RESTART_DELAY_S, service.restart_service)


@inject_fault.register(FreezeService)
def _freeze_service(fault: FreezeService, injector: ServiceFaultInjector) -> None:
    service = injector.choose_service()
    if service is None:
        return
    injector.record_fault("service_frozen", upstream=service.name)
    service.freeze_service()
    injector.schedule_end(FREEZE_DURATION_S, service.thaw_service)


@inject_fault.register(KillServiceInstance)
def _kill_instance(fault: KillServiceInstance, injector: ServiceFaultInjector) -> None:
    service = injector.choose_service()
    if service is None:
        return
    injector.record_fault("service_instance_killed", upstream=service.name)
    service.kill_service()
    injector.fleet.kill_process(f"sidecar-{service.name}")
    injector.schedule_end(RESTART_DELAY_S, service.restart_service)
    injector.schedule_end(RESTART_DELAY_S, injector.restart_sidecar, service.name)


@inject_fault.register(SlowStore)
def _slow_store(fault: SlowStore, injector: ServiceFaultInjector) -> None:
    platform = injector.fleet.platform
    injector.record_fault("store_slowed")
    platform.late_share = 0.4
    injector.schedule_end(SLOW_DURATION_S, setattr, platform, "late_share", 0.0)
