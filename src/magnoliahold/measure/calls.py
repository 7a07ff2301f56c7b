"""Measures calls to plain services under faults; some calls must not be repeated."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from magnoliahold.core.events import CallArrived
from magnoliahold.core.workspaces import ServiceRule
from magnoliahold.measure.baseline_calls import use_baseline_calls
from magnoliahold.measure.fakes import faults, service_faults
from magnoliahold.measure.fakes.callers import ServiceCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.network import NetworkConditions
from magnoliahold.measure.fakes.service_faults import ServiceFaultInjector
from magnoliahold.measure.fakes.workspaces import make_workspace
from magnoliahold.measure.options import find_quantiles, find_share, run_scenarios

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.fleet import Fleet
    from magnoliahold.measure.fakes.service import LedgerEntry
    from magnoliahold.measure.options import MeasureOptions, Quantiles

ENTRIES = 3
WORKSPACES = 10
CALLS = 240
# Service name, number of upstreams and of data centres of each deployment.
SERVICES = (("desk", 3, 3), ("counter", 4, 4))
WARM_UP_S = 1.0
ARRIVAL_PERIOD_S = 12.0
FAULT_WINDOW_S = (1.5, 13.0)
DRAIN_TIMEOUT_S = 30.0
LATE_RUN_WAIT_S = 6.0
STEP_S = 0.005
MAX_REPEATS = 6
RACE_SHARE = 0.15
RACE_GAP_S = 0.02

# Each fault with the mean number of times that it is injected per scenario.
FAULTS: tuple[tuple[object, float], ...] = (
    (service_faults.KillService(), 1.5),
    (service_faults.FreezeService(), 1.0),
    (service_faults.KillServiceInstance(), 0.5),
    (faults.KillSidecar(), 0.7),
    (faults.FreezeSidecar(), 0.8),
    (faults.KillEntry(), 1.0),
    (faults.FreezeEntry(), 0.5),
    (faults.SilenceLink(), 1.0),
    (faults.CutLink(), 1.0),
    (faults.StopStore(), 0.5),
    (service_faults.SlowStore(), 0.5),
)
DOUBLE_FAULT_SHARE = 0.25
DOUBLE_FAULT_GAP_S = 0.5
LOST_SHARE = 0.001
REORDERED_SHARE = 0.02
LOST_TABLE_ANSWERS_SHARE = 0.02
LOST_SERVICE_ANSWERS_SHARE = 0.005
SLOW_CALLS_SHARE = 0.02


@frozen
class CallsReport:
    """Results over all scenarios; times in seconds at the caller.

    `told_not_run_but_ran` counts callers that got a "not run" refusal for a request
    that did run, see `has_false_not_run_refusal`. `may_have_run_share` and
    `refused_share` are shares of all calls by their final answers, which
    `final_answers` counts by code. `unanswered` counts calls without a final answer.
    """

    calls: int
    ran_twice: int
    told_not_run_but_ran: int
    wrong_answers: int
    may_have_run_share: float
    refused_share: float
    answer_s: Quantiles
    unanswered: int
    final_answers: dict[str, int]
    keyed_calls: int
    keys_repeated: int
    table_transactions: int
    invariant_violations: int


@define(eq=False)
class CallScenario:
    """One fleet with its callers; racing callers share a body and a key."""

    fleet: Fleet
    injector: ServiceFaultInjector
    baseline: bool
    callers: list[ServiceCaller] = field(factory=list)

    def run_scenario(self) -> None:
        """Runs until every caller is done, then long enough to record late runs."""
        self.fleet.run_for(FAULT_WINDOW_S[1] - WARM_UP_S, STEP_S)
        limit = self.fleet.now() + DRAIN_TIMEOUT_S
        while self.fleet.now() < limit:
            if all(caller.done for caller in self.callers):
                break
            self.fleet.run_for(0.25, STEP_S)
        self.fleet.run_for(LATE_RUN_WAIT_S, STEP_S)


@define(eq=False)
class BaselineServiceFaultInjector(ServiceFaultInjector):
    """Restarts entries with the baseline's systems."""

    def restart_entry(self, name: str) -> None:
        """Restarts an entry unless it is running."""
        if name not in self.fleet.network.processes:
            self.fleet.add_entry(name)
            use_baseline_calls(self.fleet.find_node(name))


