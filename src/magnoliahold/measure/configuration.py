"""Measures the propagation of configurations under concurrent applies and faults."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from magnoliahold.core.configuration import (
    CHANGES_TABLE,
    WORKSPACES_TABLE,
    decode_workspace_row,
)
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.operators import (
    CountingLinks,
    add_operator_ports,
    apply_template,
)
from magnoliahold.measure.options import find_quantiles
from magnoliahold.templates import (
    VersionShare,
    Work,
    WorkspaceTemplate,
    encode_template,
)
from magnoliahold.wire.codec import Envelope, encode_envelope

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.fleet import Fleet
    from magnoliahold.measure.fakes.operators import Apply
    from magnoliahold.measure.options import MeasureOptions, Quantiles
    from magnoliahold.wire.codec import Header
    from magnoliahold.wire.messages import Message

RUN_S = 40.0
SETTLE_S = 20.0
APPLIES_PER_RUN = 40
RACE_SHARE = 0.3
STEP_S = 0.02
SAMPLE_S = 0.1
OUTAGE_S = (2.0, 8.0)
SLOW_S = (3.0, 8.0)
SLOW_DELAY_S = 0.8
FREEZE_S = (0.5, 6.0)
CUT_S = (2.0, 8.0)
RESTART_S = (0.5, 4.0)
LOST_ANSWER_SHARE = 0.1
FAULTS_PER_RUN = 6.0


@frozen
class ConfigurationReport:
    """Results of all runs.

    `lost` counts accepted applies that are not in the change log or not in force at
    the end, `reverted` how often a process went back to an older version, and
    `refused_but_applied` refused applies that took effect. `in_force_s` is the time
    from the acceptance of a change until every running entry has it or a newer one;
    `not_in_force` counts changes for which that did not happen.
    """

    applies: int
    accepted: int
    refused: int
    unanswered: int
    lost: int
    reverted: int
    refused_but_applied: int
    in_force_s: Quantiles
    not_in_force: int
    table_reads_per_s: float
    table_writes_per_s: float
    control_bytes_per_node_s: float
    largest_message_bytes: int


@define
class PendingChange:
    """An accepted change that is not yet in force at the entries in `waiting`."""

    workspace: str
    version: int
    accepted_at: float
    waiting: set[str]


@define(eq=False)
class Scenario:
    """One run with its faults and observations."""

    fleet: Fleet
    random: Random
    options: MeasureOptions
    applies: list[Apply] = field(factory=list)
    pending_changes: list[PendingChange] = field(factory=list)
    recorded: set[int] = field(factory=set)
    latest_versions: dict[tuple[str, str], int] = field(factory=dict)
    in_force_s: list[float] = field(factory=list)
    reverted: int = 0
    bytes_sent: int = 0
    largest_bytes: int = 0

    def run(self) -> None:
        """Plans the applies and faults and runs the fleet."""
        self.fleet.run_for(2.0, STEP_S)
        self._plan_applies()
        self._plan_faults()
        for _ in range(round(RUN_S / SAMPLE_S)):
            self._advance()
        self._end_faults()
        for _ in range(round(SETTLE_S / SAMPLE_S)):
            self._advance()

    def count_bytes(self, message: Message, header: Header) -> None:
        """Adds the encoded size of a message to the totals."""
        size = sum(map(len, encode_envelope(Envelope(header, message))))
        self.bytes_sent += size
        self.largest_bytes = max(self.largest_bytes, size)

    def install_byte_counters(self) -> None:
        """Installs byte counters in processes started since the last call."""
        for process in self.fleet.network.processes.values():
            ports = process.node.ports
            if not isinstance(ports.links, CountingLinks):
                ports.links = CountingLinks(ports.links, self.count_bytes)

    def _advance(self) -> None:
        self.fleet.run_for(SAMPLE_S, STEP_S)
        add_operator_ports(self.fleet)
        self.install_byte_counters()
        self._record_accepted()
        self._update_pending_changes()
        self._check_versions()

    def _plan_applies(self) -> None:
        for number in range(APPLIES_PER_RUN):
            at = self.random.uniform(0, RUN_S - 5.0)
            workspace = f"club-{self.random.randrange(self.options.workspaces)}"
            self.fleet.clock.callLater(at, self._apply, workspace, number)
            if self.random.random() < RACE_SHARE:
                later = at + self.random.uniform(0, 0.02)
                self.fleet.clock.callLater(later, self._apply, workspace, -number)

    def _apply(self, workspace: str, number: int) -> None:
        template = make_template(workspace, number)
        apply = apply_template(self.fleet, workspace, encode_template(template))
        self.applies.append(apply)

    def _record_accepted(self) -> None:
        for index, apply in enumerate(self.applies):
            if apply.accepted is None or index in self.recorded:
                continue
            self.recorded.add(index)
            document = apply.accepted
            waiting = set(self._list_running())
            at = apply.ended_at or self.fleet.now()
            pending = PendingChange(document.workspace, document.version, at, waiting)
            self.pending_changes.append(pending)

    def _list_running(self) -> list[str]:
        processes = self.fleet.network.processes
        return [
            name
            for name in self.fleet.list_entries()
            if not processes[name].clock.frozen
        ]

    def _update_pending_changes(self) -> None:
        """Removes entries that have the change or are no longer running.

        Changes for which no entry remains are in force.
        """
        running = set(self._list_running())
        for pending in list(self.pending_changes):
            pending.waiting &= running
            for name in list(pending.waiting):
                if self._read_version(name, pending.workspace) >= pending.version:
                    pending.waiting.discard(name)
            if not pending.waiting:
                self.pending_changes.remove(pending)
                self.in_force_s.append(self.fleet.now() - pending.accepted_at)

    def _read_version(self, entry: str, workspace: str) -> int:
        node = self.fleet.find_node(entry)
        found = node.world.workspaces.workspaces.get(workspace)
        return found.version if found else 0

    def _check_versions(self) -> None:
        for name in self.fleet.list_entries():
            world = self.fleet.find_node(name).world
            for workspace in world.workspaces.workspaces.values():
                key = (world.identity.incarnation, workspace.name)
                if workspace.version < self.latest_versions.get(key, 0):
                    self.reverted += 1
                self.latest_versions[key] = workspace.version

    def _plan_faults(self) -> None:
        kinds = (
            self._stop_store,
            self._slow_store,
            self._freeze_entry,
            self._cut_data_centre,
            self._restart_entry,
            self._lose_answers,
        )
        count = round(FAULTS_PER_RUN * self.options.faults)
        for number in range(count):
            at = self.random.uniform(0, RUN_S - 10.0)
            self.fleet.clock.callLater(at, kinds[number % len(kinds)])

    def _stop_store(self) -> None:
        self._set_outage(True)
        delay = self.random.uniform(*OUTAGE_S)
        self.fleet.clock.callLater(delay, self._set_outage, False)

    def _set_outage(self, outage: bool) -> None:
        self.fleet.platform.outage = outage

    def _slow_store(self) -> None:
        self._set_delay(SLOW_DELAY_S)
        self.fleet.clock.callLater(self.random.uniform(*SLOW_S), self._set_delay, 0.004)

    def _set_delay(self, delay_s: float) -> None:
        self.fleet.platform.delay_s = delay_s

    def _lose_answers(self) -> None:
        self.fleet.platform.lost_answer_share = LOST_ANSWER_SHARE

    def _freeze_entry(self) -> None:
        name = self.fleet.choose_entry()
        if name is not None:
            self.fleet.freeze_process(name)
            delay = self.random.uniform(*FREEZE_S)
            self.fleet.clock.callLater(delay, self.fleet.thaw_process, name)

    def _restart_entry(self) -> None:
        name = self.fleet.choose_entry()
        if name is not None and len(self.fleet.list_entries()) > 1:
            self.fleet.kill_process(name)
            delay = self.random.uniform(*RESTART_S)
            self.fleet.clock.callLater(delay, self._start_entry, name)

    def _start_entry(self, name: str) -> None:
        if name not in self.fleet.network.processes:
            self.fleet.add_entry(name)
            add_operator_ports(self.fleet)

    def _cut_data_centre(self) -> None:
        centre = f"dc-{self.random.randrange(self.fleet.spec.data_centres)}"
        network = self.fleet.network
        inside = {
            name
            for name, process in network.processes.items()
            if process.node.world.identity.data_centre == centre
        }
        pairs = [
            (first, second)
            for first in inside
            for second in network.processes
            if second not in inside
        ]
        for pair in pairs:
            network.cut_pair(*pair)
        delay = self.random.uniform(*CUT_S)
        self.fleet.clock.callLater(delay, self._reconnect_pairs, pairs)

    def _reconnect_pairs(self, pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.fleet.network.reconnect_pair(*pair)

    def _end_faults(self) -> None:
        self.fleet.platform.outage = False
        self.fleet.platform.lost_answer_share = 0.0
        self.fleet.platform.delay_s = 0.004
        self.fleet.network.cut_pairs.clear()
        for name in self.fleet.list_entries():
            if self.fleet.network.processes[name].clock.frozen:
                self.fleet.thaw_process(name)


def make_template(workspace: str, number: int) -> WorkspaceTemplate:
    """Makes a small template; `number` distinguishes it from others."""
    share = VersionShare("v1", ("draft",), 1.0)
    work = Work((share,), deadline_s=600.0)
    return WorkspaceTemplate(
        workspace, works={"listing": work}, parameters={"n": number}
    )


def count_lost(scenario: Scenario) -> int:
    """Counts accepted applies missing from the change log, the table or an entry."""
    rows = scenario.fleet.platform.rows
    lost = 0
    for apply in scenario.applies:
        if apply.accepted is None:
            continue
        document = apply.accepted
        change = rows.get((CHANGES_TABLE, f"{document.change:012d}"))
        logged = change is not None and decode_workspace_row(change).template == (
            apply.event.template
        )
        stored = rows.get((WORKSPACES_TABLE, document.workspace))
        stored_version_ok = (
            stored is not None
            and decode_workspace_row(stored).version >= document.version
        )
        in_force = all(
            scenario._read_version(name, document.workspace) >= document.version
            for name in scenario.fleet.list_entries()
        )
        lost += not (logged and stored_version_ok and in_force)
    return lost


def count_refused_but_applied(scenario: Scenario) -> int:
    """Counts refused applies whose template is in the change log."""
    applied = {
        note.apply_id
        for (table, _), row in scenario.fleet.platform.rows.items()
        if table == CHANGES_TABLE
        for note in decode_workspace_row(row).applies
    }
    refused = [apply for apply in scenario.applies if apply.refused is not None]
    return sum(apply.event.apply_id in applied for apply in refused)


def make_scenario(seed: int, options: MeasureOptions) -> Scenario:
    """Makes the fleet and scenario of one run; it starts without workspaces."""
    spec = FleetSpec(entries=options.entries, engines={"draft": 1})
    fleet = make_fleet(seed, spec)
    scenario = Scenario(fleet, Random(seed + 1), options)
    add_operator_ports(fleet)
    scenario.install_byte_counters()
    return scenario


def run_configuration(options: MeasureOptions) -> ConfigurationReport:
    """Runs all scenarios and reports their combined results."""
    scenarios = []
    for run in range(options.runs):
        scenario = make_scenario(options.seed * 1_000 + run, options)
        scenario.run()
        scenarios.append(scenario)
    return make_report(scenarios)


def make_report(scenarios: list[Scenario]) -> ConfigurationReport:
    """Builds the report from all scenarios."""
    applies = [apply for item in scenarios for apply in item.applies]
    seconds = sum(item.fleet.now() for item in scenarios)
    nodes = sum(
        item.fleet.now() * len(item.fleet.network.processes) for item in scenarios
    )
    platforms = [item.fleet.platform for item in scenarios]
    return ConfigurationReport(
        applies=len(applies),
        accepted=sum(apply.accepted is not None for apply in applies),
        refused=sum(apply.refused is not None for apply in applies),
        unanswered=sum(apply.ended_at is None for apply in applies),
        lost=sum(count_lost(item) for item in scenarios),
        reverted=sum(item.reverted for item in scenarios),
        refused_but_applied=sum(count_refused_but_applied(item) for item in scenarios),
        in_force_s=find_quantiles(
            [value for item in scenarios for value in item.in_force_s]
        ),
        not_in_force=sum(len(item.pending_changes) for item in scenarios),
        table_reads_per_s=round(sum(item.reads for item in platforms) / seconds, 3),
        table_writes_per_s=round(sum(item.writes for item in platforms) / seconds, 3),
        control_bytes_per_node_s=round(
            sum(item.bytes_sent for item in scenarios) / nodes, 1
        ),
        largest_message_bytes=max(
            (item.largest_bytes for item in scenarios), default=0
        ),
    )
