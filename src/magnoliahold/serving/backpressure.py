"""Passes the back pressure of callers on to the upstreams of their streams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from weakref import WeakValueDictionary

from attrs import define, field
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

if TYPE_CHECKING:
    from magnoliahold.serving.callerconnections import CallerChannel, CallerExchange
    from magnoliahold.serving.callers import Callers
    from magnoliahold.serving.exchanges import Exchange

# How much of a stream may wait to be written before its upstream is read no further.
MAX_UNWRITTEN_BYTES = 1024 * 1024


@implementer(IPushProducer)
@define(eq=False)
class StreamSource:
    """The source of a caller's stream: the exchange that delivers its pieces.

    `exchange` is None until the first pieces are delivered. It changes when the stream
    is resumed at another upstream.
    """

    channel: CallerChannel
    exchange: Exchange | None = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Stops reading the upstream if too much waits; called after each write."""
        if self.exchange is None:
            return
        if self.channel.unwritten_bytes > MAX_UNWRITTEN_BYTES:
            self.exchange.pause_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        """Reads on, since the caller has taken all that was written."""
        if self.exchange is not None:
            self.exchange.resume_reading()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: the lost connection closes the attempt."""


@define(eq=False)
class BackPressure:
    """The callers' requests that are answered with streams, by handle."""

    callers: Callers
    _requests: WeakValueDictionary[int, CallerExchange] = field(
        factory=WeakValueDictionary
    )

    def start(self, handle: int) -> None:
        """Lets a caller's connection pause the source of the stream that begins."""
        for channel in self.callers.channels:
            for request in channel.requests:
                if request.handle == handle:
                    self._requests[handle] = request
                    source = StreamSource(channel)
                    request.registerProducer(source, True)
                    return

    def follow(self, handle: int, exchange: Exchange) -> None:
        """Sets the exchange that the next pieces of a stream come from."""
        request = self._requests.get(handle)
        source: Any = request.producer if request is not None else None
        if source is not None:
            source.exchange = exchange

    def stop(self, handle: int) -> None:
        """Ends the back pressure on a stream that is complete."""
        request = self._requests.pop(handle, None)
        if request is not None and request.channel is not None:
            request.unregisterProducer()  # type: ignore[no-untyped-call]
