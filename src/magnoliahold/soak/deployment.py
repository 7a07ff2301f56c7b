"""The deployment of a soak: entries as processes, stand-ins for everything else."""

from __future__ import annotations

import socket
from random import Random, SystemRandom
from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, readBody

from magnoliahold.soak.callers import Caller
from magnoliahold.soak.guarantees import GuaranteeChecker
from magnoliahold.soak.processes import EntryProcess
from magnoliahold.soak.proxies import LOOPBACK, Proxy, ProxyMode
from magnoliahold.standins.server import serve_resource
from magnoliahold.standins.users.operators import (
    CONFIGURATION_ROW,
    READY_PATH,
    REGISTRATIONS,
    make_configuration,
    make_order,
    make_registration,
    make_route,
)
from magnoliahold.standins.users.store import UsersStore
from magnoliahold.standins.users.upstreams import Behaviour, UsersUpstream

if TYPE_CHECKING:
    from pathlib import Path

    from twisted.internet.defer import Deferred

    from magnoliahold.soak.callers import Outcome
    from magnoliahold.soak.pipelining import PipeliningCaller
    from magnoliahold.standins.server import Listener


ENGINES, CALLS = "engines", "calls"
OLD_VERSION, NEW_VERSION = "v1", "v2"
DATA_CENTRES = ("data-centre-1", "data-centre-2", "data-centre-3")
HOST = LOOPBACK
FIRST_PORT, LAST_PORT = 20_000, 32_000
CREDENTIAL_COUNT = 4
CALLER_COUNT = 8
READINESS_CHECK_INTERVAL_S = 0.5
MAX_FAILED_CHECKS = 2
DRAIN_DURATION_S = 4.0
UPSTREAM_RESTART_DELAY_S = 1.2


