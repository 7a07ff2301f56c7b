"""Interfaces through which a sidecar's node acts on its upstream.

Results come back as events that the port posts to the node.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from magnoliahold.core import effects


class EnginePort(Protocol):
    """A model engine; posts StreamProduced, StreamBroke, UpstreamProbed and more."""

    def start_stream(self, effect: effects.StartEngineStream) -> None:
        """Starts or continues a stream."""

    def cancel_stream(self, handle: str) -> None:
        """Cancels a stream; unknown handles are ignored."""

    def pause_stream(self, handle: str) -> None:
        """Stops reading a stream."""

    def resume_stream(self, handle: str) -> None:
        """Reads a paused stream again."""

    def probe_upstream(self, timeout_s: float) -> None:
        """Reads the upstream's state over a new connection; UpstreamProbed."""

    def send_order(self, effect: effects.SendOrder) -> None:
        """Sends an order; OrderFinished."""

    def read_cache_events(self, after: int) -> None:
        """Reads cache events; CacheEventsRead."""


class ServicePort(Protocol):
    """A plain service; posts ServiceAnswered, ServiceFailed and UpstreamProbed."""

    def start_call(self, effect: effects.StartServiceCall) -> None:
        """Runs one call."""

    def cancel_call(self, nonce: str) -> None:
        """Drops the connection of a call."""

    def probe_upstream(self, timeout_s: float) -> None:
        """Checks whether the service takes a new connection."""
