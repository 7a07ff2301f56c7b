"""Measures generations under failures of engines, sidecars, entries and links."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from magnoliahold.core.policy import Policy
from magnoliahold.measure.fakes import faults
from magnoliahold.measure.fakes.faults import FaultInjector
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.network import NetworkConditions
from magnoliahold.measure.options import find_quantiles, find_share, run_scenarios
from magnoliahold.measure.recovery_metrics import (
    ExtraTokens,
    count_extra_tokens,
    find_resume_latency,
    is_caller_affected,
)
from magnoliahold.measure.scenarios import DEPLOYMENTS, CallerMix, make_workspaces

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.callers import GenerationCaller
    from magnoliahold.measure.fakes.faults import InjectedFault
    from magnoliahold.measure.fakes.fleet import Fleet
    from magnoliahold.measure.options import MeasureOptions, Quantiles

ENTRIES = 3
STREAMS = 60
WARM_UP_S = 1.0
ARRIVAL_PERIOD_S = 9.0
FAULT_WINDOW_S = (1.5, 11.0)
DRAIN_TIMEOUT_S = 60.0
STEP_S = 0.005
LOST_SHARE = 0.001
REORDERED_SHARE = 0.01
BASELINE_TIMEOUT_S = 5.0
RESET_KINDS = frozenset(
    {"engine_killed", "instance_killed", "sidecar_killed", "entry_killed"}
)

# Each fault with the mean number of times that it is injected per scenario.
FAULTS: tuple[tuple[object, float], ...] = (
    (faults.KillEngine(), 1.5),
    (faults.KillInstance(), 0.7),
    (faults.LoseInstance(), 0.4),
    (faults.KillSidecar(), 0.5),
    (faults.KillEntry(), 0.7),
    (faults.FreezeEngine(), 0.7),
    (faults.FreezeSidecar(), 0.7),
    (faults.FreezeEntry(), 0.4),
    (faults.SilenceEngine(), 0.7),
    (faults.SilenceLink(), 1.0),
    (faults.CutLink(), 0.7),
    (faults.StopStore(), 0.5),
)
DOUBLE_FAULT_SHARE = 0.2
DOUBLE_FAULT_GAP_S = 0.4


@frozen
class GenerationsReport:
    """Results over all scenarios; times in seconds at the caller.

    Resume latency is measured for each streaming caller that a fault affects, from the
    last token before the fault to the next token that the caller did not have yet,
    minus one token interval. `resume_shown_s` covers process failures that reset
    connections and `resume_by_kind_s` each kind of fault. `extra_tokens_share` is the
    sum of `extra_tokens` divided by `tokens_delivered`.
    """

    streams: int
    engines_killed: int
    instances_killed: int
    entries_killed: int
    freezes: int
    silent_connections: int
    tokens_delivered: int
    tokens_missing: int
    tokens_repeated: int
    mixed_answers: int
    incomplete_answers: int
    resume_latency_s: Quantiles
    resume_shown_s: Quantiles
    resume_by_kind_s: dict[str, Quantiles]
    extra_tokens_share: float
    extra_tokens: dict[str, int]
    restarted_answers: int
    streams_lost: int
    invariant_violations: int


@define
class GenerationTotals:
    """Totals over all scenarios."""

    counts: Counter[str] = field(factory=Counter)
    injected: Counter[str] = field(factory=Counter)
    latencies: dict[str, list[float]] = field(factory=dict)
    extra: ExtraTokens = field(factory=ExtraTokens)


@define(eq=False)
class Scenario:
    """One fleet with callers and faults.

    `affected` pairs each fault with each caller whose stream it affected.
    """

    fleet: Fleet
    mix: CallerMix
    injector: FaultInjector
    affected: list[tuple[InjectedFault, GenerationCaller]] = field(factory=list)

    def record_affected(self, fault: InjectedFault) -> None:
        """Records the callers whose streams a fault affects."""
        for caller in self.mix.callers:
            if is_caller_affected(caller, fault):
                self.affected.append((fault, caller))

    def run_scenario(self) -> None:
        """Runs until every caller is done.

        It stops at the latest DRAIN_TIMEOUT_S after the fault window.
        """
        self.fleet.run_for(FAULT_WINDOW_S[1], STEP_S)
        limit = self.fleet.now() + DRAIN_TIMEOUT_S
        while self.fleet.now() < limit:
            if all(caller.done for caller in self.mix.callers):
                break
            self.fleet.run_for(0.1, STEP_S)


def run_generations(options: MeasureOptions) -> GenerationsReport:
    """Runs seeded scenarios, alternating between the sizes of the two deployments."""
    totals = GenerationTotals()
    for scenario in run_scenarios(options, make_scenario):
        add_scenario(totals, scenario)
    return make_report(totals)


def make_scenario(options: MeasureOptions, number: int) -> Scenario:
    """Builds one scenario; the same seed and number give the same run."""
    random = Random(f"generations {options.seed} {number}")
    deployment = DEPLOYMENTS[number % len(DEPLOYMENTS)]
    spec = FleetSpec(
        entries=ENTRIES,
        engines=deployment.engines,
        data_centres=deployment.data_centres,
        network=NetworkConditions(
            lost_share=min(0.05, LOST_SHARE * options.faults),
            reordered_share=min(0.2, REORDERED_SHARE * options.faults),
        ),
    )
    policy = make_baseline_policy() if options.baseline else Policy()
    fleet = make_fleet(
        random.getrandbits(32), spec, make_workspaces(deployment), policy
    )
    fleet.run_for(WARM_UP_S, STEP_S)
    mix = CallerMix(fleet, Random(random.getrandbits(32)))
    for _ in range(STREAMS):
        at = WARM_UP_S + random.uniform(0.0, ARRIVAL_PERIOD_S)
        mix.plan_caller(at, _disable_resume if options.baseline else _enable_resume)
    injector = FaultInjector(fleet, Random(random.getrandbits(32)))
    scenario = Scenario(fleet, mix, injector)
    injector.on_fault = scenario.record_affected
    plan_faults(injector, random, options.faults)
    return scenario


def make_baseline_policy() -> Policy:
    """Builds the baseline policy: restart from token 0 after one fixed timeout."""
    timeout_s = BASELINE_TIMEOUT_S
    policy = Policy()
    return evolve(
        policy,
        membership=evolve(
            policy.membership, link_silent_s=timeout_s, peer_lost_s=timeout_s
        ),
        streams=evolve(
            policy.streams,
            engine_silent_min_s=timeout_s,
            first_token_silent_s=timeout_s,
            probe_timeout_s=timeout_s,
            local_restarts=0,
            resume_by_prefix=False,
        ),
    )


def _disable_resume(caller: GenerationCaller) -> None:
    caller.resumes = False


def _enable_resume(caller: GenerationCaller) -> None:
    caller.resumes = caller.request.stream


def plan_faults(injector: FaultInjector, random: Random, scale: float) -> None:
    """Plans all faults at random times; some are followed closely by a second one."""
    for fault, mean in FAULTS:
        for _ in range(_draw_count(random, mean * scale)):
            at = random.uniform(*FAULT_WINDOW_S)
            injector.schedule_fault(at, fault)
            if random.random() < DOUBLE_FAULT_SHARE:
                second, _mean = random.choice(FAULTS)
                gap = random.choice((0.0, random.uniform(0.0, DOUBLE_FAULT_GAP_S)))
                injector.schedule_fault(at + gap, second)


def _draw_count(random: Random, mean: float) -> int:
    """Draws a count with the given mean: its integer part, plus 1 at random."""
    whole = int(mean)
    return whole + (random.random() < mean - whole)


def add_scenario(totals: GenerationTotals, scenario: Scenario) -> None:
    """Adds the results of a finished scenario to the totals."""
    callers = scenario.mix.callers
    for caller in callers:
        _add_caller(totals.counts, caller)
    engines = scenario.fleet.engines.values()
    runs = [run for engine in engines for run in engine.runs]
    extra = count_extra_tokens(runs, callers)
    totals.extra.prompt += extra.prompt
    totals.extra.output += extra.output
    totals.extra.duplicates += extra.duplicates
    totals.injected.update(fault.kind for fault in scenario.injector.injected)
    stopped = scenario.fleet.stopped
    totals.counts["violations"] += sum("invariant" in reason for _, reason in stopped)
    _add_latencies(totals, scenario)


def _add_caller(counts: Counter[str], caller: GenerationCaller) -> None:
    counts["streams"] += 1
    counts["delivered"] += len(caller.tokens)
    counts["missing"] += caller.offsets_skipped
    counts["repeated"] += caller.offsets_repeated
    whole = len(caller.tokens) == caller.request.max_tokens
    counts["mixed"] += caller.find_break() is not None
    counts["incomplete"] += not (caller.finished_at is not None and whole)
    counts["restarted"] += caller.restarts
    counts["lost"] += sum(item.code == "stream_lost" for item in caller.refusals)


def _add_latencies(totals: GenerationTotals, scenario: Scenario) -> None:
    interval_s = next(iter(scenario.fleet.engines.values())).token_interval_s
    seen: set[tuple[int, float]] = set()
    for fault, caller in scenario.affected:
        if not caller.request.stream:
            continue
        pause = find_resume_latency(caller.progress, fault.at, interval_s)
        if pause is None or (id(caller), pause[0]) in seen:
            continue
        seen.add((id(caller), pause[0]))
        totals.latencies.setdefault(fault.kind, []).append(pause[1])


def make_report(totals: GenerationTotals) -> GenerationsReport:
    """Builds the report from the totals."""
    counts, injected, latencies = totals.counts, totals.injected, totals.latencies
    all_latencies = [value for values in latencies.values() for value in values]
    after_reset = [value for kind in RESET_KINDS for value in latencies.get(kind, [])]
    return GenerationsReport(
        streams=counts["streams"],
        engines_killed=injected["engine_killed"],
        instances_killed=injected["instance_killed"] + injected["instance_lost"],
        entries_killed=injected["entry_killed"],
        freezes=sum(count for kind, count in injected.items() if "frozen" in kind),
        silent_connections=injected["engine_silenced"] + injected["link_silenced"],
        tokens_delivered=counts["delivered"],
        tokens_missing=counts["missing"],
        tokens_repeated=counts["repeated"],
        mixed_answers=counts["mixed"],
        incomplete_answers=counts["incomplete"],
        resume_latency_s=find_quantiles(all_latencies),
        resume_shown_s=find_quantiles(after_reset),
        resume_by_kind_s={
            kind: find_quantiles(values) for kind, values in sorted(latencies.items())
        },
        extra_tokens_share=find_share(totals.extra.total, counts["delivered"]),
        extra_tokens={
            "prompt": totals.extra.prompt,
            "output": totals.extra.output,
            "duplicates": totals.extra.duplicates,
        },
        restarted_answers=counts["restarted"],
        streams_lost=counts["lost"],
        invariant_violations=counts["violations"],
    )
