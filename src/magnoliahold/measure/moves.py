"""Measures moves, i.e. rollouts, to good and bad versions under faults."""

from __future__ import annotations

from datetime import UTC, datetime
from random import Random
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from magnoliahold.core.configuration import WORKSPACES_TABLE, decode_workspace_row
from magnoliahold.core.effects import SendOrder
from magnoliahold.core.events import GenerationArrived
from magnoliahold.core.moves import ENDED_STATES, find_latest_move
from magnoliahold.core.policy import Policy
from magnoliahold.measure.fakes.callers import GenerationCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.operators import add_operator_ports, apply_template
from magnoliahold.measure.move_reports import (
    CANARY_CAP,
    EPOCH_S,
    MoveTrial,
    make_report,
)
from magnoliahold.measure.version_behaviour import (
    BAD_KINDS,
    GOOD,
    VersionBehaviour,
    install_behaviours,
)
from magnoliahold.templates import (
    Move,
    VersionShare,
    Work,
    WorkspaceTemplate,
    encode_template,
)

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.fleet import Fleet
    from magnoliahold.measure.fakes.operators import Apply
    from magnoliahold.measure.move_reports import (
        MovesReport,
    )
    from magnoliahold.measure.options import MeasureOptions

WORKSPACES_PER_RUN = 2
ENGINES = 4
ENGINE_STREAMS = 8
TOKEN_INTERVAL_S = 0.05
FENCING_SHARE = 0.5
START_S = 2.0
WARM_UP_S = 5.0
MOVE_S = 40.0
SETTLE_S = 4.0
OBSERVED_AFTER_END_S = 5.0
STEP_S = 0.02
REQUESTS_PER_S = 14.0
PEAK_RATE_FACTOR = 2.0
PEAK_FROM = 0.3
PEAK_TO = 0.6
TOKENS = (4, 8)
GOOD_SHARE = 0.5
LATE_START_FROM = 0.35
LATE_START_TO = 0.7
BASELINE_FAILURES = 10


