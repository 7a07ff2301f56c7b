"""Room at engines: how many more streams they can take.

Answers more streams at a time than the KV caches of the engines hold: without room an
engine preempts a stream, whose prompt has to be read again.
"""

from __future__ import annotations

from attrs import frozen

# Places at an engine whose limits are unknown.
UNKNOWN_PLACES = 1000


@frozen
class EngineRoom:
    """The limits of an engine and what is in use there; a limit of 0 is unknown."""

    max_streams: int = 0
    max_tokens: float = 0.0
    streams: int = 0
    tokens: int = 0

    def count_places(self, tokens: int) -> int:
        """Counts how many more streams of that many tokens the engine can take."""
        places = UNKNOWN_PLACES
        if self.max_streams:
            places = min(places, self.max_streams - self.streams)
        if self.max_tokens:
            free_tokens = self.max_tokens - self.tokens
            places = min(places, int(free_tokens // max(1, tokens)))
        return max(0, places)
