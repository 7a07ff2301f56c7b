"""Checks the numbers in a received notice, which decide about requests and versions.

A number out of range may be wrong at its sender alone, but would stop every entry that
computes with it.
"""

from __future__ import annotations

from math import inf, isfinite
from typing import TYPE_CHECKING

from magnoliahold.core.evidence import BUCKET_COUNT

if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliahold.core.serving.peers import LoadNotice
    from magnoliahold.wire.messages import EvidenceCount


class NoticeRangeError(Exception):
    """A notice has a number out of range; the message says where."""


def check_numbers(notice: LoadNotice) -> None:
    """Raises NoticeRangeError for a negative count or limit, or an infinite number."""
    for count in notice.evidence:
        _check_results(count)
    if not all(map(isfinite, _list_times(notice))):
        raise NoticeRangeError("a time is not finite")
    for report in notice.limits:
        if report.per_s is not None and not 0 <= report.per_s < inf:
            raise NoticeRangeError("a limit is out of range")
    for queue in notice.queues:
        if min(queue.waiting, queue.workspaces) < 0 or not 0 <= queue.per_s < inf:
            raise NoticeRangeError("a queue is out of range")


def _check_results(count: EvidenceCount) -> None:
    if count.answered < 0 or count.failed < 0:
        raise NoticeRangeError("a count of results is negative")
    for bucket, results in (*count.latencies, *count.gaps):
        if results < 0 or not 0 <= bucket < BUCKET_COUNT:
            raise NoticeRangeError("a histogram is out of range")


def _list_times(notice: LoadNotice) -> Iterator[float]:
    for report in notice.crash_reports:
        yield report.at
        if report.sent_at is not None:
            yield report.sent_at
    for clearance in notice.clearances:
        yield clearance.at
    for limit in notice.limits:
        yield limit.at
    for quarantine in notice.quarantines:
        yield quarantine.convicted_at
        yield quarantine.term_s
