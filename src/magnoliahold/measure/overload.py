"""Measures admission and routing at loads below and above the capacity."""

from __future__ import annotations

from bisect import bisect_left
from random import Random
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from magnoliahold.core.effects import RefuseRequest
from magnoliahold.core.events import GenerationArrived
from magnoliahold.core.policy import Policy, RoutingPolicy
from magnoliahold.measure.fakes.callers import GenerationCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.workspaces import make_work, make_workspace
from magnoliahold.measure.options import find_quantiles, find_share
from magnoliahold.measure.plain_admission import use_plain_admission
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
FLOODING = "workspace-0"
FLOOD_SHARE = 0.7
WARM_UP_S = 1.0
ARRIVALS_S = 5.0
BATCH_DEADLINE_S = 8.0
INTERACTIVE_DEADLINE_S = 10.0
TOKEN_INTERVAL_S = 0.04
BATCH_TOKENS = (30, 90)
INTERACTIVE_TOKENS = (5, 30)
SHORT_IN_LONG_SHARE = 0.3
TEMPLATE_WORDS = 128
OWN_WORDS = (10, 60)
NO_PREFIXES = 1_000_000
STEP_S = 0.01
MAX_DRAIN_S = 60.0
CAPACITY = 4


@frozen
class ShortQuantiles:
    """Two quantiles in seconds."""

    p50: float
    p95: float


@frozen
class Longest:
    """The longest time in seconds."""

    max: float


@frozen
class LoadReport:
    """Results at one load, over all scenarios.

    First tokens are timed from the request to its first token, at callers whose
    request was not refused; `others` are those of workspaces that don't flood. Answers
    without a result are timed from the request to the refusal. A workspace's fair share
    of a work is the least of its offered cost and an equal share of the cost served;
    the figure is the least part of it that any workspace got of any work in any
    scenario. `prompt_tokens_saved_share` are prompt tokens not computed over those of
    all prompts that were started. `goodput_share` is the output of whole answers that
    was delivered while requests arrived, over what the engines could have produced.
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
    """The worst over all loads, and the results at each load over capacity."""

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
class SingleCaller(GenerationCaller):
    """Sends its request once; `refused_at` is when it was refused, if it was."""

    refused_at: float | None = None

    def receive(self, effect: object) -> None:
        """Notes the time of a refusal."""
        if isinstance(effect, RefuseRequest) and self.refused_at is None:
            self.refused_at = float(self.clock.seconds())
        GenerationCaller.receive(self, effect)


@define(eq=False)
class OverloadScenario:
    """One fleet at one load, with its callers; each sends its request once."""

    fleet: Fleet
    deployment: Deployment
    load: float
    callers: list[SingleCaller] = field(factory=list)
    longest_queue: int = 0

    def run_scenario(self) -> None:
        """Runs until every caller has its final answer."""
        limit = WARM_UP_S + ARRIVALS_S + MAX_DRAIN_S
        while self.fleet.now() < limit:
            self.fleet.run_for(0.25, STEP_S)
            waiting = max(len(item.waiting) for item in self.fleet.engines.values())
            self.longest_queue = max(self.longest_queue, waiting)
            arrived = self.fleet.now() > WARM_UP_S + ARRIVALS_S
            if arrived and all(caller.done for caller in self.callers):
                break


@define
class LoadTally:
    """What the scenarios at one load add up to."""

    first_token_s: list[float] = field(factory=list)
    others_first_token_s: list[float] = field(factory=list)
    given_up_s: list[float] = field(factory=list)
    shares: list[float] = field(factory=list)
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
    possible_tokens: float = 0.0
    longest_queue: int = 0
    violations: int = 0


def run_overload(options: MeasureOptions) -> OverloadReport:
    """Runs seeded scenarios at each load, in turn at the two deployments' sizes."""
    tallies = {load: LoadTally() for load in LOADS}
    for number in range(options.runs):
        load = LOADS[number % len(LOADS)]
        scenario = make_scenario(options, number, load)
        scenario.run_scenario()
        add_scenario(tallies[load], scenario)
    return make_report({load: item for load, item in tallies.items() if item.requests})


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
        policy = Policy(routing=RoutingPolicy(prefix_characters=NO_PREFIXES))
    fleet = make_fleet(random.getrandbits(32), spec, workspaces, policy or Policy())
    for engine in fleet.engines.values():
        engine.token_interval_s = TOKEN_INTERVAL_S
    if options.baseline:
        for name in fleet.list_entries():
            use_plain_admission(fleet.find_node(name))
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
    """Draws requests until the offered cost is `load` times the capacity."""
    fleet = scenario.fleet
    deployment = scenario.deployment
    for role in (deployment.long_role, deployment.short_role):
        offered = scenario.load * count_possible_tokens(scenario, role)
        while offered > 0:
            caller = draw_caller(scenario, random, role)
            offered -= caller.request.max_tokens
            scenario.callers.append(caller)
            fleet.clock.callLater(random.uniform(0, ARRIVALS_S), caller.start_request)