@define
class CallTotals:
    """Totals over all scenarios."""

    counts: Counter[str] = field(factory=Counter)
    codes: Counter[str] = field(factory=Counter)
    answer_s: list[float] = field(factory=list)


def run_calls(options: MeasureOptions) -> CallsReport:
    """Runs seeded scenarios, alternating between the sizes of the two deployments."""
    totals = CallTotals()
    for scenario in run_scenarios(options, make_scenario):
        add_scenario(totals, scenario)
    return make_report(totals)


def make_scenario(options: MeasureOptions, number: int) -> CallScenario:
    """Builds one scenario; the same seed and number give the same run."""
    random = Random(f"calls {options.seed} {number}")
    service, upstreams, centres = SERVICES[number % len(SERVICES)]
    fleet = make_call_fleet(random, service, upstreams, centres, options.faults)
    injector_class = (
        BaselineServiceFaultInjector if options.baseline else ServiceFaultInjector
    )
    injector = injector_class(fleet, Random(random.getrandbits(32)))
    scenario = CallScenario(fleet, injector, options.baseline)
    if options.baseline:
        for name in fleet.list_entries():
            use_baseline_calls(fleet.find_node(name))
    fleet.run_for(WARM_UP_S, STEP_S)
    for serial in range(CALLS):
        plan_call(scenario, random, service, f"{number}-{serial}")
    plan_faults(injector, random, options.faults)
    return scenario


def make_call_fleet(
    random: Random, service: str, upstreams: int, centres: int, scale: float
) -> Fleet:
    """Builds a fleet with one plain service and no engines."""
    spec = FleetSpec(
        entries=ENTRIES,
        engines={},
        services={service: upstreams},
        data_centres=centres,
        network=NetworkConditions(
            lost_share=min(0.05, LOST_SHARE * scale),
            reordered_share=min(0.2, REORDERED_SHARE * scale),
        ),
    )
    names = tuple(f"{service}-{number}" for number in range(upstreams))
    rule = ServiceRule(service, names, ("GET /*",))
    workspaces = [
        make_workspace(f"workspace-{n}", [], [rule]) for n in range(WORKSPACES)
    ]
    fleet = make_fleet(random.getrandbits(32), spec, workspaces)
    fleet.platform.lost_answer_share = min(0.2, LOST_TABLE_ANSWERS_SHARE * scale)
    for fake_service in fleet.services.values():
        fake_service.lost_answer_share = min(0.1, LOST_SERVICE_ANSWERS_SHARE * scale)
        fake_service.slow_share = SLOW_CALLS_SHARE
    return fleet


def plan_call(scenario: CallScenario, random: Random, service: str, name: str) -> None:
    """Plans one random call: a lookup, a booking, or a booking with a key.

    Some calls with a key get a second caller that sends the same request concurrently.
    """
    kind = random.choices(("lookup", "booking", "keyed"), (0.4, 0.2, 0.4))[0]
    at = WARM_UP_S + random.uniform(0.0, ARRIVAL_PERIOD_S)
    request = CallArrived(
        request_id="",
        workspace=f"workspace-{int(WORKSPACES * random.random() ** 2)}",
        service=service,
        method="GET" if kind == "lookup" else "POST",
        path=f"/{kind}",
        headers=(),
        body=f"{kind}-{name}".encode(),
        fingerprint=f"print-{name}",
        idempotency_key=f"key-{name}" if kind == "keyed" else "",
    )
    repeats = 0 if kind == "booking" else MAX_REPEATS
    races = kind == "keyed" and random.random() < RACE_SHARE
    _add_caller(scenario, request, at, repeats, races)
    if races:
        at += random.uniform(0.0, RACE_GAP_S)
        _add_caller(scenario, request, at, repeats, races)


def _add_caller(
    scenario: CallScenario, request: CallArrived, at: float, repeats: int, races: bool
) -> None:
    fleet = scenario.fleet
    caller = ServiceCaller(fleet.clock, fleet, request, repeats, races)
    scenario.callers.append(caller)
    fleet.clock.callLater(at - fleet.now(), caller.start_request)


def plan_faults(injector: ServiceFaultInjector, random: Random, scale: float) -> None:
    """Plans all faults at random times; some are followed closely by a second one."""
    for fault, mean in FAULTS:
        expected = mean * scale
        count = int(expected) + (random.random() < expected - int(expected))
        for _ in range(count):
            at = random.uniform(*FAULT_WINDOW_S)
            injector.schedule_fault(at, fault)
            if random.random() < DOUBLE_FAULT_SHARE:
                second, _mean = random.choice(FAULTS)
                gap = random.choice((0.0, random.uniform(0.0, DOUBLE_FAULT_GAP_S)))
                injector.schedule_fault(at + gap, second)