@define(eq=False)
class Scenario:
    """One run: several concurrent moves under load and faults."""

    fleet: Fleet
    random: Random
    options: MeasureOptions
    trials: list[MoveTrial] = field(factory=list)
    callers: list[GenerationCaller] = field(factory=list)
    ends_at: float = START_S + WARM_UP_S + MOVE_S

    def run(self) -> None:
        """Applies the templates and runs the moves until they end or time out."""
        self._prepare_entries()
        install_behaviours(
            self.fleet,
            {trial.behaviour.version: trial.behaviour for trial in self.trials},
        )
        self.fleet.run_for(START_S, STEP_S)
        for trial in self.trials:
            self._apply(trial, moving=False)
            self._plan_arrival(trial)
        self._advance(WARM_UP_S)
        for trial in self.trials:
            trial.apply = self._apply(trial, moving=True)
        self._plan_faults()
        self._advance(MOVE_S)
        self._end_faults()
        self._advance(SETTLE_S)

    def _prepare_entries(self) -> None:
        """Gives each entry an operator port and a wall clock."""
        add_operator_ports(self.fleet)
        for name in self.fleet.list_entries():
            process = self.fleet.network.processes[name]
            process.node.world.wall_clock = make_wall_clock(process.clock.offset_s)

    def _advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.fleet.run_for(0.1, STEP_S)
            self._prepare_entries()
            for trial in self.trials:
                self._update_trial(trial)
            if self._is_finished():
                return

    def _is_finished(self) -> bool:
        """Returns whether every move ended more than OBSERVED_AFTER_END_S ago."""
        latest_end = self.fleet.now() - OBSERVED_AFTER_END_S
        ends = [trial.ended_at for trial in self.trials]
        return all(ended_at is not None and ended_at < latest_end for ended_at in ends)

    def _apply(self, trial: MoveTrial, *, moving: bool) -> Apply:
        deadline = EPOCH_S + self.ends_at
        template = make_template(trial, deadline if moving else None)
        return apply_template(self.fleet, trial.workspace, encode_template(template))

    def _update_trial(self, trial: MoveTrial) -> None:
        """Updates a trial with the state of its move in the table service."""
        stored = self.fleet.platform.rows.get((WORKSPACES_TABLE, trial.workspace))
        if stored is None:
            return
        row = find_latest_move(decode_workspace_row(stored).moves, "counter")
        if row is None:
            return
        trial.row = row
        if row.state not in ENDED_STATES:
            trial.share_max = max(trial.share_max, row.share)
        elif trial.ended_at is None:
            trial.ended_at = self.fleet.now()

    def _plan_arrival(self, trial: MoveTrial) -> None:
        """Plans the next request of a workspace, at a higher rate during the peak."""
        now = self.fleet.now()
        ended_at = self.ends_at if trial.ended_at is None else trial.ended_at
        if now > min(self.ends_at, ended_at + OBSERVED_AFTER_END_S):
            return
        part = (now - WARM_UP_S - START_S) / MOVE_S
        rate = REQUESTS_PER_S
        if PEAK_FROM < part < PEAK_TO:
            rate *= PEAK_RATE_FACTOR
        delay = self.random.expovariate(rate)
        self.fleet.clock.callLater(delay, self._send_request, trial)

    def _send_request(self, trial: MoveTrial) -> None:
        self._plan_arrival(trial)
        trial.request_times.append(self.fleet.now())
        text = f"ticket {trial.workspace} {len(trial.request_times)}"
        request = GenerationArrived(
            "",
            trial.workspace,
            "counter",
            text,
            self.random.randint(*TOKENS),
            True,
            text,
        )
        caller = GenerationCaller(self.fleet.clock, self.fleet, request)
        self.callers.append(caller)
        caller.start_request()

    def _plan_faults(self) -> None:
        kinds = (
            self._stop_store,
            self._kill_engine,
            self._freeze_entry,
            self._lose_answers,
            self._restart_entry,
            self._cut_entry,
            self._send_stale_order,
        )
        count = round(len(kinds) * self.options.faults)
        for number in range(count):
            at = self.random.uniform(0, MOVE_S * 0.8)
            self.fleet.clock.callLater(at, kinds[number % len(kinds)])

    def _stop_store(self) -> None:
        self._set_outage(True)
        delay = self.random.uniform(2.0, 6.0)
        self.fleet.clock.callLater(delay, self._set_outage, False)

    def _set_outage(self, outage: bool) -> None:
        self.fleet.platform.outage = outage

    def _lose_answers(self) -> None:
        self.fleet.platform.lost_answer_share = 0.1

    def _kill_engine(self) -> None:
        engine = self.random.choice(list(self.fleet.engines.values()))
        if engine.live:
            engine.kill_engine()
            delay = self.random.uniform(1.0, 4.0)
            self.fleet.clock.callLater(delay, self._restart_engine, engine.name)

    def _restart_engine(self, name: str) -> None:
        """Restarts an engine with its initial versions."""
        engine = self.fleet.engines[name]
        if not engine.live:
            engine.restart_engine(list(self.fleet.spec.versions))

    def _freeze_entry(self) -> None:
        name = self.fleet.choose_entry()
        if name is not None:
            self.fleet.freeze_process(name)
            delay = self.random.uniform(1.0, 8.0)
            self.fleet.clock.callLater(delay, self.fleet.thaw_process, name)

    def _restart_entry(self) -> None:
        name = self.fleet.choose_entry()
        if name is not None and len(self.fleet.list_entries()) > 1:
            self.fleet.kill_process(name)
            delay = self.random.uniform(0.5, 3.0)
            self.fleet.clock.callLater(delay, self._start_entry, name)

    def _start_entry(self, name: str) -> None:
        if name not in self.fleet.network.processes:
            self.fleet.add_entry(name)
            self._prepare_entries()

    def _send_stale_order(self) -> None:
        """Sends an engine an outdated order, as if it had been delayed."""
        engine = self.random.choice(list(self.fleet.engines.values()))
        version = self.random.choice(engine.versions)
        if engine.live:
            engine.send_order(SendOrder("stale", "unload_version", version, 0))

    def _cut_entry(self) -> None:
        """Disconnects one entry from the other entries."""
        name = self.fleet.choose_entry()
        if name is None:
            return
        others = [other for other in self.fleet.list_entries() if other != name]
        for other in others:
            self.fleet.network.cut_pair(name, other)
        self.fleet.clock.callLater(self.random.uniform(2.0, 6.0), self._reconnect_all)

    def _reconnect_all(self) -> None:
        self.fleet.network.cut_pairs.clear()

    def _end_faults(self) -> None:
        self._set_outage(False)
        self.fleet.platform.lost_answer_share = 0.0
        self._reconnect_all()
        for name in self.fleet.list_entries():
            if self.fleet.network.processes[name].clock.frozen:
                self.fleet.thaw_process(name)


