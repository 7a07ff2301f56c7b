"""Measures requests that crash every upstream that runs them, among other faults."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from magnoliahold.core.events import CallArrived, GenerationArrived
from magnoliahold.core.workspaces import ServiceRule
from magnoliahold.measure.baseline_quarantine import disable_quarantine
from magnoliahold.measure.fakes import faults
from magnoliahold.measure.fakes.callers import GenerationCaller, ServiceCaller
from magnoliahold.measure.fakes.engine import EngineFaults
from magnoliahold.measure.fakes.faults import (
    RESTART_DELAY_S,
    FaultInjector,
    inject_fault,
)
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.options import find_share, run_scenarios
from magnoliahold.measure.scenarios import DEPLOYMENTS, CallerMix, make_workspaces

if TYPE_CHECKING:
    from magnoliahold.core.effects import RefuseRequest
    from magnoliahold.measure.fakes.fleet import Fleet
    from magnoliahold.measure.options import MeasureOptions
    from magnoliahold.measure.scenarios import Deployment

ENTRIES = 3
STREAMS = 45
LOOKUPS = 30
SERVICE = "lookup"
SERVICE_UPSTREAMS = 3
WARM_UP_S = 1.0
ARRIVAL_PERIOD_S = 9.0
FAULT_WINDOW_S = (1.5, 11.0)
DRAIN_TIMEOUT_S = 40.0
STEP_S = 0.005
POISON_REPEATS = 3
POISON_REPEAT_S = (0.2, 2.0)
ENGINE_POISON_COUNT_WEIGHTS = (0.0, 0.6, 0.4)
SERVICE_POISON_SHARE = 0.3
RACK_ENGINES = 3

# Each fault with the mean number of times that it is injected per scenario.
FAULTS: tuple[tuple[object, float], ...] = (
    (faults.KillEngine(), 1.5),
    (faults.KillInstance(), 0.7),
    (faults.KillSidecar(), 0.4),
    (faults.KillEntry(), 0.4),
    (faults.FreezeEngine(), 0.3),
    (faults.FreezeEntry(), 0.2),
    (faults.CutLink(), 0.4),
    (faults.StopStore(), 0.3),
)
DOUBLE_FAULT_SHARE = 0.3
DOUBLE_FAULT_GAP_S = 0.6
RACK_LOSSES_MEAN = 0.4


@frozen
class LossPerPoison:
    """Upstreams lost per poison request."""

    mean: float
    max: int


@frozen
class PoisonReport:
    """Results over all scenarios.

    `lost_by_kind` groups the losses by how the request crashes its upstream: at once,
    soon or late after prefill, at a given token, or as a call. `innocents_refused`
    counts callers of other requests that were refused as quarantined.
    `final_answers_to_poison` counts the final answers to poison requests by code, and
    `repeats_ran` the crashes that their repeats caused after the first final answer.
    """

    poison_requests: int
    engines_lost_per_poison_request: LossPerPoison
    innocents_refused: int
    innocents: int
    innocents_incomplete: int
    lost_by_kind: dict[str, LossPerPoison]
    final_answers_to_poison: dict[str, int]
    repeats_ran: int
    killed_by_faults: int
    invariant_violations: int


@define(eq=False)
class PoisonCaller:
    """Sends a poison generation, and sends it again soon after each final answer."""

    fleet: Fleet
    random: Random
    request: GenerationArrived
    kind: str
    text: str
    refusals: list[RefuseRequest] = field(factory=list)
    crashes_at_first_end: int | None = None

    def start_request(self) -> None:
        """Sends the request to any entry."""
        caller = GenerationCaller(self.fleet.clock, self.fleet, self.request)
        caller.max_refusals = 0
        caller.on_done = self._record_end
        caller.start_request()

    def _record_end(self, caller: GenerationCaller) -> None:
        self.refusals.extend(caller.refusals)
        if self.crashes_at_first_end is None:
            self.crashes_at_first_end = count_crashes(self.fleet, self.text)
        if len(self.refusals) <= POISON_REPEATS:
            delay = self.random.uniform(*POISON_REPEAT_S)
            self.fleet.clock.callLater(delay, self.start_request)


@frozen
class LoseRack:
    """Kills several engines and their sidecars at the same time."""

    engines: int = RACK_ENGINES


@define(eq=False)
class PoisonScenario:
    """One fleet with callers of normal and of poison requests."""

    fleet: Fleet
    mix: CallerMix
    injector: FaultInjector
    lookups: list[ServiceCaller] = field(factory=list)
    poisons: list[PoisonCaller] = field(factory=list)
    poison_lookups: list[ServiceCaller] = field(factory=list)

    def run_scenario(self) -> None:
        """Runs until the callers of normal requests are done.

        It stops at the latest DRAIN_TIMEOUT_S after the fault window.
        """
        self.fleet.run_for(FAULT_WINDOW_S[1], STEP_S)
        limit = self.fleet.now() + DRAIN_TIMEOUT_S
        while self.fleet.now() < limit and not self._is_finished():
            self.fleet.run_for(0.2, STEP_S)

    def _is_finished(self) -> bool:
        lookups_done = all(caller.done for caller in self.lookups)
        return lookups_done and all(caller.done for caller in self.mix.callers)


@define(eq=False)
class BaselineFaultInjector(FaultInjector):
    """Restarts entries without poison detection and quarantine."""

    def restart_entry(self, name: str) -> None:
        """Restarts an entry unless it is running."""
        if name not in self.fleet.network.processes:
            self.fleet.add_entry(name)
            disable_quarantine(self.fleet.find_node(name))


@inject_fault.register(LoseRack)
def _lose_rack(fault: LoseRack, injector: FaultInjector) -> None:
    for _ in range(fault.engines):
        name = injector.choose_upstream()
        if name is None:
            return
        injector.record_fault("instance_killed", upstream=name)
        injector.fleet.kill_instance(name)
        injector.schedule_end(
            RESTART_DELAY_S, injector.fleet.engines[name].restart_engine
        )
        injector.schedule_end(RESTART_DELAY_S, injector.restart_sidecar, name)


def run_poison(options: MeasureOptions) -> PoisonReport:
    """Runs seeded scenarios, alternating between the sizes of the two deployments."""
    totals = PoisonTotals()
    for scenario in run_scenarios(options, make_scenario):
        add_scenario(totals, scenario)
    return make_report(totals)


def make_scenario(options: MeasureOptions, number: int) -> PoisonScenario:
    """Builds one scenario; the same seed and number give the same run."""
    random = Random(f"poison {options.seed} {number}")
    deployment = DEPLOYMENTS[number % len(DEPLOYMENTS)]
    fleet = _make_fleet(random, deployment)
    injector_class = BaselineFaultInjector if options.baseline else FaultInjector
    injector = injector_class(fleet, Random(random.getrandbits(32)))
    if options.baseline:
        for name in fleet.list_entries():
            disable_quarantine(fleet.find_node(name))
    fleet.run_for(WARM_UP_S, STEP_S)
    mix = CallerMix(fleet, Random(random.getrandbits(32)))
    scenario = PoisonScenario(fleet, mix, injector)
    for _ in range(STREAMS):
        mix.plan_caller(
            WARM_UP_S + random.uniform(0.0, ARRIVAL_PERIOD_S), _enable_resume
        )
    for serial in range(LOOKUPS):
        scenario.lookups.append(_plan_lookup(fleet, random, f"lookup-{serial}"))
    _plan_poison(scenario, random, number)
    _plan_faults(injector, random, options.faults)
    return scenario


def _make_fleet(random: Random, deployment: Deployment) -> Fleet:
    spec = FleetSpec(
        entries=ENTRIES,
        engines=deployment.engines,
        services={SERVICE: SERVICE_UPSTREAMS},
        data_centres=deployment.data_centres,
    )
    names = tuple(f"{SERVICE}-{number}" for number in range(SERVICE_UPSTREAMS))
    rule = ServiceRule(SERVICE, names, ("GET /*",))
    workspaces = [
        evolve(workspace, services={SERVICE: rule})
        for workspace in make_workspaces(deployment)
    ]
    fleet = make_fleet(random.getrandbits(32), spec, workspaces)
    shared = EngineFaults()
    for engine in fleet.engines.values():
        engine.faults = shared
    return fleet


def _enable_resume(caller: GenerationCaller) -> None:
    caller.resumes = caller.request.stream


def _plan_lookup(fleet: Fleet, random: Random, body: str) -> ServiceCaller:
    request = CallArrived(
        request_id="",
        workspace="workspace-0",
        service=SERVICE,
        method="GET",
        path=f"/{body}",
        headers=(),
        body=body.encode(),
        fingerprint=f"print-{body}",
    )
    caller = ServiceCaller(fleet.clock, fleet, request, max_repeats=5)
    at = WARM_UP_S + random.uniform(0.0, ARRIVAL_PERIOD_S)
    fleet.clock.callLater(at - fleet.now(), caller.start_request)
    return caller


def _plan_poison(scenario: PoisonScenario, random: Random, number: int) -> None:
    """Plans poison requests, each with a random way to crash its upstream."""
    counts = range(len(ENGINE_POISON_COUNT_WEIGHTS))
    count = random.choices(counts, ENGINE_POISON_COUNT_WEIGHTS)[0]
    for serial in range(count):
        scenario.poisons.append(_plan_engine_poison(scenario, random, serial))
    if random.random() < SERVICE_POISON_SHARE:
        text = f"poison-{number}"
        for service in scenario.fleet.services.values():
            service.poison.add(text)
        caller = _plan_lookup(scenario.fleet, random, text)
        scenario.poison_lookups.append(caller)


def _plan_engine_poison(
    scenario: PoisonScenario, random: Random, serial: int
) -> PoisonCaller:
    fleet = scenario.fleet
    kinds = ("prefill", "soon", "late", "token")
    kind = random.choice(kinds)
    text = f"poison-{serial}-{kind}"
    engine_faults = next(iter(fleet.engines.values())).faults
    engine_faults.poison.add(text)
    if kind == "token":
        engine_faults.poison_tokens[text] = random.randint(2, 120)
    else:
        spans = {"prefill": (0.0, 0.0), "soon": (0.02, 0.3), "late": (0.5, 2.5)}
        engine_faults.poison_delays_s[text] = random.uniform(*spans[kind])
    request = GenerationArrived(
        request_id="",
        workspace=f"workspace-{serial}",
        work="long",
        prompt=f"{text} please",
        max_tokens=300,
        stream=random.random() < 0.8,
        fingerprint=f"print-{text}",
    )
    caller = PoisonCaller(fleet, random, request, kind, text)
    at = WARM_UP_S + random.uniform(1.0, ARRIVAL_PERIOD_S)
    fleet.clock.callLater(at - fleet.now(), caller.start_request)
    return caller


def _plan_faults(injector: FaultInjector, random: Random, scale: float) -> None:
    for fault, mean in (*FAULTS, (LoseRack(), RACK_LOSSES_MEAN)):
        expected = mean * scale
        count = int(expected) + (random.random() < expected - int(expected))
        for _ in range(count):
            at = random.uniform(*FAULT_WINDOW_S)
            injector.schedule_fault(at, fault)
            if random.random() < DOUBLE_FAULT_SHARE:
                second = random.choice((faults.KillEngine(), faults.KillInstance()))
                gap = random.uniform(0.0, DOUBLE_FAULT_GAP_S)
                injector.schedule_fault(at + gap, second)


@define
class PoisonTotals:
    """Totals over all scenarios; `lost` holds kind and losses per poison request."""

    counts: Counter[str] = field(factory=Counter)
    codes: Counter[str] = field(factory=Counter)
    lost: list[tuple[str, int]] = field(factory=list)


def add_scenario(totals: PoisonTotals, scenario: PoisonScenario) -> None:
    """Adds the results of a finished scenario to the totals."""
    counts, fleet = totals.counts, scenario.fleet
    for poison in scenario.poisons:
        crashes = count_crashes(fleet, poison.text)
        totals.lost.append((poison.kind, crashes))
        totals.codes.update(refusal.code for refusal in poison.refusals)
        earlier = poison.crashes_at_first_end
        counts["repeats_ran"] += crashes - earlier if earlier is not None else 0
    for lookup in scenario.poison_lookups:
        crashes = sum(service.crashes for service in fleet.services.values())
        totals.lost.append(("call", crashes))
        totals.codes.update(received.refusal.code for received in lookup.refusals)
    for caller in scenario.mix.callers:
        counts["innocents"] += 1
        counts["refused"] += any(item.code == "quarantined" for item in caller.refusals)
        counts["incomplete"] += caller.finished_at is None
    for normal_lookup in scenario.lookups:
        counts["innocents"] += 1
        codes = [received.refusal.code for received in normal_lookup.refusals]
        counts["refused"] += "quarantined" in codes
        counts["incomplete"] += normal_lookup.answer is None
    counts["killed"] += sum(
        "kill" in fault.kind for fault in scenario.injector.injected
    )
    counts["violations"] += sum("invariant" in reason for _, reason in fleet.stopped)


def count_crashes(fleet: Fleet, text: str) -> int:
    """Returns how many engines a poison text has crashed."""
    return next(iter(fleet.engines.values())).faults.poison_crashes[text]


def make_report(totals: PoisonTotals) -> PoisonReport:
    """Builds the report from the totals."""
    counts = totals.counts
    kinds = sorted({kind for kind, _ in totals.lost})
    return PoisonReport(
        poison_requests=len(totals.lost),
        engines_lost_per_poison_request=summarize_losses(
            [lost for _, lost in totals.lost]
        ),
        innocents_refused=counts["refused"],
        innocents=counts["innocents"],
        innocents_incomplete=counts["incomplete"],
        lost_by_kind={
            kind: summarize_losses(
                [lost for other, lost in totals.lost if other == kind]
            )
            for kind in kinds
        },
        final_answers_to_poison=dict(sorted(totals.codes.items())),
        repeats_ran=counts["repeats_ran"],
        killed_by_faults=counts["killed"],
        invariant_violations=counts["violations"],
    )


def summarize_losses(lost: list[int]) -> LossPerPoison:
    """Computes the mean and the maximum of upstreams lost per poison request."""
    return LossPerPoison(find_share(sum(lost), len(lost)), max(lost, default=0))
