"""A small fleet of real entry and sidecar nodes over fakes, on a simulated clock."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field, frozen

from magnoliahold.core.events import CallerDisconnected, LeaveRequested
from magnoliahold.core.identity import Identity
from magnoliahold.core.peers import Peer
from magnoliahold.core.policy import Policy
from magnoliahold.core.streams import Upstream
from magnoliahold.core.systems.membership import add_peer
from magnoliahold.entry.nodes import make_entry_node
from magnoliahold.measure.fakes.callers import FakeCallerPort
from magnoliahold.measure.fakes.clock import ProcessClock, SimulatedClock
from magnoliahold.measure.fakes.engine import FakeEngine
from magnoliahold.measure.fakes.network import (
    FakeLinks,
    FakeNetwork,
    NetworkConditions,
    Process,
)
from magnoliahold.measure.fakes.platform import FakePlatform
from magnoliahold.measure.fakes.service import FakeService
from magnoliahold.node import Ports
from magnoliahold.sidecar.nodes import make_sidecar_node
from magnoliahold.storage.interfaces import Instance

if TYPE_CHECKING:
    from twisted.internet.task import Clock

    from magnoliahold.core import effects
    from magnoliahold.core.events import CallArrived, GenerationArrived
    from magnoliahold.core.workspaces import Workspace
    from magnoliahold.measure.fakes.callers import Session
    from magnoliahold.node import Node

LINK_PORT = 7000
MAX_CLOCK_OFFSET_S = 1_000_000.0
BALANCER_CHECK_DELAY_S = 1.0
BALANCER_LAG_S = 0.5


@define
class FakeJournal:
    """Collects metrics and counts log decisions by component and message.

    `requests_by_nonce` maps the nonce of each sent call to its request id.
    """

    counters: Counter[str] = field(factory=Counter)
    values: dict[str, list[float]] = field(factory=dict)
    decisions: Counter[str] = field(factory=Counter)
    requests_by_nonce: dict[str, str] = field(factory=dict)

    def log_decision(self, decision: effects.LogDecision) -> None:
        """Counts one log decision."""
        self.decisions[f"{decision.component}: {decision.message}"] += 1
        if decision.component == "calls" and "nonce" in decision.fields:
            nonce = str(decision.fields["nonce"])
            self.requests_by_nonce[nonce] = str(decision.fields["request"])

    def count_metric(self, metric: effects.CountMetric) -> None:
        """Adds to a counter."""
        self.counters[metric.name] += int(metric.amount)

    def record_metric(self, metric: effects.RecordMetric) -> None:
        """Records a value."""
        self.values.setdefault(metric.name, []).append(metric.value)


@frozen
class FleetSpec:
    """Sizes and delays of a fleet.

    `engines` maps an engine role to the number of engines with that role, and
    `services` maps a service's name to the number of its upstreams, which are named
    like "desk-0".
    """

    entries: int = 2
    engines: dict[str, int] = field(factory=lambda: {"draft": 4})
    services: dict[str, int] = field(factory=dict)
    versions: tuple[str, ...] = ("v1",)
    data_centres: int = 3
    capacity: int = 16
    caller_delay_s: float = 0.002
    network: NetworkConditions = field(factory=NetworkConditions)


@define(eq=False)
class Fleet:
    """A fleet; entries are named `entry-N`, sidecars `sidecar-UPSTREAM`."""

    clock: Clock
    random: Random
    spec: FleetSpec
    policy: Policy
    network: FakeNetwork
    platform: FakePlatform
    workspaces: list[Workspace] = field(factory=list)
    journal: FakeJournal = field(factory=FakeJournal)
    engines: dict[str, FakeEngine] = field(factory=dict)
    services: dict[str, FakeService] = field(factory=dict)
    callers: dict[str, FakeCallerPort] = field(factory=dict)
    stopped: list[tuple[str, str]] = field(factory=list)
    leaving: set[str] = field(factory=set)
    next_serial: int = 0

    def now(self) -> float:
        """Returns the simulated time in seconds."""
        return float(self.clock.seconds())

    def run_for(self, seconds: float, step_s: float = 0.005) -> None:
        """Advances the clock in small steps."""
        steps = round(seconds / step_s)
        for _ in range(steps):
            self.clock.advance(step_s)

    def find_node(self, name: str) -> Node:
        """Finds the node of a live process."""
        return self.network.processes[name].node

    def list_entries(self) -> list[str]:
        """Lists the names of live entries."""
        return [name for name in self.network.processes if name in self.callers]

    def choose_entry(self) -> str | None:
        """Chooses an entry as a load balancer does, with lagging health checks."""
        names = [name for name in self.list_entries() if self._is_in_rotation(name)]
        return self.random.choice(names) if names else None

    def _is_in_rotation(self, name: str) -> bool:
        process = self.network.processes[name]
        if name in self.leaving or process.clock.frozen:
            return False
        leaving_since: float | None = process.node.world.leaving_since
        if leaving_since is None:
            return True
        return process.clock.seconds() - leaving_since < BALANCER_LAG_S

    def send_request(
        self,
        entry: str,
        event: GenerationArrived | CallArrived,
        session: Session,
    ) -> str:
        """Sends a caller's request to an entry after the caller's network delay."""
        self.next_serial += 1
        request_id = f"request-{self.next_serial}"
        port = self.callers[entry]
        port.sessions[request_id] = session
        arrived = evolve(event, request_id=request_id)
        delay = self.spec.caller_delay_s
        self.clock.callLater(delay, self._post_to, entry, arrived)
        return request_id

    def disconnect_caller(self, entry: str, request_id: str) -> None:
        """Closes a caller's connection."""
        if entry in self.callers:
            self.callers[entry].sessions.pop(request_id, None)
            self._post_to(entry, CallerDisconnected(request_id))

    def add_entry(self, name: str) -> None:
        """Starts an entry and adds all live processes to its peers."""
        clock = self._make_clock()
        port = FakeCallerPort(self.clock, self.spec.caller_delay_s)
        ports = self._make_ports(name, callers=port)
        identity = self._make_identity(name, "entry")
        random = Random(self.random.getrandbits(32))
        node = make_entry_node(clock, identity, ports, random, self.policy)
        self.callers[name] = port
        self._add_process(name, node, clock, "entry")
        self._install_workspaces(node)
        self._add_to_peers(name)

    def add_engine(self, name: str, role: str) -> None:
        """Starts an engine with its sidecar."""
        engine = FakeEngine(
            clock=self.clock,
            random=Random(self.random.getrandbits(32)),
            name=name,
            versions=list(self.spec.versions),
            role=role,
            capacity=self.spec.capacity,
        )
        self.engines[name] = engine
        self.add_sidecar(name)

    def add_service(self, name: str) -> None:
        """Starts a plain service with its sidecar."""
        random = Random(self.random.getrandbits(32))
        self.services[name] = FakeService(self.clock, random, name)
        self.add_sidecar(name)

    def add_sidecar(self, upstream: str) -> None:
        """Starts the sidecar of an existing engine or service."""
        name = f"sidecar-{upstream}"
        clock = self._make_clock()
        engine = self.engines.get(upstream)
        service = self.services.get(upstream)
        target: Any = engine or service
        ports = self._make_ports(name, engine=engine, service=service)
        entity = Upstream(
            name=upstream,
            kind="engine" if engine else "service",
            capacity=self.spec.capacity,
            role=engine.role if engine else "service",
        )
        identity = self._make_identity(name, "sidecar")
        random = Random(self.random.getrandbits(32))
        node = make_sidecar_node(clock, identity, entity, ports, random, self.policy)
        target.post = lambda event: clock.run_call(lambda: node.post_event(event))
        self._add_process(name, node, clock, "sidecar")
        self._add_to_peers(name)

    def kill_process(self, name: str) -> None:
        """Kills an entry or sidecar and resets all its connections."""
        if name in self.callers:
            self.callers.pop(name).reset_connections()
        engine = self.engines.get(name.removeprefix("sidecar-"))
        if engine is not None:
            engine.cancel_all_streams()
        self.network.report_reset_links(name)
        self.network.remove_process(name)

    def stop_process(self, name: str) -> None:
        """Requests that an entry or sidecar drains and stops, as by SIGTERM."""
        self._post_to(name, LeaveRequested("SIGTERM"))

    def mark_listed_leaving(self, name: str) -> None:
        """Marks a process as leaving in the platform's instance list."""
        listed = self.platform.instances[name]
        self.platform.instances[name] = evolve(listed, leaving=True)

    def freeze_process(self, name: str) -> None:
        """Freezes an entry or sidecar, as by SIGSTOP.

        If an entry is still frozen after BALANCER_CHECK_DELAY_S, the load balancer's
        health check fails and its callers' connections are reset.
        """
        process = self.network.processes[name]
        process.clock.freeze_calls()
        if name in self.callers:
            self.clock.callLater(BALANCER_CHECK_DELAY_S, self._check_entry, process)

    def thaw_process(self, name: str) -> None:
        """Thaws a frozen process, unless it has been removed."""
        process = self.network.processes.get(name)
        if process is not None:
            process.clock.thaw_calls()

    def kill_instance(self, upstream: str) -> None:
        """Kills an engine together with its sidecar."""
        self.engines[upstream].kill_engine()
        self.kill_process(f"sidecar-{upstream}")

    def lose_instance(self, upstream: str) -> None:
        """Removes an engine and its sidecar without a reset, as when the host fails."""
        self.engines[upstream].kill_engine()
        self.network.remove_process(f"sidecar-{upstream}")

    def _check_entry(self, process: Process) -> None:
        if not process.clock.frozen or process.clock.stopped:
            return
        port = self.callers[process.name]
        for request_id, session in port.sessions.items():
            self._post_to(process.name, CallerDisconnected(request_id))
            self.clock.callLater(port.delay_s, session.handle_disconnect)
        port.sessions.clear()

    def _post_to(self, name: str, event: object) -> None:
        process = self.network.processes.get(name)
        if process is not None:
            node = process.node
            process.clock.run_call(lambda: node.post_event(event))

    def _add_process(
        self, name: str, node: Node, clock: ProcessClock, role: str
    ) -> None:
        self.network.add_process(Process(name, node, clock))
        address = f"10.0.0.1:{LINK_PORT}"
        centre = node.world.identity.data_centre
        self.platform.instances[name] = Instance(name, role, address, centre)
        node.raise_violations = True
        node.world.checks_all_rows = True
        node.world.raises_errors = True
        node.start_ticks()

    def _add_to_peers(self, name: str) -> None:
        """Adds a new process to the peers of entries, and its peers to a new entry."""
        for entry in self.list_entries():
            for other in list(self.network.processes):
                if entry != other and name in (entry, other):
                    self._add_peer(entry, other)

    def _add_peer(self, entry: str, other: str) -> None:
        node = self.find_node(entry)
        if other in node.world.peers.peers:
            self.network.open_connection(entry, other)
            return
        identity = self.find_node(other).world.identity
        peer = Peer(
            name=other,
            role=identity.role,
            address="10.0.0.1",
            port=LINK_PORT,
            data_centre=identity.data_centre,
        )
        add_peer(node.world, peer, node.clock.seconds())

    def _install_workspaces(self, node: Node) -> None:
        for workspace in self.workspaces:
            node.world.workspaces.workspaces[workspace.name] = workspace
            head = max(node.world.workspaces.head, workspace.change)
            node.world.workspaces.head = head

    def _make_clock(self) -> ProcessClock:
        return ProcessClock(self.clock, self.random.uniform(0, MAX_CLOCK_OFFSET_S))

    def _make_identity(self, name: str, role: str) -> Identity:
        self.next_serial += 1
        centre = f"dc-{self.next_serial % self.spec.data_centres}"
        return Identity(name, f"{name}.{self.next_serial}", role, centre)

    def _make_ports(self, name: str, **ports: object) -> Ports:
        return Ports(
            links=FakeLinks(name, self.network),
            tables=self.platform,
            instances=self.platform,
            journal=self.journal,
            stop=lambda reason: self._stop_process(name, reason),
            **ports,
        )

    def _stop_process(self, name: str, reason: str) -> None:
        self.stopped.append((name, reason))
        self.clock.callLater(0, self._remove_stopped, name)

    def _remove_stopped(self, name: str) -> None:
        if name in self.network.processes:
            self.kill_process(name)


def make_fleet(
    seed: int,
    spec: FleetSpec | None = None,
    workspaces: list[Workspace] | None = None,
    policy: Policy | None = None,
) -> Fleet:
    """Builds a fleet; the same seed gives the same run."""
    clock = SimulatedClock()
    random = Random(seed)
    spec = spec or FleetSpec()
    network = FakeNetwork(clock, Random(random.getrandbits(32)), spec.network)
    platform = FakePlatform(clock, Random(random.getrandbits(32)))
    fleet = Fleet(
        clock=clock,
        random=random,
        spec=spec,
        policy=policy or Policy(),
        network=network,
        platform=platform,
        workspaces=workspaces or [],
    )
    for role, count in spec.engines.items():
        for number in range(count):
            fleet.add_engine(f"{role}-{number}", role)
    for service, count in spec.services.items():
        for number in range(count):
            fleet.add_service(f"{service}-{number}")
    for number in range(spec.entries):
        fleet.add_entry(f"entry-{number}")
    return fleet
