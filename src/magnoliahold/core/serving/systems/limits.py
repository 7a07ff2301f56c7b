"""Keeps to the limits that upstreams name, together with the other entries.

A limit holds from an answer that names it until an answer to a request names none. The
entries tell each other what they were told; each then sends only its share.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.core.effects import CountMetric
from magnoliahold.core.serving.events import (
    AnswerReceived,
    NoticeReceived,
    StreamOpened,
    UpstreamSignalled,
)
from magnoliahold.core.serving.feeds import Feed
from magnoliahold.core.serving.limits import LimitReport, RateLimit, find_share
from magnoliahold.core.serving.upstreams import UpstreamStart

if TYPE_CHECKING:
    from magnoliahold.core.serving.events import AnswerHead
    from magnoliahold.core.serving.world import ServingWorld

# How often a limit that stays the same is confirmed to the other entries.
CONFIRM_S = 1.0
# For how long the other entries are told that a limit has ended.
END_REPORTED_S = 3.0


def apply_limits(world: ServingWorld, now: float) -> None:
    """Applies what answers and other entries say about limits."""
    for signalled in world.inbox.read_events(UpstreamSignalled):
        if signalled.limit_per_s is not None:
            start = UpstreamStart(signalled.upstream_id, signalled.born_ms)
            _record_answer(world, start, signalled.limit_per_s, now)
    for answered in world.inbox.read_events(AnswerReceived):
        _end_unnamed_limit(world, answered.attempt, answered.head, now)
    for opened in world.inbox.read_events(StreamOpened):
        _end_unnamed_limit(world, opened.attempt, opened.head, now)
    for received in world.inbox.read_events(NoticeReceived):
        for report in received.notice.limits:
            _apply_report(world, report, now)
    if world.limits.starts:
        _forget_old_limits(world)
        _update_shares(world, now)


def _end_unnamed_limit(
    world: ServingWorld, number: int, head: AnswerHead, now: float
) -> None:
    """Ends the limit of an upstream whose answer to a request names none."""
    attempt = world.requests.attempts.get(number)
    if attempt is None or head.names_limit or head.misdirected:
        return
    if attempt.upstream.signals.limit is not None:
        _record_answer(world, attempt.upstream.start, None, now)


def _record_answer(
    world: ServingWorld, start: UpstreamStart, per_s: float | None, now: float
) -> None:
    """Records what an answer says; the other entries are told of a change at once."""
    at = round(world.read_shared_time(), 3)
    known = world.upstreams.find_signals(start, now).limit_report
    changed = known is None or known.per_s != per_s
    if not changed and known is not None and at - known.at < CONFIRM_S:
        return
    _apply_report(world, LimitReport(start.id, start.born_ms, per_s, at), now)
    if changed:
        world.other_entries.send_now = True


def _apply_report(world: ServingWorld, report: LimitReport, now: float) -> None:
    """Applies the newest report about a start."""
    start = UpstreamStart(report.upstream_id, report.born_ms)
    signals = world.upstreams.find_signals(start, now)
    known = signals.limit_report
    if known is not None and known.at >= report.at:
        return
    signals.limit_report = report
    signals.changed_at = now
    world.limits.starts.add(start)
    world.limits.sharing = None
    if known is not None and known.per_s == report.per_s:
        return
    if report.per_s is None:
        signals.limit = None
        world.log_decision(
            "upstreams", "Upstream names no limit any more.", upstream=start.id
        )
        return
    if signals.limit is None:
        signals.limit = RateLimit()
    world.emit(CountMetric("upstream_limits"))
    world.log_decision(
        "upstreams", "Upstream names a limit.", upstream=start.id, per_s=report.per_s
    )


def _forget_old_limits(world: ServingWorld) -> None:
    """Forgets limits that ended a while ago, and those of starts that are gone."""
    ended_before = world.read_shared_time() - END_REPORTED_S
    for start in list(world.limits.starts):
        signals = world.upstreams.signals.get(start)
        report = signals.limit_report if signals is not None else None
        has_ended = report is None or (
            report.per_s is None and report.at < ended_before
        )
        if has_ended or signals is None or signals.removed:
            world.limits.starts.discard(start)


def _update_shares(world: ServingWorld, now: float) -> None:
    """Updates this entry's shares after changes of limits and of the entries.

    Without the list of entries it has none. Entries that are not heard have none.
    """
    table = world.limits
    sharing = _list_sharing_entries(world, now)
    if sharing == table.sharing or world.feeds[Feed.PEERS].version is None:
        return
    table.sharing = sharing
    own = world.identity.name
    for start in table.starts:
        signals = world.upstreams.signals[start]
        report = signals.limit_report
        if (
            signals.limit is not None
            and report is not None
            and report.per_s is not None
        ):
            share = find_share(report.per_s, start.id, own, sharing)
            signals.limit.set_share(share, now)


def _list_sharing_entries(world: ServingWorld, now: float) -> tuple[str, ...]:
    """Lists the other entries that share limits: those heard lately, or new ones."""
    kept_s = world.serving_policy.peers.notice_kept_s
    return tuple(
        name
        for name, peer in world.other_entries.by_name.items()
        if peer.notice is not None or now - peer.known_since <= kept_s
    )


def list_limits(world: ServingWorld) -> tuple[LimitReport, ...]:
    """Lists what is known of limits, for notices; the newest last."""
    starts = world.limits.starts
    if not starts:
        return ()
    signals = (world.upstreams.signals.get(start) for start in starts)
    reports = (item.limit_report for item in signals if item is not None)
    return tuple(
        sorted(
            (item for item in reports if item is not None),
            key=lambda item: (item.at, item.upstream_id),
        )
    )
