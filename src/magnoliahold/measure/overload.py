"""Measures admission and routing at loads below and above capacity."""

from __future__ import annotations

from bisect import bisect_left
from random import Random
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from magnoliahold.core.effects import RefuseRequest
from magnoliahold.core.events import GenerationArrived
from magnoliahold.core.policy import Policy, RoutingPolicy
from magnoliahold.measure.baseline_admission import use_baseline_admission
from magnoliahold.measure.fakes.callers import GenerationCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.workspaces import make_work, make_workspace
from magnoliahold.measure.options import find_quantiles, find_share
from magnoliahold.measure.scenarios import DEPLOYMENTS

if TYPE_CHECKING:
    from magnoliahold.core.workspaces import Workspace
    from magnoliahold.measure.fakes.fleet import Fleet
    from magnoliahold.measure.options import MeasureOptions
    from magnoliahold.measure.scenarios import Deployment

LOADS = (0.8, 1.2, 2.0, 4.0)
ENTRIES = 3
WORKSPACES = 10
WORKS = ("batch", "draft", "desk")
FLOODING_WORKSPACE = "workspace-0"
FLOOD_SHARE = 0.7
WARM_UP_S = 1.0
ARRIVAL_PERIOD_S = 5.0
BATCH_DEADLINE_S = 8.0
INTERACTIVE_DEADLINE_S = 10.0
TOKEN_INTERVAL_S = 0.04
BATCH_TOKENS = (30, 90)
INTERACTIVE_TOKENS = (5, 30)
INTERACTIVE_IN_LARGE_POOL_SHARE = 0.3
TEMPLATE_WORDS = 128
UNIQUE_WORDS = (10, 60)
PREFIX_ROUTING_OFF_CHARACTERS = 1_000_000
STEP_S = 0.01
DRAIN_TIMEOUT_S = 60.0
CAPACITY = 4


@frozen
class ShortQuantiles:
    """The median and the 95th percentile in seconds."""

    p50: float
    p95: float


@frozen
class Longest:
    """The longest time in seconds."""

    max: float


@frozen
class LoadReport:
    """Results at one load, over all scenarios.

    First-token times run from the request to its first token, for requests that got
    one; `others_first_token_s` covers workspaces other than the flooding one.
    `given_up_answer_s` is the time from the request to its refusal. The fair share of a
    workspace in a work is the minimum of its offered cost and the max-min fair level of
    the cost served; `workspace_share_min_over_fair` is the lowest fraction of its fair
    share that any workspace got of any work in any scenario.
    `prompt_tokens_saved_share` is the number of prompt tokens that were not computed,
    divided by those of all prompts that were started. `goodput_share` is the output of
    complete answers that was delivered while requests arrived, divided by what the
    engines could have produced.
    """

    requests: int
    interactive_first_token_s: ShortQuantiles
    others_first_token_s: ShortQuantiles
    batch_whole_by_deadline_share: float
    interactive_whole_share: float
    given_up_answer_s: Longest
    workspace_share_min_over_fair: float
    prompt_tokens_saved_share: float
    refused_share: float
    goodput_share: float
    unanswered: int
    longest_engine_queue: int


@frozen
class OverloadReport:
    """The worst result over all loads, and the results by load over capacity."""

    offered_over_capacity: float
    interactive_first_token_s: ShortQuantiles
    batch_whole_by_deadline_share: float
    given_up_answer_s: Longest
    workspace_share_min_over_fair: float
    prompt_tokens_saved_share: float
    refused_share: float
    invariant_violations: int
    loads: dict[str, LoadReport]


@define(eq=False)
class OneShotCaller(GenerationCaller):
    """Sends its request once; `refused_at` is the time of its refusal, if any."""

    refused_at: float | None = None

    def receive(self, effect: object) -> None:
        """Handles an effect and records the time of a refusal."""
        if isinstance(effect, RefuseRequest) and self.refused_at is None:
            self.refused_at = float(self.clock.seconds())
        GenerationCaller.receive(self, effect)


