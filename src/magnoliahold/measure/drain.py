"""Measures planned stops of entries, instances and services under load."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from magnoliahold.core.events import CallArrived
from magnoliahold.core.policy import Policy
from magnoliahold.core.workspaces import ServiceRule
from magnoliahold.measure.fakes.callers import ServiceCaller
from magnoliahold.measure.fakes.fleet import FleetSpec, make_fleet
from magnoliahold.measure.fakes.network import NetworkConditions
from magnoliahold.measure.scenarios import DEPLOYMENTS, CallerMix, make_workspaces

if TYPE_CHECKING:
    from magnoliahold.core.workspaces import Workspace
    from magnoliahold.measure.fakes.callers import GenerationCaller
    from magnoliahold.measure.fakes.fleet import Fleet
    from magnoliahold.measure.options import MeasureOptions

ENTRIES = 3
STREAMS = 45
CALLS = 40
SERVICE = "booking"
SERVICES = 3
WARM_UP_S = 1.0
ARRIVAL_PERIOD_S = 12.0
STOPS_S = (2.0, 8.0)
DRAIN_TIMEOUT_S = 60.0
STEP_S = 0.005
SHORT_LIMIT_S = 2.0
LEAVING_NOTICE_S = 6.0
SETTLE_S = 1.0
LOST_SHARE = 0.001
REORDERED_SHARE = 0.01
STORE_OUTAGE_SHARE = 0.3
INSTANCE_STOPS = 2
ANNOUNCED_STOPS = 1
SERVICE_STOPS = 1
ENTRY_STOPS = 1


@define
class LongestWait:
    """Longest time in seconds from the order to leave to the last new work.

    `max_listed` excludes scenarios in which the instance list was unavailable, because
    it is the only channel that announces some of the stops.
    """

    max: float = 0.0
    max_listed: float = 0.0


@frozen
class DrainReport:
    """Results over all scenarios.

    `requests_cut` counts generations that are incomplete, that had to restart or whose
    connection was lost, and calls without a correct answer. `streams_moved` counts
    attempts that a leaving sidecar handed back. `new_work_after_leaving_s` is measured
    from the order to leave, or from when the instance list marked the instance as
    leaving, to the last new stream or call at that upstream.
    """

    stops: int
    requests_cut: int
    new_work_after_leaving_s: LongestWait
    requests: int
    streams_moved: int
    not_stopped: int
    invariant_violations: int


@define(eq=False)
class PlannedStops:
    """Plans and orders stops of randomly chosen processes.

    `ordered_at_by_upstream` holds the time at which each upstream was ordered to leave
    and `asked_to_stop` the processes that were asked to stop. With the baseline,
    processes are killed at once.
    """

    fleet: Fleet
    random: Random
    baseline: bool
    ordered_at_by_upstream: dict[str, float] = field(factory=dict)
    asked_to_stop: set[str] = field(factory=set)
    stops: int = 0
    instance_list_down: bool = False

    def plan_stops(self) -> None:
        """Chooses distinct targets and random times for their stops."""
        engines = self.random.sample(
            sorted(self.fleet.engines), INSTANCE_STOPS + ANNOUNCED_STOPS
        )
        for name in engines[:INSTANCE_STOPS]:
            self._plan_stop(self._stop_upstream, name)
        for name in engines[INSTANCE_STOPS:]:
            self._plan_stop(self._announce_stop, name)
        for name in self.random.sample(sorted(self.fleet.services), SERVICE_STOPS):
            self._plan_stop(self._stop_upstream, name)
        for name in self.random.sample(self.fleet.list_entries(), ENTRY_STOPS):
            self._plan_stop(self._stop_process, name)

    def find_longest_wait(self) -> float:
        """Returns the longest time from an order to leave to the last new work."""
        return max(
            (self._find_last_work_delay(name) for name in self.ordered_at_by_upstream),
            default=0.0,
        )

    def count_not_stopped(self) -> int:
        """Counts processes that were asked to stop but have not stopped."""
        stopped = {name for name, _ in self.fleet.stopped}
        return 0 if self.baseline else len(self.asked_to_stop - stopped)

    def _plan_stop(self, stop: object, name: str) -> None:
        assert callable(stop)
        self.fleet.clock.callLater(self.random.uniform(*STOPS_S), stop, name)

    def _stop_upstream(self, upstream: str) -> None:
        self.ordered_at_by_upstream.setdefault(upstream, self.fleet.now())
        self._stop_process(f"sidecar-{upstream}")

    def _announce_stop(self, upstream: str) -> None:
        """Lists an instance as leaving, as the platform does, and stops it later."""
        self.ordered_at_by_upstream[upstream] = self.fleet.now()
        self.fleet.mark_listed_leaving(f"sidecar-{upstream}")
        self.fleet.clock.callLater(LEAVING_NOTICE_S, self._stop_upstream, upstream)

    def _stop_process(self, name: str) -> None:
        self.stops += 1
        if not self.baseline:
            self.asked_to_stop.add(name)
            self.fleet.stop_process(name)
        elif name in self.fleet.callers:
            self.fleet.kill_process(name)
        else:
            self._kill_upstream(name.removeprefix("sidecar-"))

    def _kill_upstream(self, upstream: str) -> None:
        if upstream in self.fleet.engines:
            self.fleet.kill_instance(upstream)
        else:
            self.fleet.services[upstream].kill_service()
            self.fleet.kill_process(f"sidecar-{upstream}")

    def _find_last_work_delay(self, upstream: str) -> float:
        ordered_at = self.ordered_at_by_upstream[upstream]
        engine = self.fleet.engines.get(upstream)
        if engine is not None:
            lists = engine.started_by_version.values()
            started = [at for times in lists for at in times]
        else:
            ledger = self.fleet.services[upstream].ledger
            started = [entry.received_at for entry in ledger]
        return max([0.0, *(at - ordered_at for at in started)])


def run_drain(options: MeasureOptions) -> DrainReport:
    """Runs seeded scenarios, alternating between the sizes of the two deployments."""
    stops = cut = requests = moved = not_stopped = violations = 0
    longest = LongestWait()
    for number in range(options.runs):
        fleet, mix, calls, planned = _make_scenario(options, number)
        _run_scenario(fleet, mix, calls)
        stops += planned.stops
        requests += len(mix.callers) + len(calls)
        cut += sum(is_cut(caller) for caller in mix.callers)
        cut += sum(is_call_cut(caller) for caller in calls)
        moved += fleet.journal.counters["streams_handed_back"]
        not_stopped += planned.count_not_stopped()
        violations += sum("invariant" in reason for _, reason in fleet.stopped)
        _record_wait(
            longest, round(planned.find_longest_wait(), 3), planned.instance_list_down
        )
    return DrainReport(
        stops=stops,
        requests_cut=cut,
        new_work_after_leaving_s=longest,
        requests=requests,
        streams_moved=moved,
        not_stopped=not_stopped,
        invariant_violations=violations,
    )


def _record_wait(longest: LongestWait, wait_s: float, instance_list_down: bool) -> None:
    longest.max = max(longest.max, wait_s)
    if not instance_list_down:
        longest.max_listed = max(longest.max_listed, wait_s)


def is_cut(caller: GenerationCaller) -> bool:
    """Returns whether a generation is incomplete, broken, restarted or reconnected."""
    whole = len(caller.tokens) == caller.request.max_tokens
    done = caller.finished_at is not None and whole
    if not done or caller.find_break() is not None:
        return True
    return bool(caller.restarts or caller.reconnects)


def is_call_cut(caller: ServiceCaller) -> bool:
    """Returns whether a call has no answer or a wrong one."""
    answer = caller.answer
    return answer is None or answer.body != caller.request.body


def _make_scenario(
    options: MeasureOptions, number: int
) -> tuple[Fleet, CallerMix, list[ServiceCaller], PlannedStops]:
    random = Random(f"drain {options.seed} {number}")
    deployment = DEPLOYMENTS[number % len(DEPLOYMENTS)]
    spec = FleetSpec(
        entries=ENTRIES,
        engines=deployment.engines,
        services={SERVICE: SERVICES},
        data_centres=deployment.data_centres,
        network=NetworkConditions(
            lost_share=LOST_SHARE * options.faults,
            reordered_share=REORDERED_SHARE * options.faults,
        ),
    )
    policy = Policy()
    if number % 4 >= 2:
        drain = evolve(policy.drain, drain_limit_s=SHORT_LIMIT_S)
        policy = evolve(policy, drain=drain)
    workspaces = [_add_service(item) for item in make_workspaces(deployment)]
    fleet = make_fleet(random.getrandbits(32), spec, workspaces, policy)
    fleet.run_for(WARM_UP_S, STEP_S)
    mix = CallerMix(fleet, Random(random.getrandbits(32)))
    for _ in range(STREAMS):
        mix.plan_caller(WARM_UP_S + random.uniform(0, ARRIVAL_PERIOD_S), _enable_resume)
    calls = [_plan_call(fleet, random, serial) for serial in range(CALLS)]
    planned = PlannedStops(fleet, random, options.baseline)
    planned.plan_stops()
    if random.random() < STORE_OUTAGE_SHARE * options.faults:
        planned.instance_list_down = True
        at = random.uniform(*STOPS_S)
        fleet.clock.callLater(at, setattr, fleet.platform, "outage", True)
        fleet.clock.callLater(at + 4.0, setattr, fleet.platform, "outage", False)
    return fleet, mix, calls, planned


def _enable_resume(caller: GenerationCaller) -> None:
    caller.resumes = caller.request.stream


def _add_service(workspace: Workspace) -> Workspace:
    upstreams = tuple(f"{SERVICE}-{number}" for number in range(SERVICES))
    return evolve(workspace, services={SERVICE: ServiceRule(SERVICE, upstreams)})


def _plan_call(fleet: Fleet, random: Random, serial: int) -> ServiceCaller:
    """Plans a call that may be repeated only after a "not run" refusal."""
    request = CallArrived(
        request_id="",
        workspace=f"workspace-{serial % 10}",
        service=SERVICE,
        method="POST",
        path="/book",
        headers=(),
        body=f"booking-{serial}".encode(),
        fingerprint=f"call-{serial}",
    )
    caller = ServiceCaller(fleet.clock, fleet, request)
    fleet.clock.callLater(random.uniform(0, ARRIVAL_PERIOD_S), caller.start_request)
    return caller


def _run_scenario(fleet: Fleet, mix: CallerMix, calls: list[ServiceCaller]) -> None:
    fleet.run_for(ARRIVAL_PERIOD_S + SETTLE_S, STEP_S)
    limit = fleet.now() + DRAIN_TIMEOUT_S
    while fleet.now() < limit:
        answered = all(caller.done for caller in calls)
        if answered and all(caller.done for caller in mix.callers):
            break
        fleet.run_for(0.25, STEP_S)
    fleet.run_for(LEAVING_NOTICE_S + SETTLE_S, STEP_S)
