"""Interfaces through which a sidecar's node acts on its upstream.

A port posts its results to the node as events.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from magnoliahold.core import effects


class EnginePort(Protocol):
    """A model engine; posts StreamProduced, StreamBroke, UpstreamProbed and more."""

    def start_stream(self, effect: effects.StartEngineStream) -> None:
        """Starts a stream, or resumes one after its prefix."""

    def cancel_stream(self, handle: str) -> None:
        """Cancels a stream; unknown handles are ignored."""

    def pause_stream(self, handle: str) -> None:
        """Stops reading a stream."""

    def resume_stream(self, handle: str) -> None:
        """Resumes reading a paused stream."""

    def probe_upstream(self, timeout_s: float) -> None:
        """Reads the engine's state over a new connection; posts UpstreamProbed."""

    def send_order(self, effect: effects.SendOrder) -> None:
        """Sends an order; posts OrderFinished."""

    def read_cache_events(self, after: int) -> None:
        """Reads cache events; posts CacheEventsRead."""


class ServicePort(Protocol):
    """A plain service; posts ServiceAnswered, ServiceFailed and UpstreamProbed."""

    def start_call(self, effect: effects.StartServiceCall) -> None:
        """Starts one call."""

    def cancel_call(self, nonce: str) -> None:
        """Closes the connection of a call."""

    def probe_upstream(self, timeout_s: float) -> None:
        """Checks whether the service answers over a new connection."""
