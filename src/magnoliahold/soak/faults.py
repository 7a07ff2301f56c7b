"""Random faults of a soak, injected from outside the processes."""

from __future__ import annotations

import signal
from functools import singledispatch
from typing import TYPE_CHECKING

from attrs import frozen

from magnoliahold.soak.deployment import (
    CALLS,
    ENGINES,
    NEW_VERSION,
    UPSTREAM_RESTART_DELAY_S,
    Deployment,
)
from magnoliahold.soak.processes import STOP_GRACE_S
from magnoliahold.soak.proxies import ProxyMode
from magnoliahold.standins.users.store import StoreState
from magnoliahold.standins.users.upstreams import Behaviour

if TYPE_CHECKING:
    from random import Random

    from magnoliahold.soak.deployment import UpstreamSlot
    from magnoliahold.soak.processes import EntryProcess

ENTRY_RESTART_DELAY_S = 0.6
MOVE_DURATION_S = 9.0
RECOVERY_TIME_S = 3.0


@frozen
class KillEntry:
    """An entry is killed and restarted."""


@frozen
class PauseEntry:
    """An entry is suspended with SIGSTOP."""

    duration_s: float


@frozen
class StopEntry:
    """An entry is stopped with SIGTERM, and restarted once it has ended."""


@frozen
class ReloadEntry:
    """An entry reloads its settings after a SIGHUP."""


@frozen
class CutStore:
    """The connection of one entry to the store fails."""

    mode: ProxyMode
    duration_s: float


@frozen
class ChangeStore:
    """The store itself fails."""

    state: StoreState
    duration_s: float


@frozen
class ForgetHistory:
    """The store discards its change history."""


@frozen
class RestoreStore:
    """The store goes away and comes back from a copy that is some seconds old.

    Operators and upstreams write again what it lacks within `rewrite_s`.
    """

    copy_age_s: float
    outage_s: float
    rewrite_s: float


@frozen
class LoseUpstreams:
    """One upstream, or all engines of a data centre, crash and are restarted."""

    service: str
    together: bool


@frozen
class DarkenUpstreams:
    """The engines of a data centre stop answering, and are replaced afterwards."""

    duration_s: float


@frozen
class DelayUpstream:
    """Traffic to and from an engine is delayed."""

    duration_s: float


@frozen
class SilenceConnections:
    """Open connections to an upstream stop passing data without being closed."""


@frozen
class ResetConnections:
    """Open connections to an upstream are reset."""


@frozen
class LoseAnswers:
    """Upstreams of plain calls lose answers to calls that they have run."""

    duration_s: float


@frozen
class DrainUpstream:
    """An upstream is drained."""

    service: str


@frozen
class ChangeTimeout:
    """An operator changes a timeout."""


@frozen
class RevokeCredential:
    """An operator revokes the credential of a workspace."""


@frozen
class OrderMove:
    """An operator moves the plain service to another version."""

    bad: bool


Fault = object


def draw_faults(random: Random, count: int, restores: int = 0) -> list[Fault]:
    """Draws faults at random; a revocation and a move occur exactly once.

    `restores` of the store are added; without them the other draws are the same.
    """
    drawn = [_draw(random) for _ in range(count)]
    single = [RevokeCredential(), OrderMove(bad=random.random() < 0.6)]
    for fault in single:
        drawn.insert(random.randint(0, len(drawn)), fault)
    for _ in range(restores):
        fault = RestoreStore(
            copy_age_s=random.uniform(0.3, 3.0),
            outage_s=random.uniform(0.1, 1.5),
            rewrite_s=random.uniform(0.1, 1.5),
        )
        drawn.insert(random.randint(0, len(drawn)), fault)
    return drawn


def _draw(random: Random) -> Fault:
    duration_s = random.uniform(0.5, 4.0)
    modes = (ProxyMode.SILENT, ProxyMode.ONE_WAY, ProxyMode.DELAYED)
    return random.choice(
        (
            KillEntry(),
            PauseEntry(duration_s),
            StopEntry(),
            ReloadEntry(),
            CutStore(random.choice(modes), duration_s + 1.0),
            ChangeStore(random.choice(list(StoreState)[1:]), duration_s),
            ForgetHistory(),
            LoseUpstreams(random.choice((ENGINES, CALLS)), random.random() < 0.5),
            DarkenUpstreams(duration_s / 2),
            DelayUpstream(duration_s),
            SilenceConnections(),
            ResetConnections(),
            LoseAnswers(duration_s),
            DrainUpstream(random.choice((ENGINES, CALLS))),
            ChangeTimeout(),
        )
    )


