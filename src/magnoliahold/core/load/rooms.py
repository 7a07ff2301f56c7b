"""Room at engines: how many more streams they can take.

Answers more streams at a time than the KV caches of the engines hold: without room an
engine preempts a stream, whose prompt has to be read again. Answers also more prompts
than the engines can read: those that wait inside an engine can't be put in order.
"""

from __future__ import annotations

from attrs import frozen

# Places at an engine whose limits are unknown.
UNKNOWN_PLACES = 1000
# Prompts that an engine gets at least, so that it never waits for the next one.
MIN_READING = 2
# Share of the tightest goal within which an engine has read all prompts that it has.
READING_SHARE = 0.5


def find_reading_limit(tightest_goal_s: float, prefill_s: float) -> int:
    """Finds how many prompts an engine may have in prefill at a time.

    The next one then still begins within the tightest goal of its service.
    """
    if prefill_s <= 0:
        return MIN_READING
    return max(MIN_READING, int(READING_SHARE * tightest_goal_s / prefill_s))


@frozen
class EngineRoom:
    """The limits of an engine and what is in use there; a limit of 0 is unknown.

    `reading` counts the streams in prefill.
    """

    max_streams: int = 0
    max_tokens: float = 0.0
    streams: int = 0
    tokens: int = 0
    max_reading: int = 0
    reading: int = 0

    def count_places(self, tokens: int) -> int:
        """Counts how many more streams of that many tokens the engine can take."""
        places = UNKNOWN_PLACES
        if self.max_streams:
            places = min(places, self.max_streams - self.streams)
        if self.max_tokens:
            free_tokens = self.max_tokens - self.tokens
            places = min(places, int(free_tokens // max(1, tokens)))
        if self.max_reading:
            places = min(places, self.max_reading - self.reading)
        return max(0, places)
