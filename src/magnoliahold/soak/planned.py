"""A soak of planned work only: entries that stop, reload and are reconfigured.

Nothing else disturbs them, so that each request has to be answered.
"""

from __future__ import annotations

import math
import signal
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from magnoliahold.soak.callers import (
    NOT_RUN_STATUSES,
    OK,
    Caller,
    Outcome,
    ReceivedStream,
)
from magnoliahold.soak.deployment import CREDENTIAL_COUNT, Deployment
from magnoliahold.soak.faults import has_started, watch_stop
from magnoliahold.soak.guarantees import ONCE_PREFIX
from magnoliahold.soak.losses import Loss, LossJudge, Stop
from magnoliahold.soak.pipelining import PipeliningCaller
from magnoliahold.soak.processes import STOP_GRACE_S
from magnoliahold.soak.run import SoakReport, run_deployment
from magnoliahold.standins.users.callers import CallerHeaders, read_signature
from magnoliahold.standins.users.upstreams import (
    STREAM_PREFIX,
    Behaviour,
    make_call_body,
    sign,
)

if TYPE_CHECKING:
    from pathlib import Path

    from magnoliahold.soak.processes import EntryProcess

CALLER_COUNT = 24
PIPELINING_COUNT = 8
# How long a change takes to reach all entries.
SPREAD_S = 1.0
MIN_WORK_S, MAX_WORK_S = 0.03, 6.0
MIN_PIECES, MAX_PIECES = 10, 200
MAX_PAUSE_S = 0.4
TIMEOUT_S = 8.0
STREAM_TIMEOUT_S = 12.0
HESITATING_PART = 0.25
MAX_HESITATION_S = 7.0
SEND_TIMEOUT_S = TIMEOUT_S + MAX_HESITATION_S
MIN_WAIT_S, MAX_WAIT_S = 0.2, 1.5
MIN_SERVED_PER_S = 2.0


