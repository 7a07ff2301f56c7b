"""Aggregates the outcomes of a load into a report."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram

from magnoliahold.measure.options import Quantiles
from magnoliahold.standins.chain import TOKEN_HEX_DIGITS

if TYPE_CHECKING:
    from magnoliahold.measure.load.exchanges import Outcome

MICROSECONDS = 1_000_000
MAX_VALUE_S = 3_600
SIGNIFICANT_DIGITS = 3


@define(eq=False)
class Timings:
    """A histogram of durations with a precision of three significant digits."""

    histogram: Any = field(
        factory=lambda: HdrHistogram(1, MAX_VALUE_S * MICROSECONDS, SIGNIFICANT_DIGITS)
    )

    def add_value(self, seconds: float) -> None:
        """Adds one duration."""
        self.histogram.record_value(max(1, round(seconds * MICROSECONDS)))

    def find_quantiles(self) -> Quantiles:
        """Returns the quantiles in seconds, or zeros when there are no durations."""
        if not self.histogram.get_total_count():
            return Quantiles(0.0, 0.0, 0.0, 0.0)
        return Quantiles(*(self._find(percent) for percent in (50, 95, 99, 100)))

    def _find(self, percent: float) -> float:
        value = self.histogram.get_value_at_percentile(percent)
        return round(float(value) / MICROSECONDS, 4)


@define(eq=False)
class KindResults:
    """Aggregated outcomes of one kind of request."""

    sent: int = 0
    whole: int = 0
    broken: int = 0
    errors: Counter[str] = field(factory=Counter)
    first: Timings = field(factory=Timings)
    total: Timings = field(factory=Timings)


@frozen
class KindReport:
    """Results of one kind of request.

    `broken` counts answers with a fault in what the caller received. `errors` counts
    all requests without a complete answer, by error. The first-token time of a buffered
    answer is the arrival time of its whole body.
    """

    sent: int
    whole: int
    broken: int
    errors: dict[str, int]
    first_s: Quantiles
    total_s: Quantiles


@frozen
class LoadReport:
    """Results of a load; `latest_send_s` is the longest delay after a planned time."""

    sent: int
    whole: int
    broken: int
    errors: dict[str, int]
    stream_first_token_s: Quantiles
    between_tokens_s: Quantiles
    tokens_per_s: float
    seconds: float
    latest_send_s: float
    by_kind: dict[str, KindReport]


@define(eq=False)
class LoadResults:
    """Aggregated outcomes of a load so far."""

    kinds: dict[str, KindResults] = field(factory=dict)
    first: Timings = field(factory=Timings)
    between: Timings = field(factory=Timings)
    stream_characters: int = 0
    sent: int = 0
    ended: int = 0
    latest_send_s: float = 0.0

    def record_sent(self, kind: str, late_s: float) -> None:
        """Records a request that was sent `late_s` seconds after its planned time."""
        self.sent += 1
        self.latest_send_s = max(self.latest_send_s, late_s)
        self.kinds.setdefault(kind, KindResults()).sent += 1

    def record_outcome(self, outcome: Outcome) -> None:
        """Records the outcome of a request."""
        self.ended += 1
        kind = self.kinds[outcome.request.kind.name]
        kind.total.add_value(outcome.total_s)
        if outcome.first_s is not None:
            kind.first.add_value(outcome.first_s)
        if outcome.request.kind.stream:
            self._record_stream(outcome)
        kind.broken += outcome.broken
        if outcome.error:
            kind.errors[outcome.error] += 1
        else:
            kind.whole += 1

    def _record_stream(self, outcome: Outcome) -> None:
        self.stream_characters += outcome.characters
        if outcome.first_s is not None:
            self.first.add_value(outcome.first_s)
        for gap_s in outcome.gaps_s:
            self.between.add_value(gap_s)

    def count_errors(self) -> Counter[str]:
        """Counts the errors of all kinds of requests, by error code."""
        errors: Counter[str] = Counter()
        for kind in self.kinds.values():
            errors.update(kind.errors)
        return errors

    def make_report(self, seconds: float) -> LoadReport:
        """Builds the report of a load that took `seconds`."""
        tokens = self.stream_characters / TOKEN_HEX_DIGITS
        return LoadReport(
            sent=self.sent,
            whole=sum(kind.whole for kind in self.kinds.values()),
            broken=sum(kind.broken for kind in self.kinds.values()),
            errors=dict(self.count_errors()),
            stream_first_token_s=self.first.find_quantiles(),
            between_tokens_s=self.between.find_quantiles(),
            tokens_per_s=round(tokens / seconds, 1) if seconds else 0.0,
            seconds=round(seconds, 2),
            latest_send_s=round(self.latest_send_s, 4),
            by_kind={name: _report_kind(kind) for name, kind in self.kinds.items()},
        )


def _report_kind(kind: KindResults) -> KindReport:
    return KindReport(
        sent=kind.sent,
        whole=kind.whole,
        broken=kind.broken,
        errors=dict(kind.errors),
        first_s=kind.first.find_quantiles(),
        total_s=kind.total.find_quantiles(),
    )