def _pick_entry(deployment: Deployment) -> EntryProcess | None:
    """Picks a running entry that isn't paused or stopping.

    Never picks the first entry, so that one entry stays undisturbed.
    """
    candidates = [
        entry
        for entry in deployment.entries[1:]
        if entry.running and not entry.paused and entry.stop_requested_at is None
    ]
    return deployment.random.choice(candidates) if candidates else None


def _pick_slot(deployment: Deployment, service: str) -> UpstreamSlot | None:
    candidates = [
        slot
        for slot in deployment.slots
        if slot.service == service and slot.upstream is not None
    ]
    return deployment.random.choice(candidates) if len(candidates) > 1 else None


@singledispatch
def inject(fault: Fault, deployment: Deployment) -> None:
    """Injects a fault now and schedules its end, if it lasts."""
    raise TypeError(f"no injector for {type(fault).__name__}; register one")


@inject.register
def _kill_entry(fault: KillEntry, deployment: Deployment) -> None:
    entry = _pick_entry(deployment)
    if entry is not None:
        entry.kill()
        deployment.reactor.callLater(ENTRY_RESTART_DELAY_S, entry.start)


@inject.register
def _pause_entry(fault: PauseEntry, deployment: Deployment) -> None:
    entry = _pick_entry(deployment)
    if entry is not None:
        entry.pause()
        deployment.checker.allow_late_updates(fault.duration_s + RECOVERY_TIME_S)
        deployment.reactor.callLater(fault.duration_s, entry.resume)


@inject.register
def _stop_entry(fault: StopEntry, deployment: Deployment) -> None:
    entry = _pick_entry(deployment)
    if entry is not None:
        entry.stop_requested_at = deployment.reactor.seconds()
        entry.send_signal(signal.SIGTERM)
        watch_stop(entry, deployment)


def watch_stop(entry: EntryProcess, deployment: Deployment) -> None:
    """Starts an entry anew once it has ended, which it must within its grace."""
    stop_requested_at = entry.stop_requested_at
    if stop_requested_at is None:
        return
    elapsed_s = deployment.reactor.seconds() - stop_requested_at
    if not entry.running:
        deployment.checker.checked["planned stops"] += 1
        entry.start()
    elif elapsed_s > STOP_GRACE_S:
        text = f"{entry.name} still runs {elapsed_s:.1f} s after SIGTERM"
        deployment.checker.record_violation("planned stop", text)
        entry.kill()
        entry.start()
    else:
        deployment.reactor.callLater(0.1, watch_stop, entry, deployment)


@inject.register
def _reload_entry(fault: ReloadEntry, deployment: Deployment) -> None:
    entry = _pick_entry(deployment)
    if entry is not None and has_started(entry):
        entry.send_signal(signal.SIGHUP)


def has_started(entry: EntryProcess) -> bool:
    """Returns whether the process handles signals yet.

    Before that, SIGHUP would terminate it.
    """
    return entry.log_path.read_bytes().count(b"Process started.") >= entry.starts


@inject.register
def _cut_store(fault: CutStore, deployment: Deployment) -> None:
    proxy = deployment.random.choice(list(deployment.store_proxies.values()))
    proxy.mode = fault.mode
    deployment.checker.allow_late_updates(fault.duration_s + RECOVERY_TIME_S)

    def restore() -> None:
        proxy.mode = ProxyMode.PLAIN

    deployment.reactor.callLater(fault.duration_s, restore)


@inject.register
def _change_store(fault: ChangeStore, deployment: Deployment) -> None:
    deployment.store.state = fault.state
    deployment.checker.allow_late_updates(fault.duration_s + RECOVERY_TIME_S)

    def restore() -> None:
        deployment.store.state = StoreState.UP

    deployment.reactor.callLater(fault.duration_s, restore)


@inject.register
def _forget_history(fault: ForgetHistory, deployment: Deployment) -> None:
    deployment.store.discard_history()


@inject.register
def _restore_store(fault: RestoreStore, deployment: Deployment) -> None:
    store, reactor = deployment.store, deployment.reactor
    copy = store.copy_rows()

    def end_outage() -> None:
        store.restore(copy)
        store.state = StoreState.UP
        reactor.callLater(fault.rewrite_s, deployment.rewrite_lost_rows)

    def begin_outage() -> None:
        store.state = StoreState.UNAVAILABLE
        lasting_s = fault.outage_s + fault.rewrite_s + RECOVERY_TIME_S
        deployment.checker.allow_late_updates(lasting_s)
        reactor.callLater(fault.outage_s, end_outage)

    reactor.callLater(fault.copy_age_s, begin_outage)