def count_possible_tokens(scenario: OverloadScenario, role: str) -> float:
    """Counts the tokens that the engines of a role can produce while work arrives."""
    engines = [item for item in scenario.fleet.engines.values() if item.role == role]
    return sum(
        engine.capacity * ARRIVALS_S / engine.token_interval_s for engine in engines
    )


def draw_caller(scenario: OverloadScenario, random: Random, role: str) -> SingleCaller:
    """Draws one request; its prompt opens with its workspace's template."""
    serial = len(scenario.callers)
    flooding = random.random() < FLOOD_SHARE
    workspace = FLOODING
    if not flooding:
        workspace = f"workspace-{random.randrange(1, WORKSPACES)}"
    batch = role == scenario.deployment.long_role
    work = "desk"
    if batch:
        work = "draft" if random.random() < SHORT_IN_LONG_SHARE else "batch"
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
    return SingleCaller(scenario.fleet.clock, scenario.fleet, request, max_refusals=0)


def make_prompt(random: Random, workspace: str, work: str, serial: int) -> str:
    """Writes a prompt: the template of the work, then words of the request."""
    opening = " ".join(f"{workspace}-{work}-{n}" for n in range(TEMPLATE_WORDS))
    own = " ".join(f"own-{serial}-{n}" for n in range(random.randint(*OWN_WORDS)))
    return f"{opening} {own}"


def add_scenario(tally: LoadTally, scenario: OverloadScenario) -> None:
    """Adds a finished scenario to the tally of its load."""
    for caller in scenario.callers:
        add_caller(tally, caller)
    for work in WORKS:
        tally.shares.append(find_least_share(scenario, work))
    for role in (scenario.deployment.long_role, scenario.deployment.short_role):
        tally.possible_tokens += count_possible_tokens(scenario, role)
    for engine in scenario.fleet.engines.values():
        tally.prompt_tokens_computed += engine.prompt_tokens
        tally.prompt_tokens += sum(len(run.prompt.split()) for run in engine.runs)
    tally.longest_queue = max(tally.longest_queue, scenario.longest_queue)
    tally.violations += sum("invariant" in why for _, why in scenario.fleet.stopped)


def add_caller(tally: LoadTally, caller: SingleCaller) -> None:
    """Adds one caller."""
    tally.requests += 1
    whole = is_whole(caller)
    tally.unanswered += not caller.done
    if caller.refused_at is not None:
        tally.refused += 1
        tally.given_up_s.append(caller.refused_at - caller.started_at)
    if whole:
        end = WARM_UP_S + ARRIVALS_S
        tally.delivered_tokens += bisect_left(caller.progress, end)
    if caller.request.work == "batch":
        tally.batch += 1
        took_s = (caller.finished_at or 0.0) - caller.started_at
        tally.batch_whole += whole and took_s <= BATCH_DEADLINE_S
        return
    tally.interactive += 1
    tally.interactive_whole += whole
    if not caller.progress:
        return
    wait_s = caller.progress[0] - caller.started_at
    tally.first_token_s.append(wait_s)
    if caller.request.workspace != FLOODING:
        tally.others_first_token_s.append(wait_s)


def is_whole(caller: GenerationCaller) -> bool:
    """Tells whether a caller has its whole answer."""
    complete = len(caller.tokens) == caller.request.max_tokens
    return complete and caller.finished_at is not None and caller.find_break() is None


def find_least_share(scenario: OverloadScenario, work: str) -> float:
    """Finds the least part of its fair share of a work that a workspace got."""
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
    """Finds the max-min fair level at which demands take up what was served."""
    left = served
    ordered = sorted(offered)
    for number, demand in enumerate(ordered):
        level = left / (len(ordered) - number)
        if demand >= level:
            return level
        left -= demand
    return max(ordered, default=0.0)


def make_load_report(tally: LoadTally) -> LoadReport:
    """Reports one load."""
    first = find_quantiles(tally.first_token_s)
    others = find_quantiles(tally.others_first_token_s)
    saved = tally.prompt_tokens - tally.prompt_tokens_computed
    return LoadReport(
        requests=tally.requests,
        interactive_first_token_s=ShortQuantiles(first.p50, first.p95),
        others_first_token_s=ShortQuantiles(others.p50, others.p95),
        batch_whole_by_deadline_share=find_share(tally.batch_whole, tally.batch),
        interactive_whole_share=find_share(tally.interactive_whole, tally.interactive),
        given_up_answer_s=Longest(find_quantiles(tally.given_up_s).max),
        workspace_share_min_over_fair=round(min(tally.shares), 4),
        prompt_tokens_saved_share=find_share(saved, tally.prompt_tokens),
        refused_share=find_share(tally.refused, tally.requests),
        goodput_share=find_share(tally.delivered_tokens, tally.possible_tokens),
        unanswered=tally.unanswered,
        longest_engine_queue=tally.longest_queue,
    )


def make_report(tallies: dict[float, LoadTally]) -> OverloadReport:
    """Reports each load, and the worst figure of any load."""
    loads = {load: make_load_report(tally) for load, tally in tallies.items()}
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
        invariant_violations=sum(tally.violations for tally in tallies.values()),
        loads={f"{load:g}": report for load, report in loads.items()},
    )
