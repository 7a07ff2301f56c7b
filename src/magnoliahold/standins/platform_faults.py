"""Injected faults of the stand-in platform, such as outages and lost answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from attrs import frozen
from twisted.internet.defer import Deferred

from magnoliahold.storage.interfaces import PlatformUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from magnoliahold.runtime import Clock
    from magnoliahold.standins.rate_limit import RateLimit

T = TypeVar("T")

NORMAL_LATENCY_S = 0.002
KINDS = frozenset(
    {"clear", "lag", "lose_answers", "outage", "silence_connections", "slow"}
)


@frozen
class PlatformFault:
    """A fault that lasts `seconds` and affects a `share` of the requests.

    Kinds: "outage" (requests fail without being executed), "slow" (each answer takes
    `delay_s` longer), "lose_answers" (requests are executed, but their answers are
    lost), "lag" (the instance list isn't updated), "clear" (ends all faults) and, over
    HTTP only, "silence_connections" (silences open connections permanently).
    """

    kind: str
    seconds: float = 1e9
    share: float = 1.0
    delay_s: float = 1.0


class FaultyExecutor:
    """Executes requests, subject to the active faults."""

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._faults: dict[str, tuple[float, PlatformFault]] = {}

    def inject(self, fault: PlatformFault) -> None:
        """Starts a fault of a known kind, or ends all faults on "clear"."""
        if fault.kind == "clear":
            self._faults.clear()
        else:
            end = self._clock.seconds() + fault.seconds
            self._faults[fault.kind] = (end, fault)

    def is_active(self, kind: str) -> bool:
        """Returns whether a fault of this kind is active."""
        return self._get(kind) is not None

    def perform(
        self, action: Callable[[], T], limit: RateLimit | None = None
    ) -> Deferred[T]:
        """Executes `action` once, or not at all during an outage.

        The Deferred fails with `PlatformUnavailable` during an outage and when the
        answer is lost.
        """
        answer: Deferred[T] = Deferred()
        slow = self._draw("slow")
        delay_s = NORMAL_LATENCY_S + (slow.delay_s if slow is not None else 0.0)
        before_s = delay_s * self._random.random()
        queued_s = limit.reserve() if limit is not None else 0.0
        self._clock.callLater(
            queued_s + before_s, self._execute, action, answer, delay_s - before_s
        )
        return answer

    def _execute(
        self, action: Callable[[], Any], answer: Deferred[Any], after_s: float
    ) -> None:
        if self._draw("outage") is not None:
            self._clock.callLater(after_s, _fail, answer, "the platform is down")
            return
        result = action()
        if self._draw("lose_answers") is not None:
            self._clock.callLater(after_s, _fail, answer, "the answer was lost")
            return
        self._clock.callLater(after_s, _succeed, answer, result)

    def _get(self, kind: str) -> PlatformFault | None:
        end, fault = self._faults.get(kind, (0.0, None))
        return fault if self._clock.seconds() < end else None

    def _draw(self, kind: str) -> PlatformFault | None:
        fault = self._get(kind)
        if fault is None or self._random.random() >= fault.share:
            return None
        return fault


def _succeed(answer: Deferred[Any], result: Any) -> None:
    if not answer.called:
        answer.callback(result)


def _fail(answer: Deferred[Any], reason: str) -> None:
    if not answer.called:
        answer.errback(PlatformUnavailable(reason))
