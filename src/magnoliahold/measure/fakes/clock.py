"""The simulated clock, and a view of it per process that can be frozen or stopped."""

from __future__ import annotations

from bisect import insort_right
from typing import TYPE_CHECKING, Any

from attrs import define, field
from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IDelayedCall


class SimulatedClock(Clock):
    """Twisted's `task.Clock` that inserts each new call at its sorted position.

    The original sorts all calls whenever one is added, which takes most of the time
    of an experiment.
    """

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> Any:
        """Schedules a function call `delay` seconds from now on this clock."""
        call = DelayedCall(
            self.seconds() + delay,
            callable,
            args,
            kw,
            self.calls.remove,
            lambda call: self.calls.sort(key=DelayedCall.getTime),
            self.seconds,
        )
        insort_right(self.calls, call, key=DelayedCall.getTime)
        return call

    def advance(self, amount: float) -> None:
        """Advances the clock and runs the calls that are due, in order."""
        self.rightNow += amount
        while self.calls and self.calls[0].getTime() <= self.rightNow:
            call = self.calls.pop(0)
            call.called = 1
            call.func(*call.args, **call.kw)


@define(eq=False)
class ProcessClock:
    """One process's view of the simulated clock, with its own offset.

    While frozen, due calls are queued and run when the process is thawed, as after
    SIGSTOP and SIGCONT. After `stop_calls` no call runs any more, as after SIGKILL.
    """

    clock: Clock
    offset_s: float
    frozen: bool = False
    stopped: bool = False
    _waiting: list[Callable[[], object]] = field(factory=list)

    def seconds(self) -> float:
        """Returns the time of this process's monotonic clock."""
        return float(self.clock.seconds()) + self.offset_s

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> IDelayedCall:
        """Schedules a call after `delay` seconds, or after the thaw if frozen then."""
        return self.clock.callLater(delay, self.run_call, lambda: callable(*args))

    def run_call(self, call: Callable[[], object]) -> None:
        """Runs a call now, or when the process is thawed if it is frozen."""
        if self.stopped:
            return
        if self.frozen:
            self._waiting.append(call)
        else:
            call()

    def freeze_calls(self) -> None:
        """Queues all calls from now on instead of running them."""
        self.frozen = True

    def thaw_calls(self) -> None:
        """Runs the queued calls in order and ends the freeze."""
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            self.run_call(call)

    def stop_calls(self) -> None:
        """Discards all queued and future calls."""
        self.stopped = True
        self._waiting.clear()
