"""The parts of a Twisted reactor that this package uses."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IDelayedCall


class Clock(Protocol):
    """A monotonic clock with timers, such as `twisted.internet.task.Clock`."""

    def seconds(self) -> float:
        """Returns the time of the clock in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: Any, **kw: Any
    ) -> IDelayedCall:
        """Calls `callable` after `delay` seconds."""


class Reactor(Clock, Protocol):
    """A clock that also listens and connects over TCP."""

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Any:
        """Listens on a TCP port."""

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Connects to a TCP port."""


def use_monotonic_clock(reactor: Any) -> None:
    """Makes a reactor measure time by the monotonic clock, not the wall clock.

    With the wall clock, a clock step delays timers or fires them all at once, and
    every link appears silent. Call this before anything is scheduled.
    """
    reactor.seconds = time.monotonic
