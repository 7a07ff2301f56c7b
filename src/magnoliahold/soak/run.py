"""Runs a soak: starts a deployment, injects random faults, and reports."""

from __future__ import annotations

import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.task import deferLater

from magnoliahold.soak.deployment import Deployment
from magnoliahold.soak.faults import draw_faults, inject
from magnoliahold.soak.odd_rows import add_odd_rows

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

FAULTS_PER_S = 1.0
START_TIMEOUT_S = 15.0
RECOVERY_WAIT_S = 9.0
RECOVERY_WINDOW_S = 3.0
MIN_SERVED_SHARE = 0.8
POLL_INTERVAL_S = 0.1


@define(eq=False)
class SoakReport:
    """The results of a soak."""

    seed: int
    seconds: float
    broken: list[str] = field(factory=list)
    checked: Counter[str] = field(factory=Counter)
    faults: Counter[str] = field(factory=Counter)
    served: Counter[str] = field(factory=Counter)
    asked: Counter[str] = field(factory=Counter)
    ended: Counter[str] = field(factory=Counter)

    def describe(self) -> str:
        """Formats the report as a few lines of text."""
        shares = ", ".join(
            f"{kind} {self.served[kind]} of {count}"
            for kind, count in sorted(self.asked.items())
        )
        broken = f"{len(self.broken)} guarantees violated"
        lines = [
            f"seed {self.seed}, {self.seconds:.0f} s: {broken}",
            f"served: {shares}",
            "last answers: " + _describe_counts(self.ended),
            "faults: " + _describe_counts(self.faults),
            "checked: " + _describe_counts(self.checked),
            *self.broken,
        ]
        return "\n".join(lines)


def _describe_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


async def run_soak(
    reactor: Any,
    seed: int,
    seconds: float,
    entries: int,
    folder: Path,
    restores: int = 0,
    odd_rows: int = 0,
) -> SoakReport:
    """Runs one soak and stops everything that it started."""
    random = Random(seed)
    report = SoakReport(seed, seconds)
    deployment = Deployment(reactor, random, folder, entries)

    async def work() -> None:
        deployment.start_callers()
        await deferLater(reactor, 1.0)
        count = round(seconds * FAULTS_PER_S)
        faults = draw_faults(random, count, restores)
        add_odd_rows(random, faults, odd_rows)
        for fault in faults:
            report.faults[type(fault).__name__] += 1
            inject(fault, deployment)
            await deferLater(reactor, random.uniform(0, 2.0) / FAULTS_PER_S)
        await deferLater(reactor, RECOVERY_WAIT_S)
        _check_recovery(reactor, deployment)

    await run_deployment(deployment, report, work)
    return report


async def run_deployment(
    deployment: Deployment, report: SoakReport, work: Callable[[], Awaitable[None]]
) -> None:
    """Starts a deployment, awaits work on it, reports, and stops all that it started.

    The work begins once all entries are ready.
    """
    reactor = deployment.reactor
    reactor.addSystemEventTrigger("before", "shutdown", deployment.kill_processes)
    try:
        deployment.start()
        await wait_until_ready(reactor, deployment)
        await work()
        fill_report(report, deployment)
    finally:
        await deferLater(reactor, 0.0)
        closing = deployment.close()
        if closing is not None:
            await closing


async def wait_until_ready(reactor: Any, deployment: Deployment) -> None:
    """Waits until all entries are in rotation."""
    deadline = reactor.seconds() + START_TIMEOUT_S
    while deployment.count_ready() < len(deployment.entries):
        if reactor.seconds() > deadline:
            raise TimeoutError("the entries did not become ready; see their logs")
        await deferLater(reactor, POLL_INTERVAL_S)


def _check_recovery(reactor: Any, deployment: Deployment) -> None:
    """Checks that callers are served again after all faults have ended."""
    since = reactor.seconds() - RECOVERY_WINDOW_S
    revoked = deployment.checker.revoked
    recent = [
        item
        for item in deployment.outcomes
        if item.ended_at >= since and item.status != 401
    ]
    served = sum(item.served for item in recent)
    deployment.checker.checked["recovery"] += 1
    if not recent or served < MIN_SERVED_SHARE * len(recent):
        text = f"{served} of {len(recent)} requests served, {len(revoked)} revoked"
        deployment.checker.record_violation("recovery", text)


def fill_report(report: SoakReport, deployment: Deployment) -> None:
    """Adds what callers and upstreams observed."""
    report.broken = deployment.checker.broken
    report.checked = deployment.checker.checked
    for outcome in deployment.outcomes:
        report.asked[outcome.kind] += 1
        report.served[outcome.kind] += outcome.served
        report.ended[str(outcome.status or "no answer")] += 1


def make_log_folder() -> Path:
    """Creates a temporary folder for the logs of a soak."""
    return Path(tempfile.mkdtemp(prefix="magnoliahold-soak-"))