def make_wall_clock(offset_s: float) -> WallClock:
    """Makes the wall clock of a process whose clock has the given offset."""
    return WallClock(offset_s)


@frozen
class WallClock:
    """Converts the time of a process clock to seconds since the epoch."""

    offset_s: float

    def __call__(self, now: float) -> float:
        """Returns the seconds since the epoch at a time of the process clock."""
        return now - self.offset_s + EPOCH_S


def make_template(trial: MoveTrial, deadline: float | None) -> WorkspaceTemplate:
    """Makes the template of a trial's workspace, with its move if it has a deadline."""
    old = VersionShare("v1", ("counter",), 1.0)
    work = Work((old,), deadline_s=60.0)
    if deadline is not None:
        new = VersionShare(trial.behaviour.version, ("counter",), 0.0)
        when = datetime.fromtimestamp(deadline, UTC)
        move = Move(trial.behaviour.version, when, canary_cap=CANARY_CAP)
        work = evolve(work, versions=(old, new), move=move)
    return WorkspaceTemplate(trial.workspace, works={"counter": work})


def make_scenario(seed: int, run: int, options: MeasureOptions) -> Scenario:
    """Makes one run; bad behaviours rotate over the runs."""
    random = Random(seed)
    names = [f"club-{number}" for number in range(WORKSPACES_PER_RUN)]
    spec = FleetSpec(
        entries=options.entries,
        engines={"counter": ENGINES},
        capacity=ENGINE_STREAMS,
    )
    fleet = make_fleet(seed, spec, policy=make_policy(options))
    for engine in fleet.engines.values():
        engine.token_interval_s = TOKEN_INTERVAL_S
        engine.obeys_fencing = random.random() < FENCING_SHARE
    scenario = Scenario(fleet, random, options)
    for number, name in enumerate(names):
        kind = GOOD
        if random.random() >= GOOD_SHARE:
            kind = BAD_KINDS[(run * WORKSPACES_PER_RUN + number) % len(BAD_KINDS)]
        part = random.uniform(LATE_START_FROM, LATE_START_TO)
        behaviour = VersionBehaviour(
            kind=kind,
            version=f"v2-{name}",
            route=f"dc-{random.randrange(spec.data_centres)}",
            bad_from=START_S + WARM_UP_S + part * MOVE_S,
            fleet=fleet,
            random=Random(random.getrandbits(32)),
        )
        scenario.trials.append(MoveTrial(name, behaviour))
    return scenario


def make_policy(options: MeasureOptions) -> Policy:
    """Makes the policy of the product or of the baseline."""
    policy = Policy()
    if options.baseline:
        moves = evolve(policy.moves, plain_failures=BASELINE_FAILURES)
        policy = evolve(policy, moves=moves)
    return policy


def run_moves(options: MeasureOptions) -> MovesReport:
    """Runs all scenarios and reports their combined results."""
    scenarios = []
    for run in range(options.runs):
        scenario = make_scenario(options.seed * 1_000 + run, run, options)
        scenario.run()
        scenarios.append(scenario)
    trials = [trial for item in scenarios for trial in item.trials]
    callers = [caller for item in scenarios for caller in item.callers]
    return make_report(trials, callers)
