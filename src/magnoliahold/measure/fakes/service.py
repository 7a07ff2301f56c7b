"""A fake plain service that keeps a ledger of the calls it received."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.core.events import (
    ProbedState,
    ServiceAnswered,
    ServiceFailed,
    UpstreamProbed,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from twisted.internet.task import Clock

    from magnoliahold.core import effects

ANSWER_DELAY_S = 0.002


@define
class LedgerEntry:
    """One call that the service received; times are on the simulated clock.

    `ran_at` is None until the call has run.
    """

    body: bytes
    nonce: str
    received_at: float
    ran_at: float | None = None


@define(eq=False)
class FakeService:
    """Runs each call after `work_s`, or `slow_work_s` for a share of the calls.

    `runs` counts runs by call body, which identifies the call; `ledger` lists every
    call in order. Each answer echoes the body, so that a caller can recognize its own
    answer. A call whose body contains one of the `poison` texts crashes the service.
    """

    clock: Clock
    random: Random
    name: str
    work_s: float = 0.03
    slow_share: float = 0.0
    slow_work_s: float = 2.5
    lost_answer_share: float = 0.0
    poison: set[str] = field(factory=set)
    post: Callable[[object], None] = field(default=lambda event: None)
    live: bool = True
    frozen: bool = False
    incarnation_number: int = 1
    crashes: int = 0
    runs: Counter[str] = field(factory=Counter)
    ledger: list[LedgerEntry] = field(factory=list)
    _open: dict[str, LedgerEntry] = field(factory=dict)
    _frozen_calls: list[LedgerEntry] = field(factory=list)

    def start_call(self, effect: effects.StartServiceCall) -> None:
        """Runs one call after its processing time."""
        if not self.live:
            failed = ServiceFailed(effect.nonce, True, "connection refused")
            self.clock.callLater(ANSWER_DELAY_S, self.post, failed)
            return
        entry = LedgerEntry(effect.body, effect.nonce, float(self.clock.seconds()))
        self.ledger.append(entry)
        self._open[effect.nonce] = entry
        slow = self.random.random() < self.slow_share
        work_s = self.slow_work_s if slow else self.work_s
        self.clock.callLater(work_s, self._run, entry, self.incarnation_number)

    def cancel_call(self, nonce: str) -> None:
        """Closes the call's connection; the call itself still runs."""
        self._open.pop(nonce, None)

    def probe_upstream(self, timeout_s: float) -> None:
        """Posts the result of a probe; a frozen service lets the probe time out."""
        if self.frozen:
            self.clock.callLater(timeout_s, self.post, UpstreamProbed(None))
            return
        name = f"{self.name}-{self.incarnation_number}"
        state = ProbedState(incarnation=name, capacity=64) if self.live else None
        self.clock.callLater(ANSWER_DELAY_S, self.post, UpstreamProbed(state))

    def kill_service(self) -> None:
        """Crashes the service; each call in flight runs first with probability 0.5."""
        if not self.live:
            return
        self.live = False
        self.frozen = False
        self.crashes += 1
        self.incarnation_number += 1
        for nonce, entry in self._open.items():
            if entry.ran_at is None and self.random.random() < 0.5:
                self._record_run(entry)
            failed = ServiceFailed(nonce, False, "connection reset")
            self.clock.callLater(ANSWER_DELAY_S, self.post, failed)
        self._open.clear()
        self._frozen_calls.clear()

    def restart_service(self) -> None:
        """Starts the service again after a crash."""
        self.live = True
        self.frozen = False

    def freeze_service(self) -> None:
        """Freezes the service; calls in flight run when it is thawed."""
        self.frozen = True

    def thaw_service(self) -> None:
        """Ends a freeze and runs the calls that became due during it."""
        self.frozen = False
        frozen_calls, self._frozen_calls = self._frozen_calls, []
        for entry in frozen_calls:
            self._run(entry, self.incarnation_number)

    def _run(self, entry: LedgerEntry, incarnation: int) -> None:
        if incarnation != self.incarnation_number or not self.live:
            return
        if self.frozen:
            self._frozen_calls.append(entry)
            return
        if any(text.encode() in entry.body for text in self.poison):
            self.kill_service()
            return
        self._record_run(entry)
        if self._open.pop(entry.nonce, None) is None:
            return
        if self.random.random() < self.lost_answer_share:
            self.post(ServiceFailed(entry.nonce, False, "connection reset"))
            return
        self.post(ServiceAnswered(entry.nonce, 200, (), entry.body))

    def _record_run(self, entry: LedgerEntry) -> None:
        entry.ran_at = float(self.clock.seconds())
        self.runs[entry.body.decode()] += 1
