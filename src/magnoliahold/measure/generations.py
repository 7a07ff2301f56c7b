"""Measures how generations survive failures of engines, sidecars, entries and links."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from magnoliahold.core.policy import Policy
from magnoliahold.measure.accounts import (
    ExtraTokens,
    count_extra_tokens,
    find_resume_latency,
    is_hit,
)
from magnoliahold.measure.fakes import faults
from magnoliahold.measure.fakes.faults import FaultInjector
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.network import NetworkConditions
from magnoliahold.measure.options import find_quantiles, find_share, run_scenarios
from magnoliahold.measure.scenarios import DEPLOYMENTS, CallerMix, make_workspaces

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.callers import GenerationCaller
    from magnoliahold.measure.fakes.faults import InjectedFault
    from magnoliahold.measure.fakes.fleet import Fleet
    from magnoliahold.measure.options import MeasureOptions, Quantiles

ENTRIES = 3
STREAMS = 60
WARM_UP_S = 1.0
ARRIVALS_S = 9.0
FAULTS_S = (1.5, 11.0)
DRAIN_S = 60.0
STEP_S = 0.005
LOST_SHARE = 0.001
CROSSED_SHARE = 0.01
BASELINE_TIMEOUT_S = 5.0
SHOWN_KINDS = frozenset(
    {"engine_killed", "instance_killed", "sidecar_killed", "entry_killed"}
)

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
DOUBLE_SHARE = 0.2
DOUBLE_GAP_S = 0.4


@frozen
class GenerationsReport:
    """Results over all scenarios; times in seconds at the caller.

    Resume latency is taken per streaming caller that a fault struck, from the last
    token before the fault to the next token that the caller did not have before, minus
    one token interval. `resume_shown_s` covers deaths that reset connections and
    `resume_by_kind_s` each kind of fault. `extra_tokens_share` is `extra_tokens` over
    `tokens_delivered`.
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
class Tally:
    """Sums over scenarios."""

    counts: Counter[str] = field(factory=Counter)
    injected: Counter[str] = field(factory=Counter)
    latencies: dict[str, list[float]] = field(factory=dict)
    extra: ExtraTokens = field(factory=ExtraTokens)


@define(eq=False)
class Scenario:
    """One fleet with its callers and faults; `struck` pairs hits with callers."""

    fleet: Fleet
    mix: CallerMix
    injector: FaultInjector
    struck: list[tuple[InjectedFault, GenerationCaller]] = field(factory=list)

    def note_struck(self, hit: InjectedFault) -> None:
        """Notes the callers whose streams a fault has struck."""
        for caller in self.mix.callers:
            if is_hit(caller, hit):
                self.struck.append((hit, caller))

    def run_scenario(self) -> None:
        """Runs until every caller is done, or DRAIN_S after the last fault."""
        self.fleet.run_for(FAULTS_S[1], STEP_S)
        limit = self.fleet.now() + DRAIN_S
        while self.fleet.now() < limit:
            if all(caller.done for caller in self.mix.callers):
                break
            self.fleet.run_for(0.1, STEP_S)


def run_generations(options: MeasureOptions) -> GenerationsReport:
    """Runs seeded scenarios at the sizes of the two deployments in turn."""
    tally = Tally()
    for scenario in run_scenarios(options, make_scenario):
        add_scenario(tally, scenario)
    return make_report(tally)


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
            reordered_share=min(0.2, CROSSED_SHARE * options.faults),
        ),
    )
    policy = make_baseline_policy() if options.baseline else Policy()
    fleet = make_fleet(
        random.getrandbits(32), spec, make_workspaces(deployment), policy
    )
    fleet.run_for(WARM_UP_S, STEP_S)
    mix = CallerMix(fleet, Random(random.getrandbits(32)))
    for _ in range(STREAMS):
        at = WARM_UP_S + random.uniform(0.0, ARRIVALS_S)
        mix.plan_caller(at, _make_plain if options.baseline else _keep)
    injector = FaultInjector(fleet, Random(random.getrandbits(32)))
    scenario = Scenario(fleet, mix, injector)
    injector.on_fault = scenario.note_struck
    plan_faults(injector, random, options.faults)
    return scenario


def make_baseline_policy() -> Policy:
    """Builds the plain alternative: start again from 0, one fixed timeout."""
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


def _make_plain(caller: GenerationCaller) -> None:
    caller.resumes = False


def _keep(caller: GenerationCaller) -> None:
    caller.resumes = caller.request.stream


def plan_faults(injector: FaultInjector, random: Random, scale: float) -> None:
    """Draws the times of all faults; some come double or within a moment."""
    for fault, mean in FAULTS:
        for _ in range(_draw_count(random, mean * scale)):
            at = random.uniform(*FAULTS_S)
            injector.schedule_fault(at, fault)
            if random.random() < DOUBLE_SHARE:
                second, _mean = random.choice(FAULTS)
                gap = random.choice((0.0, random.uniform(0.0, DOUBLE_GAP_S)))
                injector.schedule_fault(at + gap, second)


def _draw_count(random: Random, mean: float) -> int:
    """Draws a count with the given mean: its whole part, and one more by chance."""
    whole = int(mean)
    return whole + (random.random() < mean - whole)


def add_scenario(tally: Tally, scenario: Scenario) -> None:
    """Adds a finished scenario to the sums."""
    callers = scenario.mix.callers
    for caller in callers:
        _add_caller(tally.counts, caller)
    engines = scenario.fleet.engines.values()
    runs = [run for engine in engines for run in engine.runs]
    extra = count_extra_tokens(runs, callers)
    tally.extra.prompt += extra.prompt
    tally.extra.output += extra.output
    tally.extra.duplicates += extra.duplicates
    tally.injected.update(hit.kind for hit in scenario.injector.injected)
    stopped = scenario.fleet.stopped
    tally.counts["violations"] += sum("invariant" in why for _, why in stopped)
    _add_latencies(tally, scenario)


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


def _add_latencies(tally: Tally, scenario: Scenario) -> None:
    interval_s = next(iter(scenario.fleet.engines.values())).token_interval_s
    seen: set[tuple[int, float]] = set()
    for hit, caller in scenario.struck:
        if not caller.request.stream:
            continue
        pause = find_resume_latency(caller.progress, hit.at, interval_s)
        if pause is None or (id(caller), pause[0]) in seen:
            continue
        seen.add((id(caller), pause[0]))
        tally.latencies.setdefault(hit.kind, []).append(pause[1])


def make_report(tally: Tally) -> GenerationsReport:
    """Builds the report from the sums."""
    counts, injected, latencies = tally.counts, tally.injected, tally.latencies
    everything = [value for values in latencies.values() for value in values]
    shown = [value for kind in SHOWN_KINDS for value in latencies.get(kind, [])]
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
        resume_latency_s=find_quantiles(everything),
        resume_shown_s=find_quantiles(shown),
        resume_by_kind_s={
            kind: find_quantiles(values) for kind, values in sorted(latencies.items())
        },
        extra_tokens_share=find_share(tally.extra.total, counts["delivered"]),
        extra_tokens={
            "prompt": tally.extra.prompt,
            "output": tally.extra.output,
            "duplicates": tally.extra.duplicates,
        },
        restarted_answers=counts["restarted"],
        streams_lost=counts["lost"],
        invariant_violations=counts["violations"],
    )
