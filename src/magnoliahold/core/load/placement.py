"""Placement of streams by the time in which they are expected to complete.

Answers uneven engines under load: a slow engine gets what it completes as soon as a
faster one that is busier.
"""

from __future__ import annotations

from attrs import frozen


@frozen
class StreamWork:
    """What a stream takes on an upstream of usual pace that runs nothing else.

    `prefill_s` is the time to its first piece, and `total_s` that to its last.
    """

    prefill_s: float
    total_s: float


def estimate_completion_s(work: StreamWork, load: float, slowness: float) -> float:
    """Estimates the seconds that a stream adds at an upstream.

    `load` counts the streams there, one in prefill twice. Each delays the new stream,
    or is delayed by it, for about one prefill. `slowness` is how many times as long as
    usual the upstream takes for everything.
    """
    return slowness * (work.total_s + load * work.prefill_s)
