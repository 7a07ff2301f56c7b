"""Checks what callers and upstreams observe against the system's guarantees."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.standins.users.upstreams import STREAM_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliahold.runtime import Clock
    from magnoliahold.standins.users.upstreams import Run

ONCE_PREFIX = "/once/"
RELEASE_TIMEOUT_S = 0.5
REVOCATION_LIMIT_S = 5.0
DRAIN_NOTICE_LIMIT_S = 2.5
EXPOSURE_SHARE = 0.1
EXPOSURE_EXTRA = 50


@define(eq=False)
class GuaranteeChecker:
    """Records runs and answers, and checks the system's guarantees against them.

    `is_reachable` returns whether an upstream is notified when a connection is closed.
    `revoked` has the time at which each workspace's credential was revoked, `leaving`
    the time at which the drain of each upstream was written to the store.
    """

    clock: Clock
    is_reachable: Callable[[str], bool]
    broken: list[str] = field(factory=list)
    checked: Counter[str] = field(factory=Counter)
    runs: dict[str, list[Run]] = field(factory=dict)
    open_runs: dict[str, list[Run]] = field(factory=dict)
    refused: dict[str, str] = field(factory=dict)
    revoked: dict[str, float] = field(factory=dict)
    leaving: dict[str, float] = field(factory=dict)
    late_updates_allowed_until: float = 0.0

    def record_violation(self, guarantee: str, text: str) -> None:
        """Records that a guarantee was violated."""
        self.broken.append(f"{self.clock.seconds():.3f} {guarantee}: {text}")

    def allow_late_updates(self, seconds: float) -> None:
        """Tolerates late updates from the store for some seconds.

        Used while the store, the connections to it, or an entry are disturbed.
        """
        self.late_updates_allowed_until = max(
            self.late_updates_allowed_until, self.clock.seconds() + seconds
        )

    def record_run(self, run: Run) -> None:
        """Records and checks a request that an upstream starts to process."""
        earlier = self.runs.setdefault(run.request_id, [])
        self.checked["runs"] += 1
        if run.path.startswith(ONCE_PREFIX) and earlier:
            self.record_violation("at most once", f"{run} after {earlier}")
        if run.request_id in self.refused:
            self.record_violation(
                "not run", f"{run} ran after it was answered as not run"
            )
        earlier.append(run)
        for other in self.open_runs.get(run.request_id, ()):
            self.clock.callLater(RELEASE_TIMEOUT_S, self._check_released, other, run)
        self.open_runs.setdefault(run.request_id, []).append(run)
        self._check_credential(run)
        self._check_leaving(run)

    def record_run_end(self, run: Run) -> None:
        """Records that an upstream has stopped processing a request."""
        running = self.open_runs.get(run.request_id, [])
        if run in running:
            running.remove(run)
        if not running:
            self.open_runs.pop(run.request_id, None)

    def _check_released(self, other: Run, later: Run) -> None:
        self.checked["never two at work"] += 1
        running = other in self.open_runs.get(other.request_id, ())
        if running and self.is_reachable(other.upstream):
            self.record_violation(
                "never two at work", f"{other} still runs beside {later}"
            )

    def _check_credential(self, run: Run) -> None:
        revoked_at = self.revoked.get(run.workspace)
        self.checked["credentials"] += 1
        if revoked_at is not None and run.started_at > revoked_at + REVOCATION_LIMIT_S:
            self.record_violation(
                "credentials", f"{run}, credential revoked at {revoked_at:.3f}"
            )

    def _check_leaving(self, run: Run) -> None:
        draining_since = self.leaving.get(run.upstream)
        late = (
            draining_since is not None
            and run.started_at > draining_since + DRAIN_NOTICE_LIMIT_S
        )
        if late and self.clock.seconds() > self.late_updates_allowed_until:
            self.record_violation(
                "drain", f"{run}, draining since {draining_since:.3f}"
            )

    def record_refusal(self, request_id: str, path: str, status: int) -> None:
        """Checks a refusal which states that the request was not run."""
        self.checked["not run"] += 1
        if path.startswith(STREAM_PREFIX):
            return
        if path.startswith(ONCE_PREFIX):
            self.refused[request_id] = path
            if request_id in self.runs:
                self.record_violation(
                    "not run", f"{request_id} got {status} but had run"
                )

    def check_exposure(self, version: str, since: float, until: float) -> None:
        """Checks how many requests were sent to a bad version."""
        runs = [
            run
            for runs in self.runs.values()
            for run in runs
            if since <= run.started_at < until
            and not run.path.startswith(STREAM_PREFIX)
        ]
        new = sum(run.version == version for run in runs)
        self.checked["exposure"] += 1
        if new > EXPOSURE_SHARE * len(runs) + EXPOSURE_EXTRA:
            self.record_violation("exposure", f"{new} of {len(runs)} to {version}")
