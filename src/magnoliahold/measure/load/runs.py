"""Runs a load, limited in duration and number of requests, against an entry."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.selectreactor import SelectReactor

from magnoliahold.errors import UsageError
from magnoliahold.measure.load.exchanges import Exchange, LoadTarget
from magnoliahold.measure.load.mix import plan_requests
from magnoliahold.measure.load.report import LoadResults

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.measure.load.exchanges import Outcome
    from magnoliahold.measure.load.mix import PlannedRequest
    from magnoliahold.measure.load.report import LoadReport
    from magnoliahold.measure.options import MeasureOptions

CREDENTIAL_VARIABLE = "MAGNOLIAHOLD_CREDENTIAL"
MODEL_VARIABLE = "MAGNOLIAHOLD_MODEL"
SERVICE_VARIABLE = "MAGNOLIAHOLD_SERVICE"
RATE_VARIABLE = "MAGNOLIAHOLD_REQUESTS_PER_S"
DEFAULT_MODEL = "drafts"
DEFAULT_SERVICE = "order-desk"
DEFAULT_REQUESTS_PER_S = 6.0
MAX_REQUESTS_PER_S = 500.0
MAX_OPEN_REQUESTS = 400
PROGRESS_INTERVAL_S = 2.0


@define(eq=False)
class LoadRun:
    """One load on a reactor; `on_done` is called when all requests have ended.

    A request in excess of MAX_OPEN_REQUESTS open requests ends at once with an error.
    """

    reactor: Any
    target: LoadTarget
    planned: list[PlannedRequest]
    on_done: Callable[[], None]
    results: LoadResults = field(factory=LoadResults)
    open_requests: int = 0
    started_at: float = 0.0
    ended_at: float = 0.0
    _unfinished: int = 0

    def start(self) -> None:
        """Schedules every request on the reactor."""
        self.started_at = self.reactor.seconds()
        self._unfinished = len(self.planned)
        for request in self.planned:
            self.reactor.callLater(request.at, self._send, request)
        if not self.planned:
            self._finish()

    def make_report(self) -> LoadReport:
        """Builds the report."""
        return self.results.make_report(self.ended_at - self.started_at)

    def describe_progress(self) -> str:
        """Returns a line with the numbers of sent, ended, open and failed requests."""
        errors = sum(self.results.count_errors().values())
        return (
            f"load: {self.results.sent}/{len(self.planned)} sent,"
            f" {self.results.ended} ended, {self.open_requests} open, {errors} errors"
        )

    def _send(self, request: PlannedRequest) -> None:
        late_s = self.reactor.seconds() - self.started_at - request.at
        self.results.record_sent(request.kind.name, late_s)
        exchange = Exchange(self.reactor, self.target, request, self._handle_outcome)
        self.open_requests += 1
        exchange.start()
        if self.open_requests > MAX_OPEN_REQUESTS:
            exchange.end("too_many_open")

    def _handle_outcome(self, outcome: Outcome) -> None:
        self.open_requests -= 1
        self.results.record_outcome(outcome)
        self._unfinished -= 1
        if self._unfinished == 0:
            self._finish()

    def _finish(self) -> None:
        self.ended_at = self.reactor.seconds()
        self.on_done()


def run_load(options: MeasureOptions) -> LoadReport:
    """Sends load to the entry at `options.url`; prints progress to standard error."""
    target = read_target(options.url)
    rate = read_rate()
    planned = list(plan_requests(options.seed, options.seconds, rate))
    reactor: Any = SelectReactor()
    run = LoadRun(reactor, target, planned, lambda: reactor.callLater(0, reactor.stop))
    reactor.callWhenRunning(run.start)
    reactor.callLater(PROGRESS_INTERVAL_S, _show_progress, run)
    reactor.run()
    return run.make_report()


def _show_progress(run: LoadRun) -> None:
    print(run.describe_progress(), file=sys.stderr, flush=True)
    run.reactor.callLater(PROGRESS_INTERVAL_S, _show_progress, run)


def read_target(url: str) -> LoadTarget:
    """Builds the target from the URL and the environment."""
    if not url:
        raise UsageError("no entry to load; set the URL of its caller API with --url")
    credential = os.environ.get(CREDENTIAL_VARIABLE, "")
    if not credential:
        raise UsageError(
            f"no credential; set {CREDENTIAL_VARIABLE} to the credential of a workspace"
        )
    return LoadTarget(
        url=url.rstrip("/"),
        credential=credential,
        model=os.environ.get(MODEL_VARIABLE, DEFAULT_MODEL),
        service=os.environ.get(SERVICE_VARIABLE, DEFAULT_SERVICE),
    )


def read_rate() -> float:
    """Reads the arrivals per second outside the peak period from the environment."""
    text = os.environ.get(RATE_VARIABLE, str(DEFAULT_REQUESTS_PER_S))
    try:
        rate = float(text)
    except ValueError:
        rate = 0.0
    if not 0 < rate <= MAX_REQUESTS_PER_S:
        raise UsageError(
            f"{RATE_VARIABLE} is {text!r}; set a number up to {MAX_REQUESTS_PER_S:g}"
        )
    return rate
