"""Results of moves, i.e. rollouts, to good and bad versions, and their report."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from magnoliahold.core.moves import ENDED_STATES, MoveState
from magnoliahold.measure.options import find_quantiles, find_share
from magnoliahold.measure.version_behaviour import (
    BAD_KINDS,
    GOOD,
    LATER,
    UNDER_LOAD,
)

if TYPE_CHECKING:
    from magnoliahold.measure.fakes.callers import GenerationCaller
    from magnoliahold.measure.fakes.operators import Apply
    from magnoliahold.measure.options import Quantiles
    from magnoliahold.measure.version_behaviour import (
        VersionBehaviour,
    )
    from magnoliahold.wire.messages import MoveRow

CANARY_CAP = 0.08
EPOCH_S = 1_800_000_000.0
SHARE_WINDOW = 100


@frozen
class KindReport:
    """Results of the moves to one kind of version.

    `right` counts the moves that ended as expected: good versions were rolled out, bad
    ones taken back.
    """

    moves: int
    right: int
    trip_s: Quantiles


@frozen
class MovesReport:
    """Results of all runs.

    `bad_share_max` is the highest traffic share that the stored rows gave to a version
    that was bad from the start, and `bad_share_seen_max` the highest share that any of
    those versions got of 100 consecutive requests. Requests arrive until 5 s after the
    end of a move; `bad_requests_share` is the share of them that a bad version failed
    or slowed down. `bad_shown` counts bad versions with at least one bad answer, and
    `trip_s` is the time from the first bad answer of each to its last new request.
    """

    good: int
    good_done_in_time: int
    good_taken_back: int
    bad: int
    bad_shown: int
    bad_taken_back: int
    unreported: int
    bad_share_max: float
    bad_share_seen_max: float
    bad_share_cap: float
    bad_requests_share: float
    trip_s: Quantiles
    requests: int
    answered: int
    by_kind: dict[str, KindReport]


@define(eq=False)
class MoveTrial:
    """One move of a run: the behaviour of its version and its outcome.

    `row` is the latest stored row of the move and `share_max` its highest share.
    """

    workspace: str
    behaviour: VersionBehaviour
    apply: Apply | None = None
    accepted_at: float = 0.0
    ended_at: float | None = None
    row: MoveRow | None = None
    share_max: float = 0.0
    request_times: list[float] = field(factory=list)

    @property
    def ended_as_expected(self) -> bool:
        """Whether a good version was rolled out or a bad one was taken back."""
        expected = MoveState.DONE if self.behaviour.is_good else MoveState.TAKEN_BACK
        return self.row is not None and self.row.state == expected

    @property
    def in_time(self) -> bool:
        """Whether the move ended by its deadline."""
        if self.row is None or self.ended_at is None:
            return False
        return self.ended_at <= self.row.deadline - EPOCH_S

    @property
    def trip_s(self) -> float | None:
        """Seconds from the first bad answer to the last new request, if any was bad."""
        first = self.behaviour.first_bad_at
        if first is None:
            return None
        return max(
            [at - first for at, _ in self.behaviour.stream_starts if at > first]
            or [0.0]
        )


def make_report(
    trials: list[MoveTrial], callers: list[GenerationCaller]
) -> MovesReport:
    """Builds the report from the moves and their callers."""
    good = [trial for trial in trials if trial.behaviour.is_good]
    bad = [trial for trial in trials if not trial.behaviour.is_good]
    shown = [trial for trial in bad if trial.behaviour.first_bad_at is not None]
    early = [
        trial for trial in shown if trial.behaviour.kind not in (LATER, UNDER_LOAD)
    ]
    bad_requests = sum(
        is_bad for trial in bad for _, is_bad in trial.behaviour.stream_starts
    )
    return MovesReport(
        good=len(good),
        good_done_in_time=sum(
            trial.ended_as_expected and trial.in_time for trial in good
        ),
        good_taken_back=sum(is_taken_back(trial) for trial in good),
        bad=len(bad),
        bad_shown=len(shown),
        bad_taken_back=sum(is_taken_back(trial) for trial in shown),
        unreported=sum(is_unreported(trial) for trial in trials),
        bad_share_max=max((trial.share_max for trial in early), default=0.0),
        bad_share_seen_max=max(
            (find_observed_share(trial) for trial in early), default=0.0
        ),
        bad_share_cap=CANARY_CAP,
        bad_requests_share=find_share(bad_requests, len(callers)),
        trip_s=find_trip_quantiles(shown),
        requests=len(callers),
        answered=sum(caller.finished_at is not None for caller in callers),
        by_kind=make_kind_reports(trials),
    )


def is_taken_back(trial: MoveTrial) -> bool:
    """Returns whether the last stored state of a move is "taken back"."""
    return trial.row is not None and trial.row.state == MoveState.TAKEN_BACK


def is_unreported(trial: MoveTrial) -> bool:
    """Returns whether an accepted move lacks a final state with a reason."""
    if trial.apply is None or trial.apply.accepted is None:
        return False
    row = trial.row
    return row is None or row.state not in ENDED_STATES or not row.reason


def find_observed_share(trial: MoveTrial) -> float:
    """Returns the highest share of the version in any 100 consecutive requests."""
    stream_starts = [at for at, _ in trial.behaviour.stream_starts]
    times = trial.request_times
    highest = 0
    for index in range(len(times) - SHARE_WINDOW):
        first, last = times[index], times[index + SHARE_WINDOW]
        within = bisect_left(stream_starts, last) - bisect_left(stream_starts, first)
        highest = max(highest, within)
    return highest / SHARE_WINDOW


def find_trip_quantiles(trials: list[MoveTrial]) -> Quantiles:
    """Computes the quantiles of the times to stop new requests on bad versions."""
    return find_quantiles(
        [trial.trip_s for trial in trials if trial.trip_s is not None]
    )


def make_kind_reports(trials: list[MoveTrial]) -> dict[str, KindReport]:
    """Builds one report per kind of version."""
    reports = {}
    for kind in (GOOD, *BAD_KINDS):
        chosen = [trial for trial in trials if trial.behaviour.kind == kind]
        shown = [
            trial
            for trial in chosen
            if trial.behaviour.is_good or trial.behaviour.first_bad_at is not None
        ]
        right = sum(trial.ended_as_expected for trial in shown)
        reports[kind] = KindReport(len(shown), right, find_trip_quantiles(shown))
    return reports
