"""Canary analysis: sequential tests of a new version against the old one.

Every result is a trial that is good or bad: an answer or a failure, a latency or a
token gap below or above a limit derived from the old version. Under the hypothesis
that the new version is no worse than the guards allow, a trial is bad with probability
`p0`, taken from the old version at the same time and under similar load. A score is a
log likelihood ratio against one of several worse probabilities:

- from the first trial on; by Ville's inequality it passes log(1/a) with a probability
  of at most `a`;
- or restarted whenever it falls to zero (CUSUM), which finds versions that turn bad
  later. Its limit is higher, because it amounts to many tests in a row.
"""

from __future__ import annotations

from collections import Counter
from math import exp, log
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen
from attrs.validators import gt

from magnoliahold.core.evidence import BUCKET_COUNT, BUCKETS_PER_DOUBLING
from magnoliahold.core.version_results import (
    Reference,
    Trials,
    find_delta,
    find_quantile,
    find_slow_limit,
    find_slow_share,
    shift_histogram,
    split_trials,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliahold.core.policy import MovePolicy
    from magnoliahold.core.version_results import (
        Delta,
    )
    from magnoliahold.core.workspaces import MoveRule
    from magnoliahold.wire.messages import EvidenceCount

FAILURES = "failures"
LATENCY = "latency"
GAPS = "token gaps"
MEDIAN = 0.5
TAIL = 0.95
QUANTILES = {MEDIAN: "median", TAIL: "tail"}
ALL = "all"
LOAD = "load"
HARM_LEVELS = (0.08, 0.25, 0.5, 0.9)
MAX_P0 = 0.7
SLOW_ALLOWANCE = 0.05
FAR_TAIL_BUCKETS = BUCKETS_PER_DOUBLING
FAR_ALLOWANCE = 0.02
UNMATCHED_MARGIN_BUCKETS = 2 * BUCKETS_PER_DOUBLING
ANY_SOURCE = ("any", "any")


@define
class Scores:
    """Log likelihood ratios against each level of harm; `recent` is the CUSUM."""

    total: list[float] = field(factory=lambda: [0.0] * len(HARM_LEVELS))
    recent: list[float] = field(factory=lambda: [0.0] * len(HARM_LEVELS))

    def add(self, trials: Trials, p0: float, *, is_recent: bool) -> None:
        """Adds trials; those that are not recent count in the total only."""
        for index, harm in enumerate(HARM_LEVELS):
            p1 = p0 + (1 - p0) * harm
            gain = trials.bad * log(p1 / p0) + trials.good * log((1 - p1) / (1 - p0))
            self.total[index] += gain
            if is_recent:
                self.recent[index] = max(0.0, self.recent[index] + gain)

    @property
    def total_evidence(self) -> float:
        """Log of the mean likelihood ratio over the levels of harm."""
        top = max(self.total)
        mean = sum(exp(value - top) for value in self.total) / len(self.total)
        return top + log(mean)

    @property
    def recent_evidence(self) -> float:
        """The highest restarted score."""
        return max(self.recent)


Slice = tuple[str, str]


@frozen
class DoubtLimits:
    """Evidence with which a move doesn't end as done, logarithms of likelihood ratios.

    `failures` and `durations` apply to evidence from the first result on, `recent` to
    that since the score last fell to zero. One failure alone passes none of them.
    """

    failures: float = field(default=2.0, validator=gt(0))
    durations: float = field(default=0.5, validator=gt(0))
    recent: float = field(default=4.0, validator=gt(0))

    def get_total(self, kind: str) -> float:
        """Returns the limit of the evidence from the first result on."""
        return self.failures if kind == FAILURES else self.durations


@frozen
class PendingDurations:
    """Durations of the new version, to be compared with the old one's of that time.

    Those of an interval that was extended are carried over and evaluated with the next
    one, when results of the old version from before and after are known.
    """

    cell: Cell
    delta: Delta
    is_recent: bool
    carried_over: bool = False

    def list_kinds(self) -> list[str]:
        """Lists the kinds of durations that there are."""
        durations = {LATENCY: self.delta.latencies, GAPS: self.delta.gaps}
        return [kind for kind, histogram in durations.items() if histogram]


@define
class CanaryAnalysis:
    """One entry's evidence for and against the new version of one move.

    `references` holds the old version's results over some time, `windows` those of the
    last three intervals, the current one first. `relative_windows` are the same of all
    sources together, as buckets relative to the median of each source, since sources
    differ in their durations. `scores` are kept by kind of result and
    by slice: all results, one route, one upstream, or busy upstreams only.
    `last_counts` holds the last cumulative counts of each source. `rejection_reason` is
    empty until the new version is found to be worse.
    """

    references: dict[Slice, Reference] = field(factory=dict)
    windows: list[dict[Slice, Reference]] = field(factory=lambda: [{}, {}, {}])
    relative_windows: list[Reference] = field(
        factory=lambda: [Reference(), Reference(), Reference()]
    )
    pending: list[PendingDurations] = field(factory=list)
    window_closes_at: float = 0.0
    scores: dict[tuple[str, Slice], Scores] = field(factory=dict)
    last_counts: dict[tuple[str, str, str, str, bool], EvidenceCount] = field(
        factory=dict
    )
    answered: int = 0
    failed: int = 0
    old_by_route: Counter[str] = field(factory=Counter)
    new_by_route: Counter[str] = field(factory=Counter)
    route_used_at: dict[str, float] = field(factory=dict)
    rejection_reason: str = ""

    def add_old_results(
        self, cell: Cell, delta: Delta, now: float, policy: MovePolicy
    ) -> None:
        """Adds results of the old version."""
        self.old_by_route[cell.route] += delta.answered
        if delta.answered:
            self.route_used_at[cell.route] = now
        for name in cell.list_references():
            for table in (self.references, self.windows[0]):
                reference = table.setdefault(name, Reference())
                reference.add(delta, now, policy.reference_fade_s)
        relative = self._make_relative(cell, delta, policy)
        self.relative_windows[0].add(relative, now, policy.reference_fade_s)

    def _make_relative(self, cell: Cell, delta: Delta, policy: MovePolicy) -> Delta:
        """Makes the durations of a delta relative to the median of their source."""
        reference = self.references[cell.list_references()[0]]
        return evolve(
            delta,
            latencies=_shift_from_median(
                delta.latencies, reference.latencies, policy.window_min
            ),
            gaps=_shift_from_median(delta.gaps, reference.gaps, policy.window_min),
        )

    def add_new_results(
        self,
        cell: Cell,
        delta: Delta,
        rule: MoveRule,
        policy: MovePolicy,
        *,
        is_recent: bool,
    ) -> None:
        """Adds results of the new version and evaluates its failures at once."""
        self.answered += delta.answered
        self.new_by_route[cell.route] += delta.answered
        self.failed += delta.failed
        trials = Trials(delta.answered, delta.failed)
        p0 = self._find_failure_p0(cell, rule, policy)
        # Where the old version fails too, a failure says nothing about the new one.
        if p0 <= MAX_P0:
            self._score(FAILURES, cell, trials, p0, is_recent=is_recent)
        if delta.latencies or delta.gaps:
            self.pending.append(PendingDurations(cell, delta, is_recent))
        self._check_evidence(policy)

    def close_window(self, now: float, rule: MoveRule, policy: MovePolicy) -> None:
        """Compares durations with those of the old version at the same time.

        An interval without enough durations of the old version to compare with is
        extended, by at most `window_max_s`.
        """
        if now < self.window_closes_at:
            return
        expired = now >= self.window_closes_at + policy.window_max_s
        if not expired and not self._has_enough_current(policy):
            return
        extended = now >= self.window_closes_at + policy.window_s
        self.window_closes_at = now + policy.window_s
        held: list[PendingDurations] = []
        if extended:
            held = [item for item in self.pending if not item.carried_over]
            self.pending = [item for item in self.pending if item.carried_over]
        self.evaluate_pending(rule, policy)
        self.pending = [evolve(item, carried_over=True) for item in held]
        self.windows = [{}, *self.windows[:2]]
        self.relative_windows = [Reference(), *self.relative_windows[:2]]

    def evaluate_pending(self, rule: MoveRule, policy: MovePolicy) -> None:
        """Evaluates the pending durations without waiting for the interval's end."""
        pending, self.pending = self.pending, []
        for item in pending:
            self._evaluate_durations(LATENCY, item, rule, policy)
            self._evaluate_durations(GAPS, item, rule, policy)
        if pending:
            self._check_evidence(policy)

    def _has_enough_current(self, policy: MovePolicy) -> bool:
        """Tells whether all pending durations can be compared with this interval's."""
        compared = {
            (item.cell.list_references(), kind): item.cell
            for item in self.pending
            for kind in item.list_kinds()
        }
        return all(
            self._find_reference(cell, kind, policy) is not None
            and self._find_recent(cell, kind, policy, 0) is not None
            for (_, kind), cell in compared.items()
        )

    def _evaluate_durations(
        self, kind: str, item: PendingDurations, rule: MoveRule, policy: MovePolicy
    ) -> None:
        new = item.delta.latencies if kind == LATENCY else item.delta.gaps
        if not new:
            return
        reference = self._find_reference(item.cell, kind, policy)
        if reference is None:
            return
        recent = [
            self._find_recent(item.cell, kind, policy, age)
            for age in range(len(self.windows))
        ]
        matched = recent[1 if item.carried_over else 0] is not None
        old = [reference, *(histogram for histogram in recent if histogram is not None)]
        own = _find_durations(self.references, item.cell.list_references()[0], kind)
        if sum(own.values()) >= policy.window_min:
            old.append(own)
        for quantile, name in QUANTILES.items():
            increase = rule.max_latency_increase if quantile == MEDIAN else 0.0
            limit = max(
                find_slow_limit(histogram, quantile, increase) for histogram in old
            )
            if not matched:
                limit = min(BUCKET_COUNT - 1, limit + UNMATCHED_MARGIN_BUCKETS)
            self._score_slow(f"{name} {kind}", item, new, old, limit, SLOW_ALLOWANCE)
        # Few answers that are far slower are evidence as well.
        limit = min(BUCKET_COUNT - 1, limit + FAR_TAIL_BUCKETS)
        self._score_slow(f"far tail {kind}", item, new, old, limit, FAR_ALLOWANCE)

    def _score_slow(
        self,
        name: str,
        item: PendingDurations,
        new: Mapping[int, int],
        old: list[Mapping[int, float]],
        limit: int,
        allowance: float,
    ) -> None:
        share = max(find_slow_share(histogram, limit) for histogram in old)
        p0 = min(MAX_P0, share + allowance)
        trials = split_trials(new, limit)
        self._score(name, item.cell, trials, p0, is_recent=item.is_recent)

    def _find_reference(
        self, cell: Cell, kind: str, policy: MovePolicy
    ) -> Mapping[int, float] | None:
        return _find_histogram(self.references, cell, kind, policy.reference_min)

    def _find_recent(
        self, cell: Cell, kind: str, policy: MovePolicy, age: int
    ) -> Mapping[int, float] | None:
        """Finds the histogram of a recent interval, in the durations of the source.

        An interval with too few results of the source itself is represented by those of
        all sources, relative to their medians. The current interval has the age 0.
        """
        own_name = cell.list_references()[0]
        own = _find_durations(self.references, own_name, kind)
        window = self.windows[age]
        if sum(own.values()) < policy.reference_min:
            return _find_histogram(window, cell, kind, policy.window_min)
        histogram = _find_durations(window, own_name, kind)
        if sum(histogram.values()) < policy.window_min:
            relative = _read_durations(self.relative_windows[age], kind)
            histogram = shift_histogram(relative, find_quantile(own, MEDIAN))
        enough = sum(histogram.values()) >= policy.window_min
        return histogram if enough else None

    def _find_failure_p0(self, cell: Cell, rule: MoveRule, policy: MovePolicy) -> float:
        """Finds the highest failure probability that the guard allows."""
        own_name, *others = cell.list_references()
        own = self.references.get(own_name, Reference())
        old = own.failed / own.count if own.count else 0.0
        if own.count < policy.reference_min:
            old = max(old, self._find_failure_share(others, policy))
        allowed = max(rule.max_error_increase, policy.failure_floor)
        return old + allowed

    def _find_failure_share(self, names: list[Slice], policy: MovePolicy) -> float:
        for name in names:
            reference = self.references.get(name)
            if reference is not None and reference.count >= policy.reference_min:
                return reference.failed / reference.count
        return 0.0

    def _score(
        self, kind: str, cell: Cell, trials: Trials, p0: float, *, is_recent: bool
    ) -> None:
        if not trials.good and not trials.bad:
            return
        for name in cell.list_slices():
            scores = self.scores.setdefault((kind, name), Scores())
            scores.add(trials, p0, is_recent=is_recent)

    def _check_evidence(self, policy: MovePolicy) -> None:
        if self.rejection_reason:
            return
        for (kind, name), scores in self.scores.items():
            extra = find_extra_evidence(name, policy)
            if (
                scores.total_evidence >= policy.total_evidence + extra
                or scores.recent_evidence >= policy.recent_evidence + extra
            ):
                self.rejection_reason = (
                    f"worse {kind} than the old version, {' '.join(name)}"
                )
                return

    def covers_routes(self, policy: MovePolicy) -> bool:
        """Tells whether the new version has answered on every route in use."""
        min_answered = self.old_by_route.total() * policy.route_share_min
        latest = max(self.route_used_at.values(), default=0.0)
        return all(
            self.new_by_route[route] >= policy.answered_per_route
            for route, used_at in self.route_used_at.items()
            if latest - used_at < policy.route_unused_s
            and self.old_by_route[route] >= min_answered
        )

    @property
    def suspicion(self) -> float:
        """The strongest evidence against the new version, over all results."""
        return max(
            (
                max(scores.total_evidence, scores.recent_evidence)
                for _, scores in self._list_overall_scores()
            ),
            default=0.0,
        )

    def is_in_doubt(self, limits: DoubtLimits) -> bool:
        """Tells whether there is too much evidence to end a move as done."""
        return any(
            scores.total_evidence >= limits.get_total(kind)
            or scores.recent_evidence >= limits.recent
            for kind, scores in self._list_overall_scores()
        )

    def _list_overall_scores(self) -> list[tuple[str, Scores]]:
        """Lists the kinds of results with their scores over all results."""
        return [
            (kind, scores)
            for (kind, name), scores in self.scores.items()
            if name[0] == ALL
        ]


def add_cumulative_results(
    analysis: CanaryAnalysis,
    sender: tuple[str, str],
    cell: Cell,
    count: EvidenceCount,
    is_new: bool,
    rule: MoveRule,
    policy: MovePolicy,
    now: float,
) -> None:
    """Adds the cumulative results of a sender, given by its name and incarnation."""
    source = (*sender, count.version, count.route, count.busy)
    before = analysis.last_counts.get(source)
    if before is not None and _is_older(before, count):
        return
    analysis.last_counts[source] = count
    delta = find_delta(before, count)
    if is_new:
        analysis.add_new_results(
            cell, delta, rule, policy, is_recent=before is not None
        )
    else:
        analysis.add_old_results(cell, delta, now, policy)


def _is_older(before: EvidenceCount, after: EvidenceCount) -> bool:
    """Tells whether any count falls, which those of a later report never do."""
    return after.answered < before.answered or after.failed < before.failed


@frozen
class Cell:
    """The source of results: an upstream, a route, and whether it was busy.

    With `compared_by_route`, results are compared with those of the same route instead
    of the same upstream.
    """

    upstream: str
    route: str
    busy: bool
    compared_by_route: bool = False

    def list_references(self) -> tuple[Slice, ...]:
        """Lists the slices of the old version to compare with, closest first."""
        load = "busy" if self.busy else "idle"
        source = self.route if self.compared_by_route else self.upstream
        return ((source, load), ("any", load), ANY_SOURCE)

    def list_slices(self) -> tuple[Slice, ...]:
        """Lists the slices that results of this cell count in."""
        slices = [(ALL, "results"), ("route", self.route), ("upstream", self.upstream)]
        if self.busy:
            slices.append((LOAD, "busy"))
        return tuple(slices)


def find_extra_evidence(name: Slice, policy: MovePolicy) -> float:
    """Finds the extra evidence that a slice needs, since many slices are tested."""
    if name[0] == ALL:
        return 0.0
    return policy.busy_evidence if name[0] == LOAD else policy.slice_evidence


def _find_histogram(
    references: Mapping[Slice, Reference], cell: Cell, kind: str, min_count: int
) -> Mapping[int, float] | None:
    """Finds the histogram of the closest reference with enough results."""
    for name in cell.list_references():
        histogram = _find_durations(references, name, kind)
        if sum(histogram.values()) >= min_count:
            return histogram
    return None


def _find_durations(
    references: Mapping[Slice, Reference], name: Slice, kind: str
) -> Mapping[int, float]:
    reference = references.get(name)
    return {} if reference is None else _read_durations(reference, kind)


def _read_durations(reference: Reference, kind: str) -> Mapping[int, float]:
    return reference.latencies if kind == LATENCY else reference.gaps


def _shift_from_median(
    added: Mapping[int, int], reference: Mapping[int, float], min_count: int
) -> dict[int, int]:
    """Makes buckets relative to the reference's median, none without enough results."""
    if not added or sum(reference.values()) < min_count:
        return {}
    return shift_histogram(added, -find_quantile(reference, MEDIAN))