@define(eq=False)
class OverloadScenario:
    """One fleet at one load, with its callers; each caller sends its request once."""

    fleet: Fleet
    deployment: Deployment
    load: float
    callers: list[OneShotCaller] = field(factory=list)
    longest_queue: int = 0

    def run_scenario(self) -> None:
        """Runs until every caller has its final answer."""
        limit = WARM_UP_S + ARRIVAL_PERIOD_S + DRAIN_TIMEOUT_S
        while self.fleet.now() < limit:
            self.fleet.run_for(0.25, STEP_S)
            waiting = max(len(item.waiting) for item in self.fleet.engines.values())
            self.longest_queue = max(self.longest_queue, waiting)
            arrived = self.fleet.now() > WARM_UP_S + ARRIVAL_PERIOD_S
            if arrived and all(caller.done for caller in self.callers):
                break


@define
class LoadTotals:
    """Totals over the scenarios at one load."""

    first_token_s: list[float] = field(factory=list)
    others_first_token_s: list[float] = field(factory=list)
    given_up_s: list[float] = field(factory=list)
    least_fair_shares: list[float] = field(factory=list)
    requests: int = 0
    refused: int = 0
    unanswered: int = 0
    batch: int = 0
    batch_whole: int = 0
    interactive: int = 0
    interactive_whole: int = 0
    prompt_tokens: int = 0
    prompt_tokens_computed: int = 0
    delivered_tokens: int = 0
    capacity_tokens: float = 0.0
    longest_queue: int = 0
    violations: int = 0


def run_overload(options: MeasureOptions) -> OverloadReport:
    """Runs seeded scenarios at each load, alternating between the two deployments."""
    totals_by_load = {load: LoadTotals() for load in LOADS}
    for number in range(options.runs):
        load = LOADS[number % len(LOADS)]
        scenario = make_scenario(options, number, load)
        scenario.run_scenario()
        add_scenario(totals_by_load[load], scenario)
    return make_report(
        {load: item for load, item in totals_by_load.items() if item.requests}
    )