def find_free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Finds a free loopback port below the system's ephemeral port range.

    An ephemeral port could be assigned to an outgoing connection while the process
    that listens on it is being restarted.
    """
    while True:
        port = SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        with socket.socket(socket.AF_INET, kind) as candidate:
            try:
                candidate.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


@define(eq=False)
class UpstreamSlot:
    """A slot for an upstream, behind a proxy that is kept across restarts.

    Each start creates an upstream with a new id.
    """

    service: str
    number: int
    data_centre: str
    version: str
    proxy: Proxy
    upstream: UsersUpstream | None = None
    listener: Listener | None = None
    starts: int = 0
    draining: bool = False


@define(eq=False)
class Deployment:
    """Everything that a soak starts; `close` stops all of it."""

    reactor: Any
    random: Random
    folder: Path
    entry_count: int
    store: UsersStore = field(init=False)
    checker: GuaranteeChecker = field(init=False)
    entries: list[EntryProcess] = field(factory=list)
    store_proxies: dict[str, Proxy] = field(factory=dict)
    slots: list[UpstreamSlot] = field(factory=list)
    callers: list[Caller | PipeliningCaller] = field(factory=list)
    outcomes: list[Outcome] = field(factory=list)
    behaviours: dict[str, Behaviour] = field(factory=dict)
    configuration: dict[str, Any] = field(factory=dict)
    order: tuple[str, str, Any] | None = None
    failed_checks: dict[str, int] = field(factory=dict)
    _store_listener: Listener | None = None
    _readiness_checks: LoopingCall | None = None

    def __attrs_post_init__(self) -> None:
        self.store = UsersStore(self.reactor)
        self.checker = GuaranteeChecker(self.reactor, self.is_reachable)
        self.behaviours = {
            OLD_VERSION: Behaviour(failures=0.01),
            NEW_VERSION: Behaviour(failures=0.01),
        }

    def start(self) -> None:
        """Starts the store, the upstreams and the entries."""
        listener = serve_resource(self.reactor, self.store, LOOPBACK, 0)
        self._store_listener = listener
        self._write_first_configuration()
        for number in range(6):
            self.add_slot(ENGINES, number, OLD_VERSION)
        for number in range(3):
            self.add_slot(CALLS, number, OLD_VERSION)
        for number in range(self.entry_count):
            self._add_entry(number, listener.port)
        self._readiness_checks = LoopingCall(self._check_readiness)
        self._readiness_checks.clock = self.reactor
        self._readiness_checks.start(READINESS_CHECK_INTERVAL_S)

    def _add_entry(self, number: int, store_port: int) -> None:
        name = f"entry-{number + 1}"
        proxy = Proxy(self.reactor, store_port)
        proxy.open()
        self.store_proxies[name] = proxy
        entry = EntryProcess(
            name,
            self.folder,
            find_free_port(),
            find_free_port(),
            find_free_port(socket.SOCK_DGRAM),
            proxy.port,
            DATA_CENTRES[number % len(DATA_CENTRES)],
        )
        self.entries.append(entry)
        self.failed_checks[name] = MAX_FAILED_CHECKS
        entry.start()

    def start_callers(self) -> None:
        """Starts the callers."""
        for number in range(CALLER_COUNT):
            caller = Caller(
                self.reactor,
                Random(self.random.random()),
                self.checker,
                self.choose_entry,
                f"credential-{number % CREDENTIAL_COUNT}",
                self.outcomes,
                name=f"caller-{number}",
            )
            self.callers.append(caller)
            ensureDeferred(caller.run())

    def choose_entry(self) -> int:
        """Returns the port of an entry in rotation, or of any entry if none is."""
        ready = [
            item
            for item in self.entries
            if self.failed_checks[item.name] < MAX_FAILED_CHECKS
        ]
        return self.random.choice(ready or self.entries).callers_port

    def _check_readiness(self) -> None:
        for entry in self.entries:
            ensureDeferred(self._check_entry_readiness(entry))

    async def _check_entry_readiness(self, entry: EntryProcess) -> None:
        url = f"http://{LOOPBACK}:{entry.ready_port}{READY_PATH}".encode()
        agent = Agent(self.reactor, connectTimeout=0.3)
        pending: Any = agent.request(b"GET", url)
        timer = self.reactor.callLater(0.4, pending.cancel)
        try:
            response = await pending
            await readBody(response)
            ready = response.code == 200
        except Exception:
            ready = False
        finally:
            if timer.active():
                timer.cancel()
        self.failed_checks[entry.name] = (
            0 if ready else self.failed_checks[entry.name] + 1
        )

    def count_ready(self) -> int:
        """Counts the entries that are in rotation."""
        return sum(
            self.failed_checks[entry.name] < MAX_FAILED_CHECKS for entry in self.entries
        )

    def add_slot(self, service: str, number: int, version: str) -> UpstreamSlot:
        """Adds a slot and starts an upstream in it."""
        proxy = Proxy(self.reactor, 0)
        proxy.open()
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        slot = UpstreamSlot(service, number, data_centre, version, proxy)
        self.slots.append(slot)
        self.start_upstream(slot)
        return slot

    def start_upstream(self, slot: UpstreamSlot) -> None:
        """Starts a new upstream in a slot and registers it."""
        slot.starts += 1
        slot.draining = False
        upstream = UsersUpstream(
            id=f"{slot.service}-{slot.version}-{slot.number}.{slot.starts}",
            address=f"{LOOPBACK}:{slot.proxy.port}",
            version=slot.version,
            clock=self.reactor,
            random=self.random,
            observer=self.checker,
            find_other=self.find_upstream,
            behaviour=self.behaviours[slot.version],
        )
        slot.upstream = upstream
        slot.listener = serve_resource(self.reactor, upstream, LOOPBACK, 0)
        slot.proxy.target_port = slot.listener.port
        slot.proxy.mode = ProxyMode.PLAIN
        self.register(slot, "ready")

    def register(self, slot: UpstreamSlot, state: str) -> None:
        """Writes the registration of a slot's upstream to the store."""
        upstream = slot.upstream
        if upstream is None:
            return
        document = make_registration(
            slot.service,
            upstream.address,
            slot.data_centre,
            slot.version,
            state,
            slot.starts,
        )
        self.store.put(REGISTRATIONS, upstream.id, document)

    def crash_upstream(self, slot: UpstreamSlot) -> None:
        """Stops an upstream as a crash would; its registration stays for 2 seconds."""
        upstream, listener = slot.upstream, slot.listener
        if upstream is None or listener is None:
            return
        upstream.stop()
        listener.close()
        slot.proxy.target_port = 0
        slot.proxy.reset_connections()
        slot.upstream = slot.listener = None
        self.reactor.callLater(2.0, self.store.remove, REGISTRATIONS, upstream.id)

    def drain_upstream(self, slot: UpstreamSlot) -> None:
        """Drains an upstream; it is stopped and replaced later."""
        upstream = slot.upstream
        if upstream is None or slot.draining:
            return
        slot.draining = True
        self.register(slot, "draining")
        self.checker.leaving[upstream.id] = self.reactor.seconds()
        self.reactor.callLater(DRAIN_DURATION_S, self._stop_drained, slot, upstream)

    def _stop_drained(self, slot: UpstreamSlot, upstream: UsersUpstream) -> None:
        if slot.upstream is upstream:
            self.crash_upstream(slot)
            self.reactor.callLater(UPSTREAM_RESTART_DELAY_S, self.start_upstream, slot)

    def find_upstream(self, address: str) -> UsersUpstream | None:
        """Finds a running upstream by its registered address."""
        for slot in self.slots:
            if slot.upstream is not None and slot.upstream.address == address:
                return slot.upstream
        return None

    def is_reachable(self, upstream_id: str) -> bool:
        """Returns whether an upstream is notified when a connection is closed.

        It isn't if its proxy injects a fault, or has not passed on a close.
        """
        for slot in self.slots:
            if slot.upstream is not None and slot.upstream.id == upstream_id:
                return slot.proxy.passes_on_closes
        return False

    def _write_first_configuration(self) -> None:
        routes = [
            make_route(HOST, "streams", "/stream/", "streaming", ENGINES, 12_000),
            make_route(HOST, "repeats", "/repeat/", "idempotent", CALLS, 1500),
            make_route(HOST, "onces", "/once/", "non_idempotent", CALLS, 1500),
        ]
        credentials = {
            f"workspace-{n}": f"credential-{n}" for n in range(CREDENTIAL_COUNT)
        }
        self.configuration = make_configuration(routes, ENGINES, CALLS, credentials)
        self.store.put(*CONFIGURATION_ROW, self.configuration)

    def change_configuration(self, **changes: Any) -> None:
        """Writes the next version of the configuration."""
        version = self.configuration["version"] + self.random.randint(1, 5)
        self.configuration = {**self.configuration, **changes, "version": version}
        self.store.put(*CONFIGURATION_ROW, self.configuration)

    def order_move(self, service: str, version: str, duration_s: float) -> None:
        """Orders a move of a service to another version."""
        self.order = make_order(service, version, duration_s)
        self.store.put(*self.order)

    def rewrite_lost_rows(self) -> None:
        """Writes again what the operators and the upstreams had written."""
        current = [(*CONFIGURATION_ROW, self.configuration)]
        if self.order is not None:
            current.append(self.order)
        for table, key, document in current:
            if self.store.read(table, key) != document:
                self.store.put(table, key, document)
        alive = {slot.upstream.id for slot in self.slots if slot.upstream is not None}
        for slot in self.slots:
            self.register(slot, "draining" if slot.draining else "ready")
        for row in list(self.store.rows):
            if row.table == REGISTRATIONS and row.key not in alive:
                self.reactor.callLater(2.0, self.store.remove, row.table, row.key)

    def kill_processes(self) -> None:
        """Kills the entries; called also when the soak is interrupted."""
        for entry in self.entries:
            entry.close()

    def close(self) -> Deferred[Any] | None:
        """Stops all callers, processes, proxies and listeners."""
        for caller in self.callers:
            caller.stopped = True
        if self._readiness_checks is not None and self._readiness_checks.running:
            self._readiness_checks.stop()
        self.kill_processes()
        for slot in self.slots:
            if slot.listener is not None:
                slot.listener.close()
            slot.proxy.close()
        for proxy in self.store_proxies.values():
            proxy.close()
        return self._store_listener.close() if self._store_listener else None