@inject.register
def _lose_upstreams(fault: LoseUpstreams, deployment: Deployment) -> None:
    first = _pick_slot(deployment, fault.service)
    if first is None:
        return
    crashed = [first]
    if fault.together and fault.service == ENGINES:
        crashed = _list_same_data_centre(deployment, first)
    for slot in crashed:
        deployment.crash_upstream(slot)
        deployment.reactor.callLater(
            UPSTREAM_RESTART_DELAY_S, _restart_upstream, deployment, slot
        )


def _list_same_data_centre(
    deployment: Deployment, first: UpstreamSlot
) -> list[UpstreamSlot]:
    return [
        slot
        for slot in deployment.slots
        if slot.service == first.service and slot.data_centre == first.data_centre
    ]


def _restart_upstream(deployment: Deployment, slot: UpstreamSlot) -> None:
    if slot.upstream is None:
        deployment.start_upstream(slot)


@inject.register
def _silence_upstreams(fault: DarkenUpstreams, deployment: Deployment) -> None:
    first = _pick_slot(deployment, ENGINES)
    for slot in _list_same_data_centre(deployment, first) if first else ():
        slot.proxy.mode = ProxyMode.SILENT
        deployment.reactor.callLater(
            fault.duration_s, _replace_silenced, deployment, slot
        )


def _replace_silenced(deployment: Deployment, slot: UpstreamSlot) -> None:
    slot.proxy.mode = ProxyMode.PLAIN
    deployment.crash_upstream(slot)
    _restart_upstream(deployment, slot)


@inject.register
def _delay_upstream(fault: DelayUpstream, deployment: Deployment) -> None:
    slot = _pick_slot(deployment, ENGINES)
    if slot is None or slot.proxy.mode is not ProxyMode.PLAIN:
        return
    slot.proxy.mode = ProxyMode.DELAYED

    def restore() -> None:
        if slot.proxy.mode is ProxyMode.DELAYED:
            slot.proxy.mode = ProxyMode.PLAIN

    deployment.reactor.callLater(fault.duration_s, restore)


@inject.register
def _silence_connections(fault: SilenceConnections, deployment: Deployment) -> None:
    slot = _pick_slot(deployment, deployment.random.choice((ENGINES, CALLS)))
    if slot is not None:
        slot.proxy.silence_open_connections()


@inject.register
def _reset_connections(fault: ResetConnections, deployment: Deployment) -> None:
    slot = _pick_slot(deployment, deployment.random.choice((ENGINES, CALLS)))
    if slot is not None:
        slot.proxy.reset_connections()


@inject.register
def _lose_answers(fault: LoseAnswers, deployment: Deployment) -> None:
    behaviours = list(deployment.behaviours.values())
    for behaviour in behaviours:
        behaviour.lost_answers = 0.1

    def restore() -> None:
        for behaviour in behaviours:
            behaviour.lost_answers = 0.0

    deployment.reactor.callLater(fault.duration_s, restore)


@inject.register
def _drain_upstream(fault: DrainUpstream, deployment: Deployment) -> None:
    slot = _pick_slot(deployment, fault.service)
    if slot is not None:
        deployment.drain_upstream(slot)


@inject.register
def _change_timeout(fault: ChangeTimeout, deployment: Deployment) -> None:
    routes = [dict(route) for route in deployment.configuration["routes"]]
    routes[0]["timeout_ms"] = deployment.random.randint(11_000, 13_000)
    deployment.change_configuration(routes=routes)


@inject.register
def _revoke_credential(fault: RevokeCredential, deployment: Deployment) -> None:
    tenants = deployment.configuration["tenants"]
    deployment.change_configuration(tenants=tenants[1:])
    deployment.checker.revoked[tenants[0]["name"]] = deployment.reactor.seconds()


@inject.register
def _order_move(fault: OrderMove, deployment: Deployment) -> None:
    failures = 0.8 if fault.bad else 0.01
    deployment.behaviours[NEW_VERSION] = Behaviour(failures=failures)
    for number in range(3):
        deployment.add_slot(CALLS, number, NEW_VERSION)
    deployment.order_move(CALLS, NEW_VERSION, MOVE_DURATION_S)
    if fault.bad:
        since = deployment.reactor.seconds()
        deployment.reactor.callLater(
            MOVE_DURATION_S,
            deployment.checker.check_exposure,
            NEW_VERSION,
            since,
            since + MOVE_DURATION_S,
        )
