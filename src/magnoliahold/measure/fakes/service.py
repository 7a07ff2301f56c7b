"""A faked plain service that counts how often each call ran."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from magnoliahold.core.events import (
    ProbedState,
    ServiceAnswered,
    ServiceFailed,
    UpstreamProbed,
)

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable
    from random import Random

    from twisted.internet.task import Clock

    from magnoliahold.core import effects

ANSWER_DELAY_S = 0.002


def _make_ledger() -> Counter[str]:
    from collections import Counter

    return Counter()


@define(eq=False)
class FakeService:
    """Runs calls after `work_s`; `runs` counts them by the body, which names the call.

    Answers carry the body back, so that a caller can tell its own answer.
    """

    clock: Clock
    random: Random
    name: str
    work_s: float = 0.03
    lost_answer_share: float = 0.0
    post: Callable[[object], None] = field(default=lambda event: None)
    live: bool = True
    frozen: bool = False
    incarnation_number: int = 1
    runs: Counter[str] = field(factory=_make_ledger)
    _open: dict[str, effects.StartServiceCall] = field(factory=dict)
    _held: list[effects.StartServiceCall] = field(factory=list)

    def start_call(self, effect: effects.StartServiceCall) -> None:
        """Runs one call after its working time."""
        if not self.live:
            failed = ServiceFailed(effect.nonce, True, "connection refused")
            self.clock.callLater(ANSWER_DELAY_S, self.post, failed)
            return
        self._open[effect.nonce] = effect
        self.clock.callLater(self.work_s, self._run, effect, self.incarnation_number)

    def cancel_call(self, nonce: str) -> None:
        """Drops the connection; the call runs on."""
        self._open.pop(nonce, None)

    def probe_upstream(self, timeout_s: float) -> None:
        """Answers whether the service lives."""
        if self.frozen:
            self.clock.callLater(timeout_s, self.post, UpstreamProbed(None))
            return
        name = f"{self.name}-{self.incarnation_number}"
        state = ProbedState(incarnation=name, capacity=64) if self.live else None
        self.clock.callLater(ANSWER_DELAY_S, self.post, UpstreamProbed(state))

    def kill_service(self) -> None:
        """Dies: calls in flight may or may not have run."""
        self.live = False
        self.incarnation_number += 1
        for nonce in list(self._open):
            failed = ServiceFailed(nonce, False, "connection reset")
            self.clock.callLater(ANSWER_DELAY_S, self.post, failed)
        self._open.clear()
        self._held.clear()

    def revive_service(self) -> None:
        """Starts again."""
        self.live = True
        self.frozen = False

    def freeze_service(self) -> None:
        """Stops without a sign; calls in flight run after the thaw."""
        self.frozen = True

    def thaw_service(self) -> None:
        """Goes on after a freeze."""
        self.frozen = False
        held, self._held = self._held, []
        for effect in held:
            self._run(effect, self.incarnation_number)

    def _run(self, effect: effects.StartServiceCall, incarnation: int) -> None:
        if incarnation != self.incarnation_number or not self.live:
            return
        if self.frozen:
            self._held.append(effect)
            return
        self.runs[effect.body.decode()] += 1
        if self._open.pop(effect.nonce, None) is None:
            return
        if self.random.random() < self.lost_answer_share:
            self.post(ServiceFailed(effect.nonce, False, "connection reset"))
            return
        self.post(ServiceAnswered(effect.nonce, 200, (), effect.body))