def add_scenario(totals: CallTotals, scenario: CallScenario) -> None:
    """Adds the results of a finished scenario to the totals."""
    counts = totals.counts
    runs = count_runs(scenario.fleet)
    bodies = {caller.request.body: caller.request for caller in scenario.callers}
    not_repeatable = [
        body for body, request in bodies.items() if request.method != "GET"
    ]
    counts["ran_twice"] += sum(runs[body] > 1 for body in not_repeatable)
    counts["keys_repeated"] += sum(caller.repeats > 0 for caller in scenario.callers)
    counts["transactions"] += scenario.fleet.platform.writes
    stopped = scenario.fleet.stopped
    counts["violations"] += sum("invariant" in reason for _, reason in stopped)
    for caller in scenario.callers:
        _add_outcome(totals, scenario.fleet, caller)


def count_runs(fleet: Fleet) -> Counter[bytes]:
    """Counts how often each body ran, over all services."""
    runs: Counter[bytes] = Counter()
    for service in fleet.services.values():
        runs.update(entry.body for entry in service.ledger if entry.ran_at is not None)
    return runs


def _add_outcome(totals: CallTotals, fleet: Fleet, caller: ServiceCaller) -> None:
    counts = totals.counts
    counts["calls"] += 1
    counts["keyed"] += bool(caller.request.idempotency_key)
    counts["untrue"] += has_false_not_run_refusal(fleet, caller)
    if not caller.done or caller.answered_at is None:
        counts["unanswered"] += 1
        return
    totals.answer_s.append(caller.answered_at - caller.started_at)
    totals.codes[name_outcome(caller)] += 1
    if caller.answer is not None:
        counts["wrong"] += caller.answer.body != caller.request.body


def name_outcome(caller: ServiceCaller) -> str:
    """Returns "answered", the code of the refusal, or "connection_lost"."""
    if caller.answer is not None:
        return "answered"
    return caller.refusal.code if caller.refusal else "connection_lost"


def has_false_not_run_refusal(fleet: Fleet, caller: ServiceCaller) -> bool:
    """Returns whether a caller got a "not run" refusal for a request that did run.

    A run of the refused request itself counts whenever it happened. All requests with
    one key are the same request: a run for any of them counts if it was handed to a
    service before the caller received the refusal. For racing callers it must have been
    handed over before the refusal was sent, because the other caller may start a run in
    between.
    """
    requests = fleet.journal.requests_by_nonce
    keyed = bool(caller.request.idempotency_key)
    ran = list_runs(fleet, caller.request.body)
    for received in caller.refusals:
        if received.refusal.ran != "not_run":
            continue
        if any(requests.get(entry.nonce) == received.request_id for entry in ran):
            return True
        cutoff_at = received.sent_at if caller.races else received.received_at
        if keyed and any(entry.received_at < cutoff_at for entry in ran):
            return True
    return False


def list_runs(fleet: Fleet, body: bytes) -> list[LedgerEntry]:
    """Lists the runs of a body across all services."""
    return [
        entry
        for service in fleet.services.values()
        for entry in service.ledger
        if entry.body == body and entry.ran_at is not None
    ]


def make_report(totals: CallTotals) -> CallsReport:
    """Builds the report from the totals."""
    counts, codes = totals.counts, totals.codes
    uncertain = codes["may_have_run"] + codes["connection_lost"]
    refused = sum(codes.values()) - codes["answered"] - uncertain
    return CallsReport(
        calls=counts["calls"],
        ran_twice=counts["ran_twice"],
        told_not_run_but_ran=counts["untrue"],
        wrong_answers=counts["wrong"],
        may_have_run_share=find_share(uncertain, counts["calls"]),
        refused_share=find_share(refused, counts["calls"]),
        answer_s=find_quantiles(totals.answer_s),
        unanswered=counts["unanswered"],
        final_answers=dict(sorted(codes.items())),
        keyed_calls=counts["keyed"],
        keys_repeated=counts["keys_repeated"],
        table_transactions=counts["transactions"],
        invariant_violations=counts["violations"],
    )