@implementer(IBodyProducer)
class SlowBody:
    """The body of a request, of which the last byte comes after a pause.

    `sent_at` is when that was sent, infinite before.
    """

    length = 2

    def __init__(self, reactor: Any, pause_s: float) -> None:
        self.sent_at = math.inf
        self._reactor = reactor
        self._pause_s = pause_s
        self._timer: Any = None

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Sends the body; the result fires at its end."""
        finished: Deferred[None] = Deferred()
        consumer.write(b"x")
        self._timer = self._reactor.callLater(
            self._pause_s, self._end, consumer, finished
        )
        return finished

    def _end(self, consumer: Any, finished: Deferred[None]) -> None:
        consumer.write(b"x")
        self.sent_at = self._reactor.seconds()
        finished.callback(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Goes on: a byte is no burden."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Goes on."""

    def stopProducing(self) -> None:  # noqa: N802
        """Sends no more: the connection has ended."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


@define(eq=False)
class PlannedCaller(Caller):
    """A caller that uses its connection to an entry until that closes it."""

    judge: LossJudge = field(kw_only=True)
    port: int = 0

    async def run(self) -> None:
        """Sends one request after the other until `stopped` is set."""
        while not self.stopped:
            self.port = self.port or self.choose_entry()
            if self.random.random() < 0.3:
                await self._send_stream()
            else:
                await self._send_call()
            await deferLater(self.reactor, MAX_PAUSE_S * self.random.random())

    def _choose_port(self) -> int:
        return self.port

    async def _send_call(self) -> None:
        request_id = self._make_id()
        work_s = MIN_WORK_S * (MAX_WORK_S / MIN_WORK_S) ** self.random.random()
        path = f"{ONCE_PREFIX}{request_id}/{work_s:.3f}"
        headers = CallerHeaders(request_id, self.credential, TIMEOUT_S)
        body = SlowBody(self.reactor, self._draw_pause_s())
        content: list[bytes] = []
        response = await self._send(path, headers, SEND_TIMEOUT_S, body)
        complete = response is not None and await self._read(
            response, content.append, TIMEOUT_S
        )
        status = int(response.code) if response is not None and complete else 0
        signed = response is not None and read_signature(response.headers) is not None
        if self.was_connected:
            self._add_outcome("once", status)
        if status in NOT_RUN_STATUSES and not signed:
            self.checker.record_refusal(request_id, path, status)
            self.port = 0
        elif status == OK:
            if b"".join(content) != make_call_body(request_id):
                self.checker.record_violation("whole answer", f"{request_id}")
        else:
            self._examine_lost(request_id, status, TIMEOUT_S, body.sent_at)

    def _draw_pause_s(self) -> float:
        """Draws how long the caller stops in the middle of its request."""
        hesitates = self.random.random() < HESITATING_PART
        return self.random.uniform(0, MAX_HESITATION_S) if hesitates else 0.0

    async def _send_stream(self) -> None:
        request_id = self._make_id()
        pieces = self.random.randint(MIN_PIECES, MAX_PIECES)
        received = ReceivedStream(self.checker, request_id, pieces)
        path = f"{STREAM_PREFIX}{request_id}/{pieces}"
        timeout_s = STREAM_TIMEOUT_S
        headers = CallerHeaders(request_id, self.credential, timeout_s, request_id)
        sent_at = self.reactor.seconds()
        response = await self._send(path, headers, timeout_s)
        status = 0
        if response is not None:
            status = int(response.code)
            if status == OK and read_signature(response.headers) != sign(request_id):
                self.checker.record_violation("own answer", f"{request_id}")
            on_data = received.add_data if status == OK else _discard
            await self._read(response, on_data, timeout_s)
        if self.was_connected:
            is_cut = status == OK and not received.complete
            self._add_outcome("stream", 0 if is_cut else status)
        if status in NOT_RUN_STATUSES:
            self.port = 0
        elif not received.complete:
            self._examine_lost(request_id, 0, timeout_s, sent_at)

    def _add_outcome(self, kind: str, status: int) -> None:
        now = self.reactor.seconds()
        self.outcomes.append(Outcome(kind, now, status == OK, status))

    def _examine_lost(
        self, request_id: str, status: int, timeout_s: float, sent_at: float
    ) -> None:
        """Has a request judged that ended without its answer."""
        port, self.port = self.port, 0
        if self.was_connected and not self.stopped:
            now = self.reactor.seconds()
            loss = Loss(request_id, status, timeout_s, sent_at, now, port)
            self.judge.examine(loss)


def _discard(_: bytes) -> None:
    """Takes the body of a refusal."""


@define(eq=False)
class PlannedWork:
    """Draws what operators do to a deployment."""

    reactor: Any
    random: Random
    deployment: Deployment
    done: dict[str, int] = field(factory=dict)
    stops: list[Stop] = field(factory=list)

    async def run(self, seconds: float) -> None:
        """Does planned work for some seconds, and lets the last stops end."""
        end = self.reactor.seconds() + seconds
        actions = (self.stop, self.stop, self.stop_again, self.reload, self.reconfigure)
        while self.reactor.seconds() < end:
            action = self.random.choice(actions)
            if action():
                name = action.__name__
                self.done[name] = self.done.get(name, 0) + 1
            wait_s = self.random.uniform(MIN_WAIT_S, MAX_WAIT_S)
            await deferLater(self.reactor, wait_s)
        await deferLater(self.reactor, STOP_GRACE_S + 1.0)

    def _list_running(self) -> list[EntryProcess]:
        entries = self.deployment.entries
        return [item for item in entries if item.running and has_started(item)]

    def stop(self) -> bool:
        """Orders an entry to stop while another one stays."""
        ready = [i for i in self._list_running() if i.stop_requested_at is None]
        if len(ready) < 2:
            return False
        entry = self.random.choice(ready)
        entry.stop_requested_at = self.reactor.seconds()
        self.stops.append(Stop(entry.callers_port, entry.stop_requested_at))
        entry.send_signal(signal.SIGTERM)
        watch_stop(entry, self.deployment)
        return True

    def stop_again(self) -> bool:
        """Orders an entry that stops to stop once more."""
        return self._signal_one(signal.SIGTERM, stopping=True)

    def reload(self) -> bool:
        """Lets an entry reload its settings, while it stops or not."""
        return self._signal_one(signal.SIGHUP, self.random.random() < 0.5)

    def _signal_one(self, number: signal.Signals, stopping: bool) -> bool:
        entries = [
            item
            for item in self._list_running()
            if (item.stop_requested_at is not None) is stopping
        ]
        if entries:
            self.random.choice(entries).send_signal(number)
        return bool(entries)

    def reconfigure(self) -> bool:
        """Changes the timeouts of all routes, so that no caller notices."""
        set_timeouts(self.deployment, self.random.uniform(1.0, 1.5))
        return True


def set_timeouts(deployment: Deployment, factor: float) -> None:
    """Sets the timeouts of all routes to those of the callers, times a factor."""
    routes = [dict(route) for route in deployment.configuration["routes"]]
    for route in routes:
        is_stream = route["prefix"] == STREAM_PREFIX
        timeout_s = STREAM_TIMEOUT_S if is_stream else TIMEOUT_S
        route["timeout_ms"] = round(timeout_s * factor * 1000)
    deployment.change_configuration(routes=routes)


async def run_planned_soak(
    reactor: Any,
    seed: int,
    seconds: float,
    entries: int,
    folder: Path,
    half_closing: int = 0,
) -> SoakReport:
    """Runs one soak of planned work and stops everything that it started.

    So many callers, `half_closing`, close their writing side behind their requests.
    """
    random = Random(seed)
    report = SoakReport(seed, seconds)
    deployment = Deployment(reactor, random, folder, entries)
    deployment.behaviours = dict.fromkeys(deployment.behaviours, Behaviour())
    planned = PlannedWork(reactor, random, deployment)

    async def work() -> None:
        set_timeouts(deployment, 1.0)
        await deferLater(reactor, SPREAD_S)
        start_planned_callers(deployment, planned.stops, half_closing)
        await deferLater(reactor, 1.0)
        await planned.run(seconds)
        report.faults.update(planned.done)
        _check_served(deployment, seconds)

    await run_deployment(deployment, report, work)
    return report


def _check_served(deployment: Deployment, seconds: float) -> None:
    """Checks that the callers got answers, so that the other checks tell something."""
    served = sum(item.served for item in deployment.outcomes)
    if served < MIN_SERVED_PER_S * seconds:
        deployment.checker.record_violation("served", f"{served} requests only")


def start_planned_callers(
    deployment: Deployment, stops: list[Stop], half_closing: int
) -> None:
    """Starts callers that wait for each answer, and callers that don't wait."""
    judge = LossJudge(deployment.reactor, deployment.checker, stops)
    callers: list[PlannedCaller | PipeliningCaller] = [
        *(_make_caller(deployment, judge, number) for number in range(CALLER_COUNT)),
        *(_make_pipelining(deployment, judge, n) for n in range(PIPELINING_COUNT)),
        *(_make_half_closing(deployment, judge, n) for n in range(half_closing)),
    ]
    for caller in callers:
        deployment.callers.append(caller)
        ensureDeferred(caller.run())


def _make_caller(
    deployment: Deployment, judge: LossJudge, number: int
) -> PlannedCaller:
    return PlannedCaller(
        deployment.reactor,
        Random(deployment.random.random()),
        deployment.checker,
        deployment.choose_entry,
        f"credential-{number % CREDENTIAL_COUNT}",
        deployment.outcomes,
        name=f"caller-{number}",
        judge=judge,
    )


def _make_pipelining(
    deployment: Deployment, judge: LossJudge, number: int
) -> PipeliningCaller:
    return PipeliningCaller(
        deployment.reactor,
        Random(deployment.random.random()),
        deployment.checker,
        deployment.choose_entry,
        f"credential-{number % CREDENTIAL_COUNT}",
        deployment.outcomes,
        judge,
        f"pipelining-{number}",
    )


def _make_half_closing(
    deployment: Deployment, judge: LossJudge, number: int
) -> PipeliningCaller:
    caller = _make_pipelining(deployment, judge, number)
    caller.name = f"half-closing-{number}"
    caller.half_closes = True
    return caller
