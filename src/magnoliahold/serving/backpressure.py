"""Passes the back pressure of callers on to the upstreams of their streams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from magnoliahold.serving.memory import PauseReason

if TYPE_CHECKING:
    from magnoliahold.serving.callerconnections import CallerChannel
    from magnoliahold.serving.callerexchanges import CallerExchange
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
            self.exchange.pause_reading(PauseReason.CALLER)

    def resumeProducing(self) -> None:  # noqa: N802
        """Reads on, since the caller has taken all that was written."""
        if self.exchange is not None:
            self.exchange.resume_reading(PauseReason.CALLER)

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: the lost connection closes the attempt."""


def start_back_pressure(request: CallerExchange) -> None:
    """Lets a caller's connection pause the source of the stream that begins."""
    channel: Any = request.channel
    source = StreamSource(channel)
    request.registerProducer(source, True)  # type: ignore[no-untyped-call]


def follow_source(request: CallerExchange, exchange: Exchange) -> None:
    """Sets the exchange that the next pieces of a stream come from."""
    source: Any = request.producer
    if source is not None:
        source.exchange = exchange


def stop_back_pressure(request: CallerExchange) -> None:
    """Ends the back pressure on a stream that is complete."""
    if request.channel is not None:
        request.unregisterProducer()  # type: ignore[no-untyped-call]