def make_scenario(
    options: MeasureOptions, number: int, load: float, policy: Policy | None = None
) -> OverloadScenario:
    """Builds one scenario; the same seed and number give the same run."""
    random = Random(f"overload {options.seed} {number}")
    deployment = DEPLOYMENTS[number // len(LOADS) % len(DEPLOYMENTS)]
    spec = FleetSpec(
        entries=ENTRIES,
        engines=deployment.engines,
        data_centres=deployment.data_centres,
        capacity=CAPACITY,
    )
    workspaces = make_overload_workspaces(deployment)
    if options.baseline:
        policy = Policy(
            routing=RoutingPolicy(prefix_characters=PREFIX_ROUTING_OFF_CHARACTERS)
        )
    fleet = make_fleet(random.getrandbits(32), spec, workspaces, policy or Policy())
    for engine in fleet.engines.values():
        engine.token_interval_s = TOKEN_INTERVAL_S
    if options.baseline:
        for name in fleet.list_entries():
            use_baseline_admission(fleet.find_node(name))
    fleet.run_for(WARM_UP_S, STEP_S)
    scenario = OverloadScenario(fleet, deployment, load)
    plan_arrivals(scenario, random)
    return scenario


def make_overload_workspaces(deployment: Deployment) -> list[Workspace]:
    """Builds workspaces with a batch and an interactive work on the large pool.

    Another interactive work runs on the small pool.
    """
    works = [
        make_work("batch", deployment.long_role, deadline_s=BATCH_DEADLINE_S),
        make_work(
            "draft",
            deployment.long_role,
            interactive=True,
            deadline_s=INTERACTIVE_DEADLINE_S,
        ),
        make_work(
            "desk",
            deployment.short_role,
            interactive=True,
            deadline_s=INTERACTIVE_DEADLINE_S,
        ),
    ]
    return [make_workspace(f"workspace-{n}", list(works)) for n in range(WORKSPACES)]


def plan_arrivals(scenario: OverloadScenario, random: Random) -> None:
    """Plans requests until the offered cost is `load` times the capacity."""
    fleet = scenario.fleet
    deployment = scenario.deployment
    for role in (deployment.long_role, deployment.short_role):
        offered = scenario.load * count_capacity_tokens(scenario, role)
        while offered > 0:
            caller = draw_caller(scenario, random, role)
            offered -= caller.request.max_tokens
            scenario.callers.append(caller)
            fleet.clock.callLater(
                random.uniform(0, ARRIVAL_PERIOD_S), caller.start_request
            )


def count_capacity_tokens(scenario: OverloadScenario, role: str) -> float:
    """Returns how many tokens the engines of a role can produce during arrivals."""
    engines = [item for item in scenario.fleet.engines.values() if item.role == role]
    return sum(
        engine.capacity * ARRIVAL_PERIOD_S / engine.token_interval_s
        for engine in engines
    )


def draw_caller(scenario: OverloadScenario, random: Random, role: str) -> OneShotCaller:
    """Makes a caller with a random request for the engines of a role."""
    serial = len(scenario.callers)
    flooding = random.random() < FLOOD_SHARE
    workspace = FLOODING_WORKSPACE
    if not flooding:
        workspace = f"workspace-{random.randrange(1, WORKSPACES)}"
    batch = role == scenario.deployment.long_role
    work = "desk"
    if batch:
        work = "draft" if random.random() < INTERACTIVE_IN_LARGE_POOL_SHARE else "batch"
    tokens = BATCH_TOKENS if work == "batch" else INTERACTIVE_TOKENS
    request = GenerationArrived(
        request_id="",
        workspace=workspace,
        work=work,
        prompt=make_prompt(random, workspace, work, serial),
        max_tokens=random.randint(*tokens),
        stream=True,
        fingerprint=f"print-{serial}",
    )
    return OneShotCaller(scenario.fleet.clock, scenario.fleet, request, max_refusals=0)


def make_prompt(random: Random, workspace: str, work: str, serial: int) -> str:
    """Makes a prompt from the template of a workspace's work and unique words."""
    shared_prefix = " ".join(f"{workspace}-{work}-{n}" for n in range(TEMPLATE_WORDS))
    own = " ".join(f"own-{serial}-{n}" for n in range(random.randint(*UNIQUE_WORDS)))
    return f"{shared_prefix} {own}"


def add_scenario(totals: LoadTotals, scenario: OverloadScenario) -> None:
    """Adds the results of a finished scenario to the totals of its load."""
    for caller in scenario.callers:
        add_caller(totals, caller)
    for work in WORKS:
        totals.least_fair_shares.append(find_least_fair_share(scenario, work))
    for role in (scenario.deployment.long_role, scenario.deployment.short_role):
        totals.capacity_tokens += count_capacity_tokens(scenario, role)
    for engine in scenario.fleet.engines.values():
        totals.prompt_tokens_computed += engine.prompt_tokens
        totals.prompt_tokens += sum(len(run.prompt.split()) for run in engine.runs)
    totals.longest_queue = max(totals.longest_queue, scenario.longest_queue)
    totals.violations += sum(
        "invariant" in reason for _, reason in scenario.fleet.stopped
    )


def add_caller(totals: LoadTotals, caller: OneShotCaller) -> None:
    """Adds the results of one caller to the totals."""
    totals.requests += 1
    whole = is_whole(caller)
    totals.unanswered += not caller.done
    if caller.refused_at is not None:
        totals.refused += 1
        totals.given_up_s.append(caller.refused_at - caller.started_at)
    if whole:
        end = WARM_UP_S + ARRIVAL_PERIOD_S
        totals.delivered_tokens += bisect_left(caller.progress, end)
    if caller.request.work == "batch":
        totals.batch += 1
        took_s = (caller.finished_at or 0.0) - caller.started_at
        totals.batch_whole += whole and took_s <= BATCH_DEADLINE_S
        return
    totals.interactive += 1
    totals.interactive_whole += whole
    if not caller.progress:
        return
    wait_s = caller.progress[0] - caller.started_at
    totals.first_token_s.append(wait_s)
    if caller.request.workspace != FLOODING_WORKSPACE:
        totals.others_first_token_s.append(wait_s)


def is_whole(caller: GenerationCaller) -> bool:
    """Returns whether a caller has a complete and consistent answer."""
    complete = len(caller.tokens) == caller.request.max_tokens
    return complete and caller.finished_at is not None and caller.find_break() is None


def find_least_fair_share(scenario: OverloadScenario, work: str) -> float:
    """Returns the lowest fraction of its fair share of a work that a workspace got."""
    offered: dict[str, float] = {}
    served: dict[str, float] = {}
    for caller in scenario.callers:
        if caller.request.work == work:
            name = caller.request.workspace
            cost = caller.request.max_tokens
            offered[name] = offered.get(name, 0.0) + cost
            served[name] = served.get(name, 0.0) + is_whole(caller) * cost
    level = find_fair_level(list(offered.values()), sum(served.values()))
    fair = [served[name] / min(offered[name], level) for name in offered if level]
    return min(fair, default=1.0)


def find_fair_level(offered: list[float], served: float) -> float:
    """Returns the max-min fair level at which the demands add up to what was served."""
    left = served
    ordered = sorted(offered)
    for number, demand in enumerate(ordered):
        level = left / (len(ordered) - number)
        if demand >= level:
            return level
        left -= demand
    return max(ordered, default=0.0)


def make_load_report(totals: LoadTotals) -> LoadReport:
    """Builds the report of one load."""
    first = find_quantiles(totals.first_token_s)
    others = find_quantiles(totals.others_first_token_s)
    saved = totals.prompt_tokens - totals.prompt_tokens_computed
    return LoadReport(
        requests=totals.requests,
        interactive_first_token_s=ShortQuantiles(first.p50, first.p95),
        others_first_token_s=ShortQuantiles(others.p50, others.p95),
        batch_whole_by_deadline_share=find_share(totals.batch_whole, totals.batch),
        interactive_whole_share=find_share(
            totals.interactive_whole, totals.interactive
        ),
        given_up_answer_s=Longest(find_quantiles(totals.given_up_s).max),
        workspace_share_min_over_fair=round(min(totals.least_fair_shares), 4),
        prompt_tokens_saved_share=find_share(saved, totals.prompt_tokens),
        refused_share=find_share(totals.refused, totals.requests),
        goodput_share=find_share(totals.delivered_tokens, totals.capacity_tokens),
        unanswered=totals.unanswered,
        longest_engine_queue=totals.longest_queue,
    )


def make_report(totals_by_load: dict[float, LoadTotals]) -> OverloadReport:
    """Builds the report of each load and the worst result over all loads."""
    loads = {load: make_load_report(totals) for load, totals in totals_by_load.items()}
    reports = list(loads.values())
    firsts = [report.interactive_first_token_s for report in reports]
    return OverloadReport(
        offered_over_capacity=max(loads),
        interactive_first_token_s=ShortQuantiles(
            max(item.p50 for item in firsts), max(item.p95 for item in firsts)
        ),
        batch_whole_by_deadline_share=min(
            item.batch_whole_by_deadline_share for item in reports
        ),
        given_up_answer_s=Longest(max(item.given_up_answer_s.max for item in reports)),
        workspace_share_min_over_fair=min(
            item.workspace_share_min_over_fair for item in reports
        ),
        prompt_tokens_saved_share=min(
            item.prompt_tokens_saved_share for item in reports
        ),
        refused_share=max(item.refused_share for item in reports),
        invariant_violations=sum(
            totals.violations for totals in totals_by_load.values()
        ),
        loads={f"{load:g}": report for load, report in loads.items()},
    )
