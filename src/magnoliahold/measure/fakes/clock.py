"""The rig's paused clock, and that of one process, which can be frozen and stopped."""

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
    """Twisted's paused clock with its calls kept in order by insertion.

    The original sorts all calls at each new one, which is most of a rig's time.
    """

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> Any:
        """Calls a function after `delay` seconds of this clock."""
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
        """Moves the clock on and runs the calls that are due, in order."""
        self.rightNow += amount
        while self.calls and self.calls[0].getTime() <= self.rightNow:
            call = self.calls.pop(0)
            call.called = 1
            call.func(*call.args, **call.kw)


@define(eq=False)
class ProcessClock:
    """A view of the rig's clock with an offset of its own.

    While frozen, due calls wait and run at the thaw, as after SIGSTOP and SIGCONT.
    After `stop_calls` nothing runs any more, as after SIGKILL.
    """

    clock: Clock
    offset_s: float
    frozen: bool = False
    stopped: bool = False
    _waiting: list[Callable[[], object]] = field(factory=list)

    def seconds(self) -> float:
        """Reads this process's monotonic clock."""
        return float(self.clock.seconds()) + self.offset_s

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> IDelayedCall:
        """Calls a function after `delay` seconds, or at the thaw after that."""
        return self.clock.callLater(delay, self.run_call, lambda: callable(*args))

    def run_call(self, call: Callable[[], object]) -> None:
        """Runs a call now, or at the thaw when frozen."""
        if self.stopped:
            return
        if self.frozen:
            self._waiting.append(call)
        else:
            call()

    def freeze_calls(self) -> None:
        """Holds back every call from now on."""
        self.frozen = True

    def thaw_calls(self) -> None:
        """Runs the calls that were held back, in order."""
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            self.run_call(call)

    def stop_calls(self) -> None:
        """Drops all calls for good."""
        self.stopped = True
        self._waiting.clear()
